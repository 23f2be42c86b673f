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
// engines are read, chooser returns the placement policy of a new pool, and vms
// returns how many VMs place generations of a model.
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
func (p *Poller) Pool(m ident.Model) *pool.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[m]
}

// Pools returns every pool.
func (p *Poller) Pools() []*pool.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*pool.Pool, 0, len(p.pools))
	for _, modelPool := range p.pools {
		out = append(out, modelPool)
	}
	return out
}

// Update sets the models and engines that the settings list.
func (p *Poller) Update(s *config.Snapshot) {
	if s.System == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = map[netip.AddrPort]target{}
	for _, m := range s.System.Models {
		modelPool := p.pools[m.Name]
		if modelPool == nil {
			p.seed++
			modelPool = pool.New(m.Name, p.chooser(), func() int { return p.vms(m.Name) }, p.invariants, rand.New(rand.NewPCG(p.seed, 0)))
			p.pools[m.Name] = modelPool
		}
		modelPool.Update(m.Servers)
		for _, server := range m.Servers {
			p.targets[server.Address] = target{pool: modelPool, name: server.Name}
		}
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Run polls the engines until ctx ends.
func (p *Poller) Run(ctx context.Context, g Group) error {
	for {
		p.reconcile(ctx, g)
		select {
		case <-ctx.Done():
			return nil
		case <-p.changed:
		}
	}
}

// reconcile starts a poller for each target engine and stops the others.
func (p *Poller) reconcile(ctx context.Context, g Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, cancel := range p.pollers {
		if _, ok := p.targets[addr]; !ok {
			cancel()
			delete(p.pollers, addr)
		}
	}
	for addr, t := range p.targets {
		if p.pollers[addr] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		p.pollers[addr] = cancel
		p.seed++
		rng := rand.New(rand.NewPCG(p.seed, 1))
		g.Go(func() error {
			p.poll(ctx, addr, t, rng)
			return nil
		})
	}
}

// poll reads one engine's load reports, at random intervals so that VMs do not
// all poll at the same time.
func (p *Poller) poll(ctx context.Context, addr netip.AddrPort, t target, rng *rand.Rand) {
	for ctx.Err() == nil {
		p.read(ctx, addr, t)
		interval := p.interval(t.pool.Model())
		wait := interval/2 + time.Duration(rng.Int64N(int64(interval)))
		retry.Sleep(ctx, wait)
	}
}

func (p *Poller) read(ctx context.Context, addr netip.AddrPort, t target) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := p.reader.Load(ctx, addr)
	if err != nil {
		t.pool.ReportFailure(t.name, time.Now())
		return
	}
	t.pool.HandleReport(t.name, report, time.Now())
}
