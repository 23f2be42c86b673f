// Package loads keeps a pool for each model, updates the pools when the settings
// change, and polls the load reports of their engines.
package loads

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
)

// readTimeout bounds the reading of one report.
const readTimeout = time.Second

// Reader reads an engine's load report.
type Reader interface {
	Load(ctx context.Context, addr netip.AddrPort) (engine.Load, error)
}

// Poller holds a pool for each model and polls its engines. It is safe for
// concurrent use.
type Poller struct {
	reader     Reader
	interval   func(ident.Model) time.Duration
	chooser    func() place.Chooser
	vms        func(ident.Model) int
	invariants *invar.Checker
	seed       uint64

	mu      sync.Mutex
	pools   map[ident.Model]*pool.Pool
	pollers map[netip.AddrPort]context.CancelFunc
	targets map[netip.AddrPort]target
	changed chan struct{}
}

type target struct {
	pool *pool.Pool
	name ident.Server
}

// New returns a Poller. interval returns how often the load reports of a model's
// engines are read, and vms how many VMs place generations of a model.
func New(reader Reader, interval func(ident.Model) time.Duration, chooser func() place.Chooser, vms func(ident.Model) int, invariants *invar.Checker, seed uint64) *Poller {
	return &Poller{
		reader:     reader,
		interval:   interval,
		chooser:    chooser,
		vms:        vms,
		invariants: invariants,
		seed:       seed,
		pools:      map[ident.Model]*pool.Pool{},
		pollers:    map[netip.AddrPort]context.CancelFunc{},
		targets:    map[netip.AddrPort]target{},
		changed:    make(chan struct{}, 1),
	}
}

// Pool returns a model's pool, or nil.
func (l *Poller) Pool(m ident.Model) *pool.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pools[m]
}

// Pools returns every pool.
func (l *Poller) Pools() []*pool.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pool.Pool, 0, len(l.pools))
	for _, p := range l.pools {
		out = append(out, p)
	}
	return out
}

// Update sets the models and engines that the settings list.
func (l *Poller) Update(s *config.Snapshot) {
	if s.System == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = map[netip.AddrPort]target{}
	for _, m := range s.System.Models {
		p := l.pools[m.Name]
		if p == nil {
			l.seed++
			p = pool.New(m.Name, l.chooser(), func() int { return l.vms(m.Name) }, l.invariants, rand.New(rand.NewPCG(l.seed, 0)))
			l.pools[m.Name] = p
		}
		p.Update(m.Servers)
		for _, server := range m.Servers {
			l.targets[server.Address] = target{pool: p, name: server.Name}
		}
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Run polls the engines until ctx ends.
func (l *Poller) Run(ctx context.Context, g Group) error {
	for {
		l.reconcile(ctx, g)
		select {
		case <-ctx.Done():
			return nil
		case <-l.changed:
		}
	}
}

// reconcile starts a poller for each target engine and stops the others.
func (l *Poller) reconcile(ctx context.Context, g Group) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, cancel := range l.pollers {
		if _, ok := l.targets[addr]; !ok {
			cancel()
			delete(l.pollers, addr)
		}
	}
	for addr, t := range l.targets {
		if l.pollers[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		l.pollers[addr] = cancel
		l.seed++
		rng := rand.New(rand.NewPCG(l.seed, 1))
		g.Go(func() error {
			l.poll(ctx, addr, t, rng)
			return nil
		})
	}
}

// poll reads one engine's load reports, at random intervals so that VMs do not
// poll in step.
func (l *Poller) poll(ctx context.Context, addr netip.AddrPort, t target, rng *rand.Rand) {
	for ctx.Err() == nil {
		l.read(ctx, addr, t)
		interval := l.interval(t.pool.Model())
		wait := interval/2 + time.Duration(rng.Int64N(int64(interval)))
		retry.Sleep(ctx, wait)
	}
}

func (l *Poller) read(ctx context.Context, addr netip.AddrPort, t target) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := l.reader.Load(ctx, addr)
	if err != nil {
		t.pool.ReportFailure(t.name, time.Now())
		return
	}
	t.pool.HandleReport(t.name, report, time.Now())
}
