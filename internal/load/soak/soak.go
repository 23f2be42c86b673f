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
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"umberladder/platform/standin"
)

const (
	keys = 4
	// revokeBound is how long after its end a key may be served, drainBound how
	// long after its mark a leaving server may get calls.
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	// contact is how long a VM must have been whole, with a way to the store, for
	// the bound on leaving servers to hold for it.
	contact = 3 * time.Second
	// settle is how long VMs have before the first failure.
	settle = 1500 * time.Millisecond
	// routesStep is how many routes a version of growing settings has more than the
	// one before.
	routesStep = 700
	// heartbeat is how often servers write their entries.
	heartbeat = 400 * time.Millisecond
)

// Config is one soak.
type Config struct {
	Seed     uint64
	Duration time.Duration
	VMs      int
	Servers  int // engines; half as many plain servers
	Clients  int
	Routes   int  // that the settings grow to, by routesStep with each version
	Drills   bool // the store comes back from copies, too
	Crashes  bool // requests end servers, and servers announce drains and pauses in answers
	Program  string
	Dir      string
}

// Report is what a soak found.
type Report struct {
	Seed     uint64         `json:"seed"`
	Calls    int            `json:"calls"`
	Served   int            `json:"served"`
	Refused  int            `json:"refused"`
	Failed   int            `json:"failed"`
	Faults   map[string]int `json:"faults"`
	Violated []string       `json:"violated"`
}

// backend is a server behind a proxy.
type backend struct {
	server *standin.Server
	proxy  *Proxy
	ln     net.Listener
	left   time.Time // when it was marked as leaving, or its entry removed
	dead   bool      // it writes its entry no more
}

type run struct {
	cfg    Config
	rng    *rand.Rand
	store  *standin.Store
	ledger *standin.Ledger
	vms    []*vm
	ways   []*Proxy // each VM's way to the store
	group  errgroup.Group

	mu       sync.Mutex
	backends []*backend
	calls    []*call
	faults   map[string]int
	version  int
	revoked  map[string]time.Time
	harmed   map[string][]span      // by VM: when it or its way to the store was harmed
	stops    map[string][]time.Time // by VM: when its process was stopped or paused
	nextID   int
}

// Run plays one soak.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := &run{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), store: standin.NewStore(), ledger: standin.NewLedger(),
		faults: make(map[string]int), revoked: make(map[string]time.Time), harmed: make(map[string][]span), stops: make(map[string][]time.Time),
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	for n := range cfg.Clients {
		r.group.Go(func() error { return r.client(ctx, n) })
	}
	r.trouble(ctx)
	<-ctx.Done()
	r.stop()
	return r.judge(), nil
}

// start starts the store, the servers and the VMs.
func (r *run) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	r.group.Go(func() error { _ = r.store.Serve(ln); return nil })
	r.configure()
	for n := range r.cfg.Servers {
		if err := r.addServer(ctx, standin.Engines); err != nil {
			return err
		}
		if n%2 == 0 {
			if err := r.addServer(ctx, standin.Plain); err != nil {
				return err
			}
		}
	}
	if err := os.MkdirAll(r.cfg.Dir, 0o750); err != nil {
		return trace.ConvertSystemError(err)
	}
	for n := range r.cfg.VMs {
		way, err := NewProxy(ln.Addr().String())
		if err != nil {
			return trace.Wrap(err)
		}
		v, err := newVM(r.cfg.Program, r.cfg.Dir, n, way.Addr())
		if err != nil {
			return err
		}
		r.ways, r.vms = append(r.ways, way), append(r.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	r.group.Go(func() error { r.beat(ctx); return nil })
	time.Sleep(settle)
	return nil
}

// beat writes the servers' entries, until ctx ends.
func (r *run) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		for _, b := range r.backends {
			if !b.dead {
				b.server.Enter()
			}
		}
		r.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// configure writes the next version of the settings, with the keys that are left.
func (r *run) configure() {
	r.version++
	r.write()
}

// write writes the settings of the present version.
func (r *run) write() {
	var left []string
	for n := range keys {
		if k := fmt.Sprintf("key-%d", n); r.revoked[k].IsZero() {
			left = append(left, k)
		}
	}
	r.store.Configure(r.version, left, min(r.version*routesStep, r.cfg.Routes))
}

func (r *run) addServer(ctx context.Context, service string) error {
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
	s := standin.NewServer(fmt.Sprintf("%s-%d", service, r.nextID), service, "a", p.Addr(), r.store, r.ledger)
	b := &backend{server: s, proxy: p, ln: ln}
	s.OnFatal(func() { r.crashUnder(ctx, b) })
	r.backends = append(r.backends, b)
	s.Enter()
	r.group.Go(func() error { _ = s.Serve(ln); return nil })
	return nil
}

func (r *run) done(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// stop ends what the soak started, and nothing else.
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
	for _, w := range r.ways {
		w.Close()
	}
	_ = r.group.Wait()
}

// judge holds what clients saw against what servers did.
func (r *run) judge() *Report {
	rep := &Report{Seed: r.cfg.Seed, Calls: len(r.calls), Faults: r.faults, Violated: []string{}}
	for _, v := range r.vms {
		rep.Violated = append(rep.Violated, v.crashed()...)
	}
	for _, c := range r.calls {
		switch {
		case c.status == 200 && c.whole:
			rep.Served++
		case c.status == 429 || c.status == 503:
			rep.Refused++
		default:
			rep.Failed++
		}
		if fault := r.fault(c); fault != "" {
			rep.Violated = append(rep.Violated, fmt.Sprintf("%s at %s, %s: %s", c.id, c.vm, c.path, fault))
		}
	}
	rep.Violated = append(rep.Violated, r.repeated()...)
	slices.Sort(rep.Violated)
	return rep
}

// fault returns the promise that was broken to a call, or nothing.
func (r *run) fault(c *call) string {
	runs := r.ledger.Runs(c.id)
	if c.fault != "" {
		return c.fault
	}
	if s := cmp.Or(r.leftBehind(c, runs), r.drained(c, runs)); s != "" {
		return s
	}
	return r.untrue(c, runs)
}

// span is a time from one moment to another; a zero end has not come.
type span struct{ from, to time.Time }

// inTouch reports whether a VM was unharmed for the whole contact time before a
// moment.
func (r *run) inTouch(vm string, at time.Time) bool {
	for _, h := range r.harmed[vm] {
		if h.from.Before(at) && (h.to.IsZero() || h.to.Add(contact).After(at)) {
			return false
		}
	}
	return true
}

// harm notes that a VM is harmed from now on, and returns what notes the end.
func (r *run) harm(vm string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harmed[vm] = append(r.harmed[vm], span{from: time.Now()})
	n := len(r.harmed[vm]) - 1
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.harmed[vm][n].to = time.Now()
	}
}

// leftBehind names a server that the call was given long after it had left.
func (r *run) leftBehind(c *call, runs []standin.Run) string {
	for _, one := range runs {
		b := r.backend(one.Server)
		if b != nil && !b.left.IsZero() && one.Start.Sub(b.left) > drainBound && c.sent.After(b.left) && r.inTouch(c.vm, one.Start) {
			return "ran at " + one.Server + ", which had left"
		}
	}
	return ""
}

// untrue holds the answer against the call's runs.
func (r *run) untrue(c *call, runs []standin.Run) string {
	fresh := 0
	for _, one := range runs {
		if !one.GoesOn {
			fresh++
		}
	}
	revoked := r.revoked[c.key]
	switch {
	case (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) && len(runs) > 0:
		return "was refused as not run, and has run"
	case fresh > 1 && !strings.HasPrefix(c.path, "/get/"):
		return fmt.Sprintf("ran %d times", fresh)
	case !revoked.IsZero() && c.sent.Sub(revoked) > revokeBound && len(runs) > 0:
		return "ran with a key that was taken away"
	case (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound) && revoked.IsZero():
		return fmt.Sprintf("was denied with %d", c.status)
	}
	return ""
}

func (r *run) backend(id string) *backend {
	for _, b := range r.backends {
		if b.server.ID == id {
			return b
		}
	}
	return nil
}
