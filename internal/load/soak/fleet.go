package soak

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// grace is the time that a VM has to stop.
const grace = 3 * time.Second

// vm is one edge VM, a process of its own.
type vm struct {
	name    string
	dir     string
	program string
	front   string
	ready   string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping time.Time // when it was told to stop; zero: it runs
}

// host returns the loopback address of VM n. No other process has it, whatever else
// runs: on an address that all share, the port of a VM that is down was taken by
// another soak's VM, which then answered its clients, in 19 of 56 seeds that were
// run four at a time.
func host(n int) netip.Addr {
	const first = 128 // beside the networks of fleets and tests
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(first + pid>>8%(256-first)), byte(pid), byte(n + 1)})
}

// freePorts returns addresses of a host that nobody listens on.
func freePorts(host netip.Addr, n int) ([]string, error) {
	var lns []net.Listener
	var out []string
	for range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		lns = append(lns, ln)
		out = append(out, ln.Addr().String())
	}
	for _, ln := range lns {
		_ = ln.Close()
	}
	return out, nil
}

const settings = `{"name":%q,"failure-domain":"a","callers-address":%q,"ready-address":%q,"metrics-address":%q,
"peers-address":%q,"store-address":%q,"stop-grace":%q,"revoke-bound":"5s","apply-bound":"2s","retry-budget":{"ratio":0.2,"extra":54,"window":"10s"}}`

// newVM writes a VM's settings; its store is reached through a proxy.
func newVM(program, dir string, n int, store string) (*vm, error) {
	ports, err := freePorts(host(n), 4)
	if err != nil {
		return nil, err
	}
	v := &vm{name: fmt.Sprintf("vm-%d", n), dir: dir, program: program, front: ports[0], ready: ports[1]}
	text := fmt.Sprintf(settings, v.name, ports[0], ports[1], ports[2], ports[3], store, grace.String())
	return v, trace.ConvertSystemError(os.WriteFile(v.path(".json"), []byte(text), 0o600))
}

func (v *vm) path(end string) string { return filepath.Join(v.dir, v.name+end) }

// start starts the process; its log is appended to the file of earlier ones.
func (v *vm) start() error {
	log, err := os.OpenFile(v.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = log.Close() }()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = exec.Command(v.program, "edge", "--config", v.path(".json")) //nolint:gosec // our own program
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.stopping = time.Time{}
	return trace.Wrap(v.cmd.Start())
}

// signal sends a signal to the process, by its id.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGTERM {
		v.stopping = time.Now()
	}
	_ = v.cmd.Process.Signal(s)
}

// wait returns when the process has ended.
func (v *vm) wait() {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	_ = cmd.Wait()
}

// crashed returns the panics in the VM's log.
func (v *vm) crashed() []string {
	data, err := os.ReadFile(v.path(".log"))
	if err != nil {
		return []string{err.Error()}
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			out = append(out, v.name+": "+strings.TrimSpace(line))
		}
	}
	return out
}
