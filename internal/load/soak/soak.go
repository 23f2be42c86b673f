package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"umberladder/platform/fake"
)

const (
	numKeys = 4
	// revokeBound is how long after its revocation a key may still be served;
	// drainBound is how long a retired or draining server may still get calls.
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	// healthyTime is how long a VM must have been running with a reachable store for
	// drainBound to apply to it.
	healthyTime = 3 * time.Second
	// startupTime is the time from the start of the VMs to the first fault.
	startupTime = 1500 * time.Millisecond
	// routesStep is the number of routes that each version of growing settings adds.
	routesStep = 700
	// heartbeatInterval is the interval at which servers write their entries.
	heartbeatInterval = 400 * time.Millisecond
)

// Config describes one soak.
type Config struct {
	Seed          uint64
	Duration      time.Duration
	VMs           int
	Servers       int // number of engines; there are half as many plain servers
	Clients       int
	Routes        int  // number of routes that the settings grow to, by routesStep per version
	StoreRestores bool // also restore the store from backup copies
	Crashes       bool // also have requests crash servers, and servers announce drains and pauses in responses
	Evacuations   bool // also have operators evacuate a failure domain
	Cuts          bool // also cut VMs off from all servers, and make servers brittle
	Ends          bool // also have servers mark the ends of responses in other ways, or break off
	Spoils        bool // also have servers send bytes that are no response, or have no end
	Heads         bool // also have servers send responses with a broken head
	Versions      bool // also roll engines to other versions of the software, and have clients take streams up
	Parts         bool // also have parts of prompts crash servers
	Floods        bool // also have a balancer hand most connections to one VM
	Uneven        bool // also have servers differ in speed, and slow some down for a time
	Shares        bool // also have one workspace send several times what the others send, and change priorities
	Program       string
	Dir           string
}

// Report is the result of a soak.
type Report struct {
	Seed       uint64         `json:"seed"`
	Calls      int            `json:"calls"`
	Served     int            `json:"served"`
	Refused    int            `json:"refused"`
	Failed     int            `json:"failed"`
	Mixed      int            `json:"mixed"`    // streams that hold events of several versions
	TakenUp    int            `json:"taken-up"` // streams that clients took up while enough servers of their version served
	WentOn     int            `json:"went-on"`  // those of them that brought further events
	Faults     map[string]int `json:"faults"`
	Violations []string       `json:"violated"`
}

// backend is a server behind a proxy.
type backend struct {
	server    *fake.Server
	proxy     *Proxy
	ln        net.Listener
	retiredAt time.Time // when its entry was set to draining, or removed
	dead      bool      // it no longer writes its entry
	speed     float64   // in relation to the usual one
}

type run struct {
	cfg          Config
	rng          *rand.Rand
	store        *fake.Store
	runLog       *fake.RunLog
	vms          []*vm
	storeProxies []*Proxy // by VM: the proxy between it and the store
	group        errgroup.Group

	flooded atomic.Pointer[flood] // nil: connections are spread over the VMs

	mu          sync.Mutex
	floods      []*flood
	backends    []*backend
	calls       []*call
	faults      map[string]int
	version     int
	revoked     map[string]time.Time
	evacuations []span
	cuts        []*vmCut
	brittle     []span                 // when the plain servers were brittle
	problems    []string               // faults that could not be injected
	impairments map[string][]span      // by VM: when it or its connection to the store was impaired
	stops       map[string][]time.Time // by VM: when its process was stopped or paused
	nextID      int
	releases    int            // versions of the engines after the first
	priorities  map[string]int // by key: priority of its workspace; nil: all keys belong to one workspace
	mixed       []string       // streams that hold events of several versions
}

// Run runs one soak.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := &run{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), store: fake.NewStore(), runLog: fake.NewRunLog(),
		priorities: make(map[string]int), faults: make(map[string]int), revoked: make(map[string]time.Time), impairments: make(map[string][]span), stops: make(map[string][]time.Time),
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	for n := range cfg.Clients {
		r.group.Go(func() error { return r.runClient(ctx, n) })
	}
	r.injectFaults(ctx)
	<-ctx.Done()
	r.stop()
	return r.report(), nil
}

// start starts the store, the servers and the VMs.
func (r *run) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	r.group.Go(func() error { _ = r.store.Serve(ln); return nil })
	r.writeNextSettings()
	for n := range r.cfg.Servers {
		if err := r.addServer(ctx, fake.EngineService); err != nil {
			return err
		}
		if n%2 == 0 {
			if err := r.addServer(ctx, fake.PlainService); err != nil {
				return err
			}
		}
	}
	if err := os.MkdirAll(r.cfg.Dir, 0o750); err != nil {
		return trace.ConvertSystemError(err)
	}
	for n := range r.cfg.VMs {
		proxy, err := NewProxy(ln.Addr().String())
		if err != nil {
			return trace.Wrap(err)
		}
		v, err := newVM(r.cfg.Program, r.cfg.Dir, n, proxy.Addr())
		if err != nil {
			return err
		}
		r.storeProxies, r.vms = append(r.storeProxies, proxy), append(r.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	r.group.Go(func() error { r.writeHeartbeats(ctx); return nil })
	time.Sleep(startupTime)
	return nil
}

// writeHeartbeats writes the servers' entries periodically until ctx ends.
func (r *run) writeHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		for _, b := range r.backends {
			if !b.dead {
				b.server.Register()
			}
		}
		r.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
}

// writeNextSettings writes the next version of the settings, with the keys that
// are not revoked.
func (r *run) writeNextSettings() {
	r.version++
	r.writeSettings()
}

// writeSettings writes the current version of the settings.
func (r *run) writeSettings() {
	var valid []string
	for n := range numKeys {
		if k := fmt.Sprintf("key-%d", n); r.revoked[k].IsZero() {
			valid = append(valid, k)
		}
	}
	if r.cfg.Shares {
		r.store.SetPriorities(r.priorities)
	}
	r.store.PutSettings(r.version, valid, min(r.version*routesStep, r.cfg.Routes))
}

func (r *run) addServer(ctx context.Context, service string) error {
	return r.addServerOf(ctx, service, fake.DefaultVersion)
}

// addServerOf starts a server that runs a version of the software.
func (r *run) addServerOf(ctx context.Context, service, version string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	p, err := NewProxy(ln.Addr().String())
	if err != nil {
		return trace.Wrap(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	s := fake.NewServer(fmt.Sprintf("%s-%d", service, r.nextID), service, r.nextDomain(), p.Addr(), r.store, r.runLog)
	b := &backend{server: s, proxy: p, ln: ln, speed: 1}
	r.configure(b)
	s.OnFatal(func() { r.crashOnFatal(ctx, b) })
	r.backends = append(r.backends, b)
	r.applyCuts(b)
	s.SetVersion(version)
	r.group.Go(func() error { _ = s.Serve(ln); return nil })
	return nil
}

func (r *run) addCall(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// stop stops the VMs, servers and proxies that the soak started.
func (r *run) stop() {
	for _, v := range r.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		v.wait()
	}
	for _, b := range r.backends {
		b.server.Crash()
		_ = b.ln.Close()
		b.proxy.Close()
	}
	for _, p := range r.storeProxies {
		p.Close()
	}
	_ = r.group.Wait()
}

// report checks what clients saw against what servers ran.
func (r *run) report() *Report {
	rep := &Report{Seed: r.cfg.Seed, Calls: len(r.calls), Faults: r.faults, Violations: []string{}}
	for _, v := range r.vms {
		rep.Violations = append(rep.Violations, v.panics()...)
	}
	for _, c := range r.calls {
		switch {
		case c.status == 200 && c.complete:
			rep.Served++
		case c.status == 429 || c.status == 503:
			rep.Refused++
		default:
			rep.Failed++
		}
		if violation := r.violation(c); violation != "" {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%s at %s, %s: %s", c.id, c.vm, c.path, violation))
		}
	}
	rep.Violations = append(rep.Violations, slices.Concat(r.problems, r.fatalViolations(), r.cutViolations(), r.brittleViolations(), r.versionViolations(rep), r.partViolations(), r.floodViolations(), r.shareViolations())...)
	slices.Sort(rep.Violations)
	return rep
}

// violation describes the guarantee that was violated for a call; it returns ""
// if there is none.
func (r *run) violation(c *call) string {
	runs := r.runLog.Runs(c.id)
	if c.violation != "" {
		return c.violation
	}
	if s := cmp.Or(r.retiredViolation(c, runs), r.drainViolation(c, runs), r.evacuationViolation(c, runs)); s != "" {
		return s
	}
	return r.responseViolation(c, runs)
}

// span is a time interval; a zero to means that it has not ended.
type span struct{ from, to time.Time }

// wasHealthy reports whether a VM was unimpaired at a point in time and for
// healthyTime before it.
func (r *run) wasHealthy(vm string, at time.Time) bool {
	for _, s := range r.impairments[vm] {
		if s.from.Before(at) && (s.to.IsZero() || s.to.Add(healthyTime).After(at)) {
			return false
		}
	}
	return true
}

// markImpaired records that a VM is impaired from now on, and returns a function
// that records the end.
func (r *run) markImpaired(vm string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.impairments[vm] = append(r.impairments[vm], span{from: time.Now()})
	n := len(r.impairments[vm]) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.impairments[vm][n].to = time.Now()
	}
}

// retiredViolation returns a violation if the call ran at a server that had retired
// more than drainBound before.
func (r *run) retiredViolation(c *call, runs []fake.Run) string {
	for _, run := range runs {
		b := r.findBackend(run.Server)
		if b != nil && !b.retiredAt.IsZero() && run.Start.Sub(b.retiredAt) > drainBound && c.sentAt.After(b.retiredAt) && r.wasHealthy(c.vm, run.Start) {
			return "ran at " + run.Server + ", which had retired"
		}
	}
	return ""
}

// responseViolation checks the response against the runs of the call.
func (r *run) responseViolation(c *call, runs []fake.Run) string {
	newRuns := 0
	for _, run := range runs {
		if !run.FromCopy {
			newRuns++
		}
	}
	revoked := r.revoked[c.key]
	switch {
	case c.status > http.StatusOK && c.status < http.StatusMultipleChoices:
		return fmt.Sprintf("received %d, which no server sent as its response", c.status)
	case meansNotRun(c.status) && len(runs) > 0:
		return "was refused as not run, but ran"
	case newRuns > 1 && !strings.HasPrefix(c.path, "/get/") && !strings.HasPrefix(c.path, "/resume/"):
		return fmt.Sprintf("ran %d times", newRuns)
	case !revoked.IsZero() && c.sentAt.Sub(revoked) > revokeBound && len(runs) > 0:
		return "ran with a revoked key"
	case (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound) && revoked.IsZero():
		return fmt.Sprintf("was denied with %d", c.status)
	}
	return ""
}

// meansNotRun reports whether a status promises that the call has not run.
func meansNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

func (r *run) findBackend(id string) *backend {
	for _, b := range r.backends {
		if b.server.ID == id {
			return b
		}
	}
	return nil
}
