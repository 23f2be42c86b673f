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

// stopGrace is how long a VM may take to shut down (setting stop-grace).
const stopGrace = 3 * time.Second

// vm is one edge VM, which runs as a separate process.
type vm struct {
	name       string
	dir        string
	program    string
	clientAddr string
	readyAddr  string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping time.Time // since when it is being stopped or paused; zero: it runs
}

// vmAddr returns the loopback address of VM n. It is derived from the process ID,
// so that soaks that run at the same time do not share addresses. On a shared
// address, another soak's VM took over the port of a VM that was down and
// responded to its clients, in 19 of 56 seeds run four at a time.
func vmAddr(n int) netip.Addr {
	const firstNet = 128 // above the networks used by fleets and tests
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(firstNet + pid>>8%(256-firstNet)), byte(pid), byte(n + 1)})
}

// freePorts returns n addresses on host with ports that are not in use.
func freePorts(host netip.Addr, n int) ([]string, error) {
	var listeners []net.Listener
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		listeners = append(listeners, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	for _, ln := range listeners {
		_ = ln.Close()
	}
	return addrs, nil
}

const settingsTemplate = `{"name":%q,"failure-domain":"a","callers-address":%q,"ready-address":%q,"metrics-address":%q,
"peers-address":%q,"store-address":%q,"stop-grace":%q,"revoke-bound":"5s","apply-bound":"2s","server-heartbeat":%q,"retry-budget":{"ratio":0.2,"extra":54,"window":"10s"}}`

// newVM writes the settings file of VM n. The VM reaches the store at storeAddr,
// the address of a proxy.
func newVM(program, dir string, n int, storeAddr string) (*vm, error) {
	ports, err := freePorts(vmAddr(n), 4)
	if err != nil {
		return nil, err
	}
	v := &vm{name: fmt.Sprintf("vm-%d", n), dir: dir, program: program, clientAddr: ports[0], readyAddr: ports[1]}
	data := fmt.Sprintf(settingsTemplate, v.name, ports[0], ports[1], ports[2], ports[3], storeAddr, stopGrace.String(), heartbeatInterval.String())
	return v, trace.ConvertSystemError(os.WriteFile(v.path(".json"), []byte(data), 0o600))
}

func (v *vm) path(suffix string) string { return filepath.Join(v.dir, v.name+suffix) }

// start starts the process. Its log is appended to that of earlier processes of
// the VM.
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

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGTERM {
		v.stopping = time.Now()
	}
	_ = v.cmd.Process.Signal(s)
}

// wait blocks until the process has exited.
func (v *vm) wait() {
	v.mu.Lock()
	cmd := v.cmd
	v.mu.Unlock()
	_ = cmd.Wait()
}

// panics returns the panics and fatal errors in the VM's log.
func (v *vm) panics() []string {
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
