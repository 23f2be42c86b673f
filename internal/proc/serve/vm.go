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
	"umberladder/internal/peer/httpc"
	"umberladder/internal/peer/nodes"
	"umberladder/internal/peer/oper"
	peerplain "umberladder/internal/peer/plain"
	"umberladder/internal/peer/store"
	"umberladder/internal/peer/vmlist"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/proc/bounds"
	"umberladder/internal/proc/burn"
	"umberladder/internal/proc/conf"
	"umberladder/internal/proc/record"
	"umberladder/internal/route/entry"
	"umberladder/internal/route/infer"
	"umberladder/internal/route/limits"
	"umberladder/internal/route/loads"
	"umberladder/internal/route/plain"
	"umberladder/internal/route/pool"
	"umberladder/internal/route/sched"
	"umberladder/internal/state/claim"
	"umberladder/internal/state/direct"
	"umberladder/internal/state/edit"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/member"
	"umberladder/internal/state/shards"
	"umberladder/internal/state/syncer"
)

const (
	// maxIdleConns is the number of idle connections kept to each server.
	maxIdleConns = 16
	// remoteLoadFactor multiplies the load interval of engines whose coordinator
	// is another VM. Their load is read less often, because the coordinator places
	// for all VMs.
	remoteLoadFactor = 3
	// peerTimeout bounds each call to another VM.
	peerTimeout = 3 * time.Second
)

// VM is an entry VM: the components that serve clients, operators and other VMs.
type VM struct {
	cfg            *conf.Node
	log            *zap.Logger
	bounds         *bounds.Bounds
	metricSet      *metrics.Set
	invariants     *invar.Checker
	keyRing        *seal.KeyRing
	rng            *rand.Rand
	group          *errgroup.Group
	ctx            context.Context // ends after the last request has ended
	cancel         context.CancelFunc
	drainRequested chan struct{}

	drainOnce sync.Once

	settings        *syncer.Current
	store           *store.Client
	peers           *nodes.Client
	peerClients     *nodes.ClientPool
	socket          *nodes.Socket
	traffic         nodes.Traffic
	fleet           *fleet.Membership
	follower        *syncer.Follower
	shards          *shards.Manager
	limiter         *limits.Limiter
	meter           *burn.Meter
	poller          *loads.Poller
	coordinator     *sched.Coordinator
	placementClient *sched.Client
	handler         *entry.Handler
	clientServer    *caller.Server
	operatorServer  *oper.Server
}

// New returns a VM built from its node settings. The peers address is bound at
// once, the other listeners in Run.
func New(cfg *conf.Node, log *zap.Logger) (*VM, error) {
	ring, err := seal.New(cfg.Secrets)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	v := &VM{
		cfg:            cfg,
		log:            log,
		bounds:         bounds.New(cfg.Memory, cfg.Descriptors, log),
		metricSet:      metrics.NewSet(),
		keyRing:        ring,
		rng:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		drainRequested: make(chan struct{}),
		meter:          burn.New(cfg.Name),
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.group, v.ctx = errgroup.WithContext(ctx)
	v.cancel = cancel
	v.invariants = &invar.Checker{OnViolation: func(n invar.Invariant, detail string) {
		log.Error("invariant violated", zap.Stringer("invariant", n), zap.String("detail", detail))
	}}
	if v.socket, err = nodes.Listen(cfg.Peers, ring, &v.traffic); err != nil {
		cancel()
		return nil, trace.Wrap(err, "/peers-address")
	}
	v.buildState()
	v.buildRoute()
	v.registerGauges()
	return v, nil
}

// newRand returns an independent random source seeded from v.rng.
func (v *VM) newRand() *rand.Rand { return rand.New(rand.NewPCG(v.rng.Uint64(), v.rng.Uint64())) }

// buildState creates the components for state shared between VMs: settings,
// membership and idempotency keys.
func (v *VM) buildState() {
	cfg := v.cfg
	dialer := httpc.New(cfg.Peers.Addr(), cfg.Limits.ConnectTimeout, peerTimeout, maxIdleConns)
	v.settings = syncer.NewCurrent(v.invariants)
	v.store = store.New(dialer, cfg.Store, string(cfg.Name), cfg.StoreBudget.CallsPerSecond, cfg.StoreBudget.Burst)
	v.peerClients = nodes.NewClientPool(v.keyRing, peerTimeout)
	v.peers = nodes.NewClient(v.peerClients)
	v.follower = syncer.NewFollower(v.settings, v.store, v.peers, v.group, v.log, v.newRand())
	self := member.Member{
		Name:        cfg.Name,
		Address:     cfg.Peers,
		Domain:      cfg.Domain,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	table := member.New(member.DefaultConfig(), self, v.newRand())
	v.fleet = fleet.New(table, v.socket, vmlist.New(dialer, cfg.VMList), v.follower.SettingsVersion, v.follower.HandlePeerVersion)
	v.follower.SetFleet(v.fleet)
	v.shards = shards.New(cfg.Name, cfg.ClaimTTL, v.store, v.fleet, v.peers, v.log)
}

// buildRoute creates the components of the request path.
func (v *VM) buildRoute() {
	cfg := v.cfg
	dialer := httpc.New(cfg.Peers.Addr(), cfg.Limits.ConnectTimeout, cfg.Limits.EngineIdleTimeout, maxIdleConns)
	dialer.Bound(v.bounds.Held)
	v.limiter = limits.New(v.fleet)
	rec := record.New(v.log, v.metricSet, v.invariants, v.meter)
	engines := engine.New(dialer)
	budget := retry.NewBudget()
	v.poller = loads.New(engines, v.loadInterval, v.chooser, v.placingVMs, v.invariants, v.rng.Uint64())
	v.settings.Watch(v.poller.Update)
	v.coordinator = sched.NewCoordinator(cfg.Name, v.fleet, v.settings, v.poller.Pool, pool.NewRequest, v.group)
	v.placementClient = sched.NewClient(cfg.Name, v.fleet, v.settings, v.poller.Pool, v.peers)
	v.handler = entry.New(entry.Deps{
		VM:         cfg.Name,
		Settings:   v.settings,
		Limiter:    v.limiter,
		Claims:     claim.New(cfg.Name, v.fleet, v.shards, direct.New(v.store), v.peers),
		Placers:    v.placementClient.Placer,
		Runner:     infer.New(cfg.Generation, engines, budget, v.invariants, rec, v.group, v.newRand()),
		Plain:      plain.New(peerplain.New(dialer, cfg.Limits.MaxResponseBytes), budget, v.invariants, v.newRand()),
		Ring:       v.keyRing,
		Invariants: v.invariants,
		Recorder:   rec,
	})
	v.clientServer = caller.New(v.ctx, caller.Config{
		MaxBodyBytes:   cfg.Limits.MaxBodyBytes,
		MaxHeaderBytes: cfg.Limits.MaxHeaderBytes,
		ReadTimeout:    cfg.Limits.ReadTimeout,
		IdleTimeout:    cfg.Limits.IdleTimeout,
		WriteTimeout:   cfg.Limits.WriteTimeout,
		MaxConns:       cfg.Limits.MaxConns,
		Held:           v.bounds.Held,
		DrainDelay:     cfg.Limits.DrainDelay,
		Log:            httpLog{v.log},
	}, v.handler, v.writeMetrics)
	v.operatorServer = oper.New(v.settings, edit.New(v.store, v.follower, v.settings.Load), v, cfg.OperatorKeys, httpLog{v.log})
}

// httpLog adapts the log to fasthttp. The library's messages are mostly about
// clients' broken connections and help only in debugging, so they are logged at
// debug level.
type httpLog struct{ log *zap.Logger }

func (l httpLog) Printf(format string, args ...any) {
	l.log.Debug("http", zap.String("line", fmt.Sprintf(format, args...)))
}

// placingVMs returns how many VMs place generations of a model, as far as this VM
// has to assume. The coordinator assumes that only it does. Any other VM places
// generations itself only when the coordinator does not respond, and then all
// live VMs do.
func (v *VM) placingVMs(m ident.Model) int {
	coordinator, ok := sched.CoordinatorOf(m, v.fleet.View().Live)
	if ok && coordinator.Name == v.cfg.Name {
		return 1
	}
	_, n := v.fleet.Rank()
	return n
}

// loadInterval returns how often the load of a model's engines is read. VMs other
// than the model's coordinator read it less often, because the coordinator
// places for all VMs.
func (v *VM) loadInterval(m ident.Model) time.Duration {
	coordinator, ok := sched.CoordinatorOf(m, v.fleet.View().Live)
	if ok && coordinator.Name != v.cfg.Name {
		return remoteLoadFactor * v.cfg.Limits.LoadInterval
	}
	return v.cfg.Limits.LoadInterval
}

func (v *VM) chooser() place.Chooser { return place.New(v.cfg.Placement) }
