package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/platform/fake"
)

// vm is one edge VM, which runs as a process of its own.
type vm struct {
	name  string
	front string
	ready string
	log   string // path of its output
	cmd   *exec.Cmd
	ended chan struct{}
}

// fleet holds the edge VMs and the stand-in of the platform's store.
type fleet struct {
	rec   *recorder
	group errgroup.Group
	store *fake.Store
	host  netip.Addr // of the stand-ins; the VMs have the addresses after it
	vms   []*vm

	mu        sync.Mutex
	listeners []net.Listener
}

// hostAddr returns a loopback address that depends on the process ID, so that trials that run
// at the same time do not share addresses.
func hostAddr(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>8%64), byte(pid), byte(n + 1)})
}

// listen opens a listener on a free port of the address.
func (f *fleet) listen(host netip.Addr) (net.Listener, error) {
	ln, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, ln)
	return ln, nil
}

// freePorts returns n addresses on host with ports that are not in use.
func freePorts(host netip.Addr, n int) ([]string, error) {
	var listeners []net.Listener
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	for _, ln := range listeners {
		_ = ln.Close()
	}
	return addrs, nil
}

// settingsTemplate is deploy/settings.json, filled in for a small deployment.
const settingsTemplate = `{
  "name": %q, "failure-domain": "kgn-a",
  "callers-address": %q, "ready-address": %q, "metrics-address": %q, "peers-address": %q,
  "seeds": [%s], "store-address": %q,
  "processor-cores": 0.4, "link-mbit-per-second": 1000.0, "regions": {"kgn-a": "kgn"},
  "server-heartbeat": "1200ms", "revoke-bound": "5000ms", "apply-bound": "2000ms", "stop-grace": "8s",
  "retry-budget": {"ratio": 0.2, "extra": 54, "window": "10s"}
}
`

// startFleet starts the store and n VMs. Their logs go to dir.
func startFleet(_ context.Context, program, dir string, n int, rec *recorder) (*fleet, error) {
	f := &fleet{rec: rec, store: fake.NewStore(), host: hostAddr(0)}
	ln, err := f.listen(f.host)
	if err != nil {
		return nil, err
	}
	f.group.Go(func() error { _ = f.store.Serve(ln); return nil })
	addrs := make([][]string, n)
	var seeds []string
	for i := range n {
		if addrs[i], err = freePorts(hostAddr(i+1), 4); err != nil {
			return nil, err
		}
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", addrs[i][3]))
		}
	}
	for i, a := range addrs {
		v := &vm{name: fmt.Sprintf("edge-kgn-a-%d", i+1), front: a[0], ready: a[1], ended: make(chan struct{})}
		path := filepath.Join(dir, v.name+".json")
		text := fmt.Sprintf(settingsTemplate, v.name, a[0], a[1], a[2], a[3], strings.Join(seeds, ","), ln.Addr().String())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return f, err
		}
		if err := f.startVM(v, program, path, filepath.Join(dir, v.name+".log")); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) startVM(v *vm, program, settings, logPath string) error {
	logFile, err := os.Create(logPath) //nolint:gosec // a file in the directory of the trial
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	v.log = logPath
	v.cmd = exec.Command(program, "edge") //nolint:gosec // the program under test
	v.cmd.Env = append(os.Environ(), "UMBERLADDER_CONFIG="+settings)
	v.cmd.Stdout, v.cmd.Stderr = logFile, logFile
	if err := v.cmd.Start(); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	f.rec.add("vm %s starts, pid %d, front %s", v.name, v.cmd.Process.Pid, v.front)
	f.group.Go(func() error {
		err := v.cmd.Wait()
		f.rec.add("vm %s ended: %v", v.name, err)
		close(v.ended)
		return nil
	})
	return nil
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, v := range f.vms {
		for !v.isReady(ctx) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", v.name, ctx.Err())
			case <-v.ended:
				return fmt.Errorf("%s ended", v.name)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	f.rec.add("all VMs are ready")
	return nil
}

func (v *vm) isReady(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/readiness", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// isEnded reports whether the VM's process has ended.
func (v *vm) isEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// lastLine returns the last line of the VM's output.
func (v *vm) lastLine() string {
	data, err := os.ReadFile(v.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

func (f *fleet) signal(v *vm, s syscall.Signal) {
	f.rec.add("vm %s gets %s", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

// stop ends all VMs and stand-ins.
func (f *fleet) stop() {
	for _, v := range f.vms {
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ln := range f.listeners {
		_ = ln.Close()
	}
}
