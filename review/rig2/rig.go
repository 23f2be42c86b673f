// Package rig2 starts small fleets of edge VMs as separate processes for the cases of the
// second review, with stand-ins for the store, the backend servers and the clients.
package rig2

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"umberladder/internal/load/soak"
	"umberladder/platform/fake"
)

// The exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	Unrun  = 2 // the case could not be run
)

// Heartbeat is the interval at which servers write their entries in the store.
const Heartbeat = 1200 * time.Millisecond

// settleTime is how long the fleet runs before a case begins.
const settleTime = 4 * time.Second

// goroutines are all goroutines of a case. They end with its process.
var goroutines sync.WaitGroup

// Go starts a goroutine.
func Go(f func()) { goroutines.Go(f) }

// Record is the record of a case, of which each line states the time since the start.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt")) //nolint:gosec // the folder of the case
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f}, nil
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) { r.PrintAt(time.Now(), format, args...) }

// PrintAt writes one line about an event at the given time.
func (r *Record) PrintAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the case is to be run with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// VM is one edge VM.
type VM struct {
	Name       string
	Clients    string // address for clients
	Ready      string // address for readiness checks
	StoreLink  *soak.Proxy
	dir        string
	program    string
	mu         sync.Mutex
	cmd        *exec.Cmd
	ended      chan struct{}
	terminated bool // it is meant to end
}

// Fleet is a set of VMs with a store and servers.
type Fleet struct {
	Rec     *Record
	Store   *fake.Store
	Runs    *fake.RunLog
	VMs     []*VM
	Gate    *Gate // of the last VM; nil: it has none
	Servers []*fake.Server
	ctx     context.Context
	cancel  context.CancelFunc
	dir     string
	storeAt string
	mu      sync.Mutex
	silent  map[*fake.Server]bool // servers that no longer write their entries
}

// Config describes a fleet.
type Config struct {
	VMs     int
	Late    int // number of VMs that start only once the others are ready
	Engines int
	Plain   int
	Gated   bool // the last VM is behind a Gate
	Program string
}

// Start starts the store, the servers and the VMs, and waits until all VMs are ready.
func Start(rec *Record, cfg Config, putSettings func(*fake.Store)) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Rec: rec, Store: fake.NewStore(), Runs: fake.NewRunLog(), dir: dir, silent: make(map[*fake.Server]bool)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return f, err
	}
	f.storeAt = ln.Addr().String()
	f.serve(ln, f.Store.Serve)
	putSettings(f.Store)
	for n := range cfg.Engines + cfg.Plain {
		service := fake.EngineService
		if n >= cfg.Engines {
			service = fake.PlainService
		}
		if err := f.AddServer(fmt.Sprintf("%s-%d", service, n), service); err != nil {
			return f, err
		}
	}
	Go(func() { f.writeHeartbeats() })
	return f, f.startVMs(cfg)
}

func (f *Fleet) startVMs(cfg Config) error {
	total := cfg.VMs + cfg.Late
	for n := range total {
		link, err := soak.NewProxy(f.storeAt)
		if err != nil {
			return err
		}
		v := &VM{Name: fmt.Sprintf("vm-%d", n), StoreLink: link, dir: f.dir, program: cfg.Program}
		f.VMs = append(f.VMs, v)
	}
	ports, err := freeAddrs(4 * total)
	if err != nil {
		return err
	}
	for n, v := range f.VMs {
		p := ports[4*n : 4*n+4]
		v.Clients, v.Ready = p[0], p[1]
		seed, store := ports[3], v.StoreLink.Addr()
		if cfg.Gated && n == total-1 {
			if f.Gate, err = newGate(f.ctx, p[3], peersOf(ports[:4*n]), store); err != nil {
				return err
			}
			seed, store = f.Gate.inside[0], f.Gate.store
		}
		if err := v.writeSettings(p, seed, store); err != nil {
			return err
		}
		if n == cfg.VMs {
			if err := f.awaitReady(f.VMs[:n]); err != nil {
				return err
			}
			f.Rec.Printf("%d more VMs start", cfg.Late)
		}
		if err := v.Start(); err != nil {
			return err
		}
	}
	return f.awaitReady(f.VMs)
}

// peersOf returns the addresses for other VMs among the VMs' addresses, four of each.
func peersOf(addrs []string) []string {
	var out []string
	for n := 3; n < len(addrs); n += 4 {
		out = append(out, addrs[n])
	}
	return out
}

func (f *Fleet) serve(ln net.Listener, serve func(net.Listener) error) {
	context.AfterFunc(f.ctx, func() { _ = ln.Close() })
	Go(func() { _ = serve(ln) })
}

// AddServer starts a server and writes its entry.
func (f *Fleet) AddServer(id, service string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := fake.NewServer(id, service, "a", ln.Addr().String(), f.Store, f.Runs)
	f.serve(ln, s.Serve)
	s.Register()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Servers = append(f.Servers, s)
	return nil
}

func (f *Fleet) writeHeartbeats() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		for _, s := range f.Servers {
			if !f.silent[s] {
				s.Register()
			}
		}
		f.mu.Unlock()
		time.Sleep(Heartbeat)
	}
}

// awaitReady waits until VMs are ready, and then for settleTime.
func (f *Fleet) awaitReady(vms []*VM) error {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range vms {
			if v.IsReady() {
				ready++
			}
		}
		if ready == len(vms) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d VMs are ready", ready, len(vms))
		}
	}
	time.Sleep(settleTime)
	return nil
}

// Stop ends all that the fleet started.
func (f *Fleet) Stop() {
	for _, v := range f.VMs {
		v.Kill()
		v.StoreLink.Close()
	}
	f.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// SetStoreLinks sets how the VMs' connections to the store are treated.
func (f *Fleet) SetStoreLinks(m soak.Mode) {
	for _, v := range f.VMs {
		v.StoreLink.SetMode(m)
	}
}

// freeAddrs returns n loopback addresses that are free for TCP.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}

// writeSettings writes the VM's settings file with the members of deploy/settings.json and the
// bounds of a small deployment.
func (v *VM) writeSettings(addrs []string, seed, store string) error {
	data, err := json.Marshal(map[string]any{
		"name": v.Name, "failure-domain": "a", "regions": map[string]string{"a": "r"},
		"callers-address": addrs[0], "ready-address": addrs[1], "metrics-address": addrs[2], "peers-address": addrs[3],
		"seeds": []string{seed}, "store-address": store, "processor-cores": 0.4, "link-mbit-per-second": 1000.0,
		"server-heartbeat": Heartbeat.String(), "revoke-bound": "5000ms", "apply-bound": "2000ms", "stop-grace": "8s",
		"retry-budget": map[string]any{"ratio": 0.2, "extra": 54, "window": "10s"},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(v.path(".json"), data, 0o600)
}

func (v *VM) path(suffix string) string { return filepath.Join(v.dir, v.Name+suffix) }

// Start starts the VM's process with the command of the deploy file.
func (v *VM) Start() error {
	log, err := os.OpenFile(v.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(v.program, "edge") //nolint:gosec // the project's own program
	cmd.Env = append(os.Environ(), "UMBERLADDER_CONFIG="+v.path(".json"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	Go(func() {
		_ = cmd.Wait()
		close(ended)
	})
	v.cmd, v.ended, v.terminated = cmd, ended, false
	return nil
}

// Signal sends a signal to the VM's process.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// Kill kills the VM's process and waits for its end.
func (v *VM) Kill() {
	v.mu.Lock()
	v.terminated = true
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return
	}
	v.Signal(syscall.SIGKILL)
	<-ended
}

// EndedByItself reports whether the VM's process has ended without being told to.
func (v *VM) EndedByItself() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
		return !v.terminated
	default:
		return false
	}
}

// Log returns the lines of the VM's log that contain one of the given texts.
func (v *VM) Log(texts ...string) []string {
	data, err := os.ReadFile(v.path(".log"))
	if err != nil {
		return []string{err.Error()}
	}
	var out []string
	for line := range strings.Lines(string(data)) {
		for _, t := range texts {
			if strings.Contains(line, t) {
				out = append(out, strings.TrimSpace(line))
				break
			}
		}
	}
	return out
}

// IsReady reports whether the VM states that it is ready.
func (v *VM) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.Ready + "/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// Call is one request as its client saw it.
type Call struct {
	ID     string
	VM     string
	Path   string
	Key    string
	SentAt time.Time
	Took   time.Duration
	Status int // zero: there was no answer
	Body   string
	Whole  bool // the body was read to its end
	Signed bool
}

// Do sends one request over a new connection and reads the answer.
func (f *Fleet) Do(v *VM, id, path, key string, timeout time.Duration) *Call {
	c := &Call{ID: id, VM: v.Name, Path: path, Key: key}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	req, err := fake.NewRequest(ctx, v.Clients, path, id, key, timeout)
	if err != nil {
		c.Body = err.Error()
		return c
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	c.SentAt = time.Now()
	defer func() { c.Took = time.Since(c.SentAt) }()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		c.Body = err.Error()
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	c.Status, c.Signed = resp.StatusCode, fake.Signed(resp, id)
	b, err := io.ReadAll(resp.Body)
	c.Body, c.Whole = string(b), err == nil
	return c
}

// Main runs a case, which returns whether its rule was broken, and exits.
func Main(dir string, run func(rec *Record) (bool, error)) {
	rec, err := NewRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unrun)
	}
	broken, err := run(rec)
	switch {
	case err != nil:
		rec.Printf("the case could not be run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unrun)
	case broken:
		rec.Printf("the rule was broken")
		os.Exit(Broken)
	}
	rec.Printf("the rule held")
	os.Exit(Held)
}

// Args returns the folder of the case and the program to start, from the command line.
func Args() (dir, program string, err error) {
	if len(os.Args) != 3 {
		return "", "", errors.New("want the folder of the case and the program")
	}
	return os.Args[1], os.Args[2], nil
}
