package serve

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/seal"
	"umberladder/internal/peer/caller"
	"umberladder/internal/peer/engine"
	"umberladder/internal/peer/link"
	"umberladder/internal/peer/nodes"
	"umberladder/internal/peer/oper"
	peerplain "umberladder/internal/peer/plain"
	"umberladder/internal/peer/store"
	"umberladder/internal/peer/vmlist"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/proc/burn"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/tally"
	"umberladder/internal/route/cell"
	"umberladder/internal/route/entry"
	"umberladder/internal/route/gate"
	"umberladder/internal/route/gener"
	"umberladder/internal/route/loads"
	"umberladder/internal/route/plain"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/amend"
	"umberladder/internal/state/claim"
	"umberladder/internal/state/direct"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/keeper"
	"umberladder/internal/state/member"
	"umberladder/internal/state/spread"
)

const (
	// keptConns is how many spare connections a VM keeps to each server.
	keptConns = 16
	// awayFactor is how much less often a VM reads the load of engines whose
	// home is another.
	awayFactor = 3
	// peerTime bounds a call to another VM.
	peerTime = 3 * time.Second
)

// VM is one entry VM.
type VM struct {
	cfg    *conf.Node
	log    *zap.Logger
	set    *metrics.Set
	book   *invar.Book
	ring   *seal.Ring
	rng    *rand.Rand
	group  *errgroup.Group
	ctx    context.Context // of everything that runs until the last request ended
	cancel context.CancelFunc
	drain  chan struct{}

	drainOnce sync.Once

	settings *spread.Book
	store    *store.Client
	peers    *nodes.Peers
	clients  *nodes.Clients
	socket   *nodes.Socket
	traffic  nodes.Traffic
	fleet    *fleet.Fleet
	follower *spread.Follower
	keeper   *keeper.Keeper
	gate     *gate.Gate
	meter    *burn.Meter
	loads    *loads.Loads
	home     *cell.Home
	desk     *cell.Desk
	entry    *entry.Entry
	callers  *caller.Server
	oper     *oper.Server
}

// New makes a VM from its settings.
func New(cfg *conf.Node, log *zap.Logger) (*VM, error) {
	ring, err := seal.New(cfg.Secrets)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	v := &VM{
		cfg:   cfg,
		log:   log,
		set:   metrics.NewSet(),
		ring:  ring,
		rng:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		drain: make(chan struct{}),
		meter: burn.New(cfg.Name),
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.group, v.ctx = errgroup.WithContext(ctx)
	v.cancel = cancel
	v.book = &invar.Book{Report: func(n invar.Name, detail string) {
		log.Error("invariant violated", zap.Stringer("invariant", n), zap.String("detail", detail))
	}}
	if v.socket, err = nodes.Listen(cfg.Peers, ring, &v.traffic); err != nil {
		cancel()
		return nil, trace.Wrap(err, "/peers-address")
	}
	v.buildState()
	v.buildRoute()
	v.gauges()
	return v, nil
}

// fork returns a source of random numbers of its own.
func (v *VM) fork() *rand.Rand { return rand.New(rand.NewPCG(v.rng.Uint64(), v.rng.Uint64())) }

// buildState makes what the VMs share.
func (v *VM) buildState() {
	cfg := v.cfg
	dialer := link.New(cfg.Peers.Addr(), cfg.Limits.Connect, peerTime, keptConns)
	v.settings = spread.NewBook(v.book)
	v.store = store.New(dialer, cfg.Store, string(cfg.Name), cfg.Budget.PerSecond, cfg.Budget.Burst)
	v.clients = nodes.NewClients(v.ring, peerTime)
	v.peers = nodes.NewPeers(v.clients)
	v.follower = spread.NewFollower(v.settings, v.store, v.peers, v.group, v.log, v.fork())
	self := member.Member{
		Name:        cfg.Name,
		Address:     cfg.Peers,
		Domain:      cfg.Domain,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	table := member.New(member.DefaultConfig(), self, v.fork())
	v.fleet = fleet.New(table, v.socket, vmlist.New(dialer, cfg.VMList), v.follower.Mark, v.follower.Heard)
	v.follower.Start(v.fleet)
	v.keeper = keeper.New(cfg.Name, cfg.ClaimTTL, v.store, v.fleet, v.peers, v.log)
}

// buildRoute makes the path of requests.
func (v *VM) buildRoute() {
	cfg := v.cfg
	dialer := link.New(cfg.Peers.Addr(), cfg.Limits.Connect, cfg.Limits.EngineIdle, keptConns)
	v.gate = gate.New(v.fleet)
	rec := tally.New(v.log, v.set, v.book, v.meter)
	engines := engine.New(dialer)
	budget := retry.NewBudget()
	v.loads = loads.New(engines, v.loadInterval, v.chooser, v.deciders, v.book, v.rng.Uint64())
	v.settings.Watch(v.loads.Update)
	v.home = cell.NewHome(cfg.Name, v.fleet, v.settings, v.loads.Pool, pool.NewAsk, v.group)
	v.desk = cell.NewDesk(cfg.Name, v.fleet, v.settings, v.loads.Pool, v.peers)
	v.entry = entry.New(entry.Parts{
		VM:       cfg.Name,
		Settings: v.settings,
		Gate:     v.gate,
		Claims:   claim.New(cfg.Name, v.fleet, v.keeper, direct.New(v.store), v.peers),
		Placers:  v.desk.Placer,
		Runner:   gener.New(cfg.Generate, engines, budget, v.book, rec, v.group, v.fork()),
		Plain:    plain.New(peerplain.New(dialer, cfg.Limits.Answer), budget, v.book, v.fork()),
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
		Log:        httpLog{v.log},
	}, v.entry, v.writeMetrics)
	v.oper = oper.New(v.settings, amend.New(v.store, v.follower, v.settings.Load), v, cfg.OperKeys, httpLog{v.log})
}

// httpLog takes the HTTP library's lines, which tell of callers' broken
// connections: of use only when looking for a fault.
type httpLog struct{ log *zap.Logger }

func (l httpLog) Printf(format string, args ...any) {
	l.log.Debug("http", zap.String("line", fmt.Sprintf(format, args...)))
}

// deciders returns how many VMs place generations of a model, as this VM
// should reckon: its home is alone; any other VM decides when the home does
// not answer, and then so do all.
func (v *VM) deciders(m ident.Model) int {
	home, ok := cell.HomeOf(m, v.fleet.View().Live)
	if ok && home.Name == v.cfg.Name {
		return 1
	}
	_, n := v.fleet.Rank()
	return n
}

// loadInterval is how often the engines of a model are asked for their load:
// its home decides for all, so the others need little.
func (v *VM) loadInterval(m ident.Model) time.Duration {
	home, ok := cell.HomeOf(m, v.fleet.View().Live)
	if ok && home.Name != v.cfg.Name {
		return awayFactor * v.cfg.Limits.LoadInterval
	}
	return v.cfg.Limits.LoadInterval
}

func (v *VM) chooser() place.Chooser { return place.New(v.cfg.Placement) }
