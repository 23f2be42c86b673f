package peers

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/awake"
	"umberladder/internal/peer/gossip"
	"umberladder/internal/peer/share"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/retry"
	"umberladder/internal/proc/conf"
	"umberladder/internal/route/desk"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/names"
	"umberladder/internal/state/routes"
)

// Ports are the platform's side of the node.
type Ports struct {
	Settings follow.SettingsSource
	Servers  follow.ServerSource
	Names    names.Registry
	Share    *share.Client // fetches what other VMs share
}

// Node is one VM among others.
type Node struct {
	Settings *routes.Book
	Servers  *backs.Table
	Seats    *seats.Book
	Hubs     *hubs.Hubs
	Budget   *retry.Window
	Poison   *poison.Book
	Rates    *rates.Book
	Discover *follow.Servers

	cfg     *conf.Edge
	follow  *follow.Settings
	names   *names.Keeper
	share   *share.Client
	group   *errgroup.Group
	log     *zap.Logger
	reading atomic.Bool // newer settings are being read
	gossip  atomic.Pointer[gossip.Gossip]
	news    chan struct{} // has an element once there is something to tell all others
	home    *homes.Home
	desk    *desk.Desk
}

// New makes a node that knows nothing yet.
func New(cfg *conf.Edge, ports Ports, group *errgroup.Group, log *zap.Logger) *Node {
	start := time.Now()
	own := hubs.Candidate{VM: cfg.Name, Addr: cfg.Peers, Capacity: hubs.CapacityOf(cfg.Cores, cfg.Link), Domain: cfg.Domain}
	n := &Node{
		Settings: routes.NewBook(awake.Now),
		Seats:    seats.New(),
		Hubs:     hubs.New(own, cfg.Seeds, start),
		cfg:      cfg,
		share:    ports.Share,
		group:    group,
		log:      log,
		news:     make(chan struct{}, 1),
	}
	n.Servers = backs.NewTable(n.tell)
	n.Budget = retry.NewWindow(cfg.Retry.Ratio, cfg.Retry.Extra, cfg.Retry.Window, n.Hubs)
	n.Poison = poison.New(cfg.Quarantine, n.verdictsChanged)
	n.Rates = rates.New(n.Budget, n.limitChanged)
	n.names = names.New(own, start, n.Hubs, ports.Names, n.Poison, n.beat, log)
	n.follow = follow.NewSettings(ports.Settings, n.Settings, awake.Now, n.settingsTold, n.first, n.tell, log)
	n.Discover = follow.NewServers(ports.Servers, n.Servers, awake.Now, n.serversTold, n.first, n.lead, n.tell, n.takeServers, log)
	return n
}

// Run speaks with the store and other VMs until ctx ends. Their asks for room go to
// the home, and their answers to the desk.
func (n *Node) Run(ctx context.Context, home *homes.Home, d *desk.Desk) error {
	n.home, n.desk = home, d
	shared, err := net.Listen("tcp", n.cfg.Peers.String())
	if err != nil {
		return trace.Wrap(err, "/peers-address")
	}
	share.NewServer(source{n}, n.cfg.Link, n.log).Serve(ctx, shared, n.group)
	g, err := gossip.New(n.cfg.Name, uint64(time.Now().UnixNano()), n.cfg.Peers, &local{node: n, ctx: ctx}, n.Hubs, n.log)
	if err != nil {
		return trace.Wrap(err, "/peers-address")
	}
	n.gossip.Store(g)
	for _, loop := range []func(context.Context){
		n.follow.Run, n.Discover.Run, n.Discover.Expire, n.names.Run, g.Send, g.Receive,
	} {
		n.group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return nil
}

// Version returns the version of the settings in force; zero: there are none.
func (n *Node) Version() uint64 {
	if s := n.Settings.Load(); s != nil {
		return s.Version
	}
	return 0
}

// Watches reports whether this VM asks the store for changes.
func (n *Node) Watches() bool { return !n.serversTold() }

// Sent returns the messages of a kind that were sent to other VMs.
func (n *Node) Sent(k gossip.Kind) gossip.Traffic {
	if g := n.gossip.Load(); g != nil {
		return g.Sent(k)
	}
	return gossip.Traffic{}
}
