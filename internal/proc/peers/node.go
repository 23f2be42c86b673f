package peers

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/uptime"
	"umberladder/internal/peer/gossip"
	"umberladder/internal/peer/httpc"
	"umberladder/internal/peer/share"
	"umberladder/internal/peer/tunnel"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/reach"
	"umberladder/internal/policy/reject"
	"umberladder/internal/policy/retry"
	"umberladder/internal/policy/timing"
	"umberladder/internal/proc/conf"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/placer"
	"umberladder/internal/state/delta"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubreg"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// Deps are the platform-specific components that a node is built from.
type Deps struct {
	Settings follow.SettingsSource
	Servers  follow.ServerSource
	Registry hubreg.Registry
	Share    *share.Client // fetches settings and server entries from other VMs
}

// Node holds one VM's shared state and exchanges it with the other VMs.
type Node struct {
	Settings       *routes.Current
	Servers        *srvtab.Table
	Alloc          *alloc.Tracker
	Hubs           *hubs.Tracker
	Budget         *retry.FleetBudget
	Poison         *poison.Detector
	Rates          *rates.Limiter
	Reach          *reach.Tracker
	Reject         *reject.Tracker
	Timings        *timing.Tracker
	ServerFollower *follow.ServerFollower
	Origins        *origin.Finder

	updates          *delta.Sender
	serverSource     follow.ServerSource
	packer           *wire.Packer
	cfg              *conf.Edge
	settingsFollower *follow.SettingsFollower
	registrar        *hubreg.Registrar
	share            *share.Client
	group            *errgroup.Group
	log              *zap.Logger
	fetchingSettings atomic.Bool // newer settings are being fetched
	agent            atomic.Pointer[gossip.Agent]
	announceNow      chan struct{} // holds an element while changes are to be announced to all VMs
	coordinator      *coord.Coordinator
	placer           *placer.Placer
}

// New returns a node without settings, servers or known VMs.
func New(cfg *conf.Edge, deps Deps, group *errgroup.Group, log *zap.Logger) *Node {
	start := time.Now()
	self := hubs.Candidate{VM: cfg.Name, Addr: cfg.Peers, Capacity: hubs.CapacityOf(cfg.Cores, cfg.LinkBitsPerSecond), Domain: cfg.Domain}
	n := &Node{
		Settings:     routes.NewCurrent(uptime.Now),
		Alloc:        alloc.New(),
		Hubs:         hubs.New(self, cfg.Seeds, start),
		Reach:        reach.New(),
		cfg:          cfg,
		serverSource: deps.Servers,
		share:        deps.Share,
		group:        group,
		log:          log,
		announceNow:  make(chan struct{}, 1),
	}
	n.Servers = srvtab.NewTable(n.announce)
	n.Budget = retry.NewFleetBudget(cfg.RetryBudget.Ratio, cfg.RetryBudget.Extra, cfg.RetryBudget.Window, n.Hubs)
	n.Poison = poison.New(cfg.Quarantine, n.quarantinesChanged)
	n.Rates = rates.New(n.Budget, n.limitChanged)
	n.Reject = reject.New(n.brittlenessChanged)
	n.Timings = timing.New(n.slownessChanged)
	n.registrar = hubreg.New(self, start, n.Hubs, deps.Registry, n.Poison, n.reportNow, log)
	n.settingsFollower = follow.NewSettingsFollower(deps.Settings, n.Settings, n.Servers, uptime.Now, n.settingsFromPeers, n.probesStore, n.announce, log)
	n.ServerFollower = follow.NewServerFollower(deps.Servers, n.Servers, cfg.ServerHeartbeat, uptime.Now, n.serversFromPeers, n.probesStore, n.leadsWatch, n.announce, n.fetchServers, log)
	n.Origins = origin.New(uint64(start.UnixNano()), origin.Deps{
		VM: cfg.Name, Servers: n.Servers, DataAge: n.ServerFollower.VersionsAge, Holders: n.Hubs.Responding, Moved: n.Settings.Moved(), Transport: n, Log: log,
	})
	n.updates, n.packer = delta.NewSender(n.ServerFollower), wire.NewPacker()
	return n
}

// Run starts the exchange with the store and other VMs, which lasts until ctx ends.
// Placement requests from other VMs go to the coordinator c, responses to this VM's own
// requests to the placer p, and requests for tunnels to t.
func (n *Node) Run(ctx context.Context, c *coord.Coordinator, p *placer.Placer, t *tunnel.Server) error {
	n.coordinator, n.placer = c, p
	lc := net.ListenConfig{KeepAliveConfig: httpc.KeepAlive()}
	ln, err := lc.Listen(ctx, "tcp", n.cfg.Peers.String())
	if err != nil {
		return trace.Wrap(err, "/peers-address")
	}
	shares := share.NewServer(shareSource{n}, n.cfg.LinkBitsPerSecond, n.log)
	shares.Handle(tunnel.Path, t.Handle)
	shares.Serve(ctx, ln, n.group)
	agent, err := gossip.New(n.cfg.Name, uint64(time.Now().UnixNano()), n.cfg.Peers, &delegate{node: n, ctx: ctx}, n.Hubs, n.log)
	if err != nil {
		return trace.Wrap(err, "/peers-address")
	}
	n.agent.Store(agent)
	for _, loop := range []func(context.Context){
		n.settingsFollower.Run, n.ServerFollower.Run, n.ServerFollower.Expire, n.registrar.Run, n.Origins.Run, n.completeVersions, agent.RunSender, agent.RunReceiver,
	} {
		n.group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return nil
}

// Version returns the version of the settings in force, or zero if there are none.
func (n *Node) Version() uint64 {
	if s := n.Settings.Load(); s != nil {
		return s.Version
	}
	return 0
}

// ReportNow sends a report to the hubs without waiting for the report interval.
func (n *Node) ReportNow() { n.reportNow() }

// WatchesStore reports whether this VM watches the store for changes of servers.
func (n *Node) WatchesStore() bool { return !n.serversFromPeers() }

// Sent returns how many messages of a kind were sent to other VMs, and their bytes.
func (n *Node) Sent(k gossip.Kind) gossip.Traffic {
	if agent := n.agent.Load(); agent != nil {
		return agent.Sent(k)
	}
	return gossip.Traffic{}
}
