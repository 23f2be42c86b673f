package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/invar"
	"umberladder/internal/core/seal"
	"umberladder/internal/peer/caller"
	"umberladder/internal/peer/engine"
	"umberladder/internal/peer/link"
	peerplain "umberladder/internal/peer/plain"
	"umberladder/internal/peer/store"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/tally"
	"umberladder/internal/route/entry"
	"umberladder/internal/route/gate"
	"umberladder/internal/route/gener"
	"umberladder/internal/route/loads"
	"umberladder/internal/route/plain"
	"umberladder/internal/state/claim"
	"umberladder/internal/state/config"
	"umberladder/internal/state/spread"
)

// keptConns is how many spare connections a VM keeps to each server.
const keptConns = 16

// VM is one entry VM.
type VM struct {
	cfg    *conf.Node
	log    *zap.Logger
	set    *metrics.Set
	book   *invar.Book
	ring   *seal.Ring
	group  *errgroup.Group
	ctx    context.Context // of everything that runs until the last request ended
	cancel context.CancelFunc

	settings *spread.Book
	store    *store.Client
	loads    *loads.Loads
	entry    *entry.Entry
	callers  *caller.Server
}

// New makes a VM from its settings.
func New(cfg *conf.Node, log *zap.Logger) (*VM, error) {
	ring, err := seal.New(cfg.Secrets)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	v := &VM{cfg: cfg, log: log, set: metrics.NewSet(), ring: ring}
	ctx, cancel := context.WithCancel(context.Background())
	v.group, v.ctx = errgroup.WithContext(ctx)
	v.cancel = cancel
	v.book = &invar.Book{Report: func(n invar.Name, detail string) {
		log.Error("invariant violated", zap.Stringer("invariant", n), zap.String("detail", detail))
	}}
	v.build()
	return v, nil
}

func (v *VM) build() {
	cfg := v.cfg
	seed := rand.Uint64()
	short := link.New(cfg.Limits.Connect, cfg.Limits.EngineIdle, keptConns)
	v.settings = spread.NewBook(v.book)
	v.store = store.New(short, cfg.Store, string(cfg.Name), cfg.Budget.PerSecond, cfg.Budget.Burst)
	rec := tally.New(v.log, v.set, v.book, nil)
	engines := engine.New(short)
	budget := retry.NewBudget()
	vms := func() int { _, n := v.Rank(); return n }
	v.loads = loads.New(engines, cfg.Limits.LoadInterval, v.chooser, vms, v.book, seed)
	v.settings.Watch(v.loads.Update)
	v.entry = entry.New(entry.Parts{
		VM:       cfg.Name,
		Settings: v.settings,
		Gate:     gate.New(v),
		Claims:   claim.New(claim.NewDirect(v.store)),
		Loads:    v.loads,
		Runner:   gener.New(cfg.Generate, engines, budget, v.book, rec, v.group, rand.New(rand.NewPCG(seed, 2))),
		Plain:    plain.New(peerplain.New(short, cfg.Limits.Answer), budget, rand.New(rand.NewPCG(seed, 3))),
		Ring:     v.ring,
		Book:     v.book,
		Recorder: rec,
	})
	v.callers = caller.New(v.ctx, caller.Config{
		Body:       cfg.Limits.Body,
		Header:     cfg.Limits.Header,
		Read:       cfg.Limits.Read,
		Idle:       cfg.Limits.Idle,
		Stall:      cfg.Limits.CallerStall,
		MaxConns:   cfg.Limits.Connections,
		DrainDelay: cfg.Limits.DrainDelay,
	}, v.entry, v.writeMetrics)
}

// Rank implements gate.Fleet.
func (v *VM) Rank() (int, int) { return 0, 1 }

func (v *VM) chooser() place.Chooser { return place.New(v.cfg.Placement) }

func (v *VM) writeMetrics(ctx *fasthttp.RequestCtx) {
	v.set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

// Run serves until stop is done, and then until every request has ended.
func (v *VM) Run(stop context.Context) error {
	defer v.cancel()
	ln, err := listen(v.cfg.Callers)
	if err != nil {
		return trace.Wrap(err, "/callers-address")
	}
	v.group.Go(func() error { return v.follow(v.ctx) })
	v.group.Go(func() error { return v.loads.Run(v.ctx, v.group) })
	v.group.Go(func() error { return v.callers.Serve(ln) })
	v.log.Info("serving", zap.String("vm", string(v.cfg.Name)), zap.Stringer("callers", v.cfg.Callers))
	select {
	case <-stop.Done():
	case <-v.ctx.Done():
	}
	err = v.shutdown()
	v.cancel()
	if werr := v.group.Wait(); err == nil && !errors.Is(werr, context.Canceled) {
		err = werr
	}
	return trace.Wrap(err)
}

func (v *VM) shutdown() error {
	v.log.Info("leaving")
	v.entry.Drain()
	err := v.callers.Shutdown(v.ctx)
	v.log.Info("left")
	return err
}

// follow keeps the settings current.
func (v *VM) follow(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		items, _, err := v.store.Watch(ctx, "/settings", after, 10*time.Second)
		if err != nil {
			v.log.Warn("the store can't be read", zap.Error(err))
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, it := range items {
			after = max(after, it.Revision)
			doc, err := spread.Decode(it)
			if err == nil {
				_, err = v.settings.Apply([]config.Document{doc})
			}
			if err != nil {
				v.log.Error("settings not applied", zap.String("path", it.Path), zap.Error(err))
			}
		}
	}
	return nil
}

func listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	return ln, trace.Wrap(err)
}
