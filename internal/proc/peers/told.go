package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/ident"
	"umberladder/internal/peer/share"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/homes"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
)

const (
	// settingsAge is the age of the settings up to which a VM waits to be told. It
	// leaves time to read them before keys can't be served.
	settingsAge = 2500 * time.Millisecond
	// deciders is how many VMs are told at once what changes in the loads: the one
	// that decides, and the one that takes its place.
	deciders = 2
	// storeQuiet is how long the store must have answered no VM for engines to be
	// asked themselves whether they leave. Servers' heartbeats end each wait within
	// 0.2 s, and hubs hear of it twice in each beat.
	storeQuiet = 700 * time.Millisecond
	// newerPause is the least pause after newer settings could not be read.
	newerPause = 500 * time.Millisecond
	// askTime is how long hubs may take to answer how old the settings are, and
	// askLook how often it is looked whether they have.
	askTime = 60 * time.Millisecond
	askLook = 4 * time.Millisecond
	// confirmAge is the age of settings that an answer of the hubs brings at most.
	confirmAge = time.Second
)

// local is what the VM tells the others. It implements gossip.Local.
type local struct {
	node *Node
	// ctx ends with the VM.
	ctx context.Context
}

// settingsTold reports whether other VMs tell what changes in the settings. A VM
// whose settings grow old though the store answers it reads them itself.
func (n *Node) settingsTold() bool {
	now := time.Now()
	if n.Hubs.Asks(now) {
		return false
	}
	return n.Settings.Load() == nil || n.Settings.Age() < settingsAge || !n.Hubs.Answers(now)
}

// first reports whether this VM is to find out soon that the store is back.
func (n *Node) first() bool { return n.Hubs.First(time.Now()) }

// lead reports whether no other VM asks the store before this one.
func (n *Node) lead() bool { return n.Hubs.Lead(time.Now()) }

// serversTold reports whether other VMs tell what changes among the servers.
func (n *Node) serversTold() bool { return !n.Hubs.Asks(time.Now()) }

// storeStatus returns what this VM says of its way to the store.
func (n *Node) storeStatus(now time.Time) hubs.StoreStatus {
	return hubs.StoreStatus{Asks: n.Hubs.Asks(now), Age: n.Discover.Age()}
}

// Report implements gossip.Local.
func (l *local) Report(s *wire.State, now time.Time) {
	n := l.node
	s.Loads = n.Seats.Own()
	s.Sent = n.Budget.Sent(now)
	s.Findings = n.Poison.Report(now)
	s.Limits = n.Rates.Report(now)
	l.tell(s, now)
	if s.Store.Asks {
		l.news(s, now)
	}
}

// Answer implements gossip.Local.
func (l *local) Answer(s *wire.State, to ident.VM, now time.Time) {
	t := l.node.Budget.Rest(to, now)
	s.Hub.Known, s.Hub.Heard, s.Hub.Rest = t.Known, t.Heard, t.Sent
	s.Findings = l.node.Poison.Answer(to, now)
	s.Limits = l.node.Rates.Answer(to, now)
	l.tell(s, now)
	l.news(s, now)
}

// tell fills in what this VM tells of itself to hubs and as a hub.
func (l *local) tell(s *wire.State, now time.Time) {
	n := l.node
	own := n.Hubs.Own()
	s.Capacity, s.Domain = own.Capacity, own.Domain
	s.Leaving = n.Servers.Leaving(now)
	s.Draining = n.Servers.Draining(now)
	s.Verdicts = n.Poison.Digest(now)
	s.Version = n.Version()
	s.Store = n.storeStatus(now)
}

func (l *local) news(s *wire.State, now time.Time) {
	if n, ok := l.node.Discover.News(now); ok {
		s.News = &n
	}
}

// reportOf returns what a message says of its VM.
func reportOf(s *wire.State, from netip.AddrPort) hubs.Report {
	return hubs.Report{Candidate: hubs.Candidate{VM: s.VM, Addr: from, Capacity: s.Capacity, Domain: s.Domain}, StoreStatus: s.Store}
}

// Hear implements gossip.Local.
func (l *local) Hear(s *wire.State, from netip.AddrPort, now time.Time) {
	n := l.node
	n.Hubs.Reported(reportOf(s, from), now)
	n.Budget.Hear(s.VM, s.Sent, now)
	n.Poison.Reported(s.VM, s.Verdicts)
	n.Rates.Reported(s.VM, s.Limits, now)
	if s.HasLoads() {
		n.Seats.Hear(s.VM, s.Boot, s.Seq, s.Part, s.Loads, now)
	}
	l.take(s, from, true, now)
}

// Learn implements gossip.Local.
func (l *local) Learn(s *wire.State, from netip.AddrPort, now time.Time) {
	n := l.node
	if n.Hubs.Answered(reportOf(s, from), s.Hub.Names, s.Hub.Digest, now) {
		n.beat()
	}
	n.Budget.Learn(s.VM, retry.Total{At: now, Known: s.Hub.Known, Heard: s.Hub.Heard, Sent: s.Hub.Rest})
	n.Poison.HubAnswered(s.VM, s.Boot, s.Verdicts, now)
	n.Rates.HubAnswered(s.VM, s.Hub.Heard, s.Limits, now)
	l.take(s, from, false, now)
	if s.Reply != nil {
		l.confirm(*s.Reply, from)
	}
}

// take takes what another VM knows of servers and settings. What a VM reports is
// passed on to those that report to this one.
func (l *local) take(s *wire.State, from netip.AddrPort, pass bool, now time.Time) {
	n := l.node
	n.mergeFindings(s, now)
	if s.News != nil {
		n.Discover.Learn(*s.News, now)
	}
	for _, id := range n.Servers.Drains(s.Draining, pass, now) {
		n.log.Info("server drains", zap.String("server", string(id)), zap.String("reported-by", string(s.VM)))
	}
	for _, id := range n.Servers.Receive(s.Leaving, pass) {
		n.log.Info("server leaves", zap.String("server", string(id)), zap.String("reported-by", string(s.VM)))
	}
	if s.Version > n.Version() {
		l.newer(s.Version, from)
	}
}

// newer takes settings that another VM has already, from it or else from the
// store.
func (l *local) newer(version uint64, from netip.AddrPort) {
	l.node.Settings.Hear(version, awake.Now())
	if !l.node.reading.CompareAndSwap(false, true) {
		return
	}
	l.node.group.Go(func() error {
		defer l.node.reading.Store(false)
		if err := l.node.takeSettings(l.ctx, version, from); err != nil {
			l.node.log.Info("settings not taken from another VM", zap.Uint64("version", version), zap.Stringer("from", from),
				zap.Duration("behind", l.node.Settings.Behind()), zap.Error(err))
			l.node.follow.Learn(l.ctx, version, 0)
		}
		if l.node.Version() < version {
			// Each message of each VM would ask a store that does not answer.
			retry.Pause(l.ctx, newerPause+rand.N(newerPause))
		}
		return nil
	})
}

// takeSettings takes a version of the settings, or a later one, from another VM, or
// from one that it names. They were the newest their age before it answered, and it
// answered after it was asked.
func (n *Node) takeSettings(ctx context.Context, version uint64, from netip.AddrPort) error {
	_, err := share.Take(ctx, []netip.AddrPort{from}, func(ctx context.Context, from netip.AddrPort) (uint64, error) {
		asked := awake.Now()
		s, err := n.share.Settings(ctx, from, version)
		if err != nil {
			return 0, err
		}
		return s.Version, n.follow.Adopt(s.Packed, asked.Add(-s.Age))
	})
	return err
}

// takeServers takes all servers from a hub.
func (n *Node) takeServers(ctx context.Context) (follow.News, error) {
	list := n.Hubs.Addresses(time.Now())
	if len(list) == 0 {
		return follow.News{}, follow.ErrNobody
	}
	return share.Take(ctx, list, n.share.Servers)
}

// Refresh implements port.Refresher: it has the hubs confirm that the settings are
// the newest, and reads them in the store if they don't at once.
func (n *Node) Refresh(ctx context.Context, limit time.Duration) error {
	if n.Settings.Load() != nil && !n.Hubs.Asks(time.Now()) && n.confirmed(ctx) {
		return nil
	}
	return n.follow.Refresh(ctx, limit)
}

// beat has the VM report to the hubs at once.
func (n *Node) beat() {
	if g := n.gossip.Load(); g != nil {
		g.Beat()
	}
}

// confirmed reports whether the hubs confirm the settings.
func (n *Node) confirmed(ctx context.Context) bool {
	n.beat()
	for end := time.Now().Add(askTime); ctx.Err() == nil && time.Now().Before(end); {
		if n.Settings.Age() < confirmAge {
			return true
		}
		retry.Pause(ctx, askLook)
	}
	return false
}

// Clock implements gossip.Local.
func (l *local) Clock() uint64 { return uint64(awake.Now()) }

// Reply implements gossip.Local.
func (l *local) Reply(ask uint64) *wire.Reply {
	fresh := l.node.Settings.Fresh()
	r := &wire.Reply{Ask: ask}
	if snap := l.node.Settings.Load(); snap != nil {
		r.Version, r.Age = snap.Version, awake.Now().Sub(fresh)
	}
	return r
}

// confirm takes the answer to what this VM asked. The other VM's settings were the
// newest Age before it answered, and it answered after it was asked.
func (l *local) confirm(r wire.Reply, from netip.AddrPort) {
	if r.Version == 0 || awake.Instant(r.Ask) > awake.Now() {
		return
	}
	if r.Version > l.node.Version() {
		l.newer(r.Version, from)
		return
	}
	l.node.follow.Learn(l.ctx, r.Version, awake.Instant(r.Ask).Add(-r.Age))
}

// Dirty implements gossip.Local.
func (l *local) Dirty() <-chan struct{} { return l.node.news }

// Moved implements gossip.Local.
func (l *local) Moved() <-chan struct{} { return l.node.Seats.Dirty() }

// Homes implements gossip.Local.
func (l *local) Homes() []netip.AddrPort {
	out := []netip.AddrPort{}
	snap := l.node.Settings.Load()
	if snap == nil {
		return out
	}
	now := time.Now()
	for _, s := range snap.Engines() {
		for _, p := range l.node.Hubs.Order(s, deciders, now) {
			if p.Addr.IsValid() && !slices.Contains(out, p.Addr) {
				out = append(out, p.Addr)
			}
		}
	}
	return out
}

// Seat implements gossip.Local.
func (l *local) Seat(a homes.Ask, reply func(homes.Answer)) { l.node.home.Take(a, reply, time.Now()) }

// Seated implements gossip.Local.
func (l *local) Seated(a homes.Answer) { l.node.desk.Answered(a) }

// Ask implements desk.Post. What is asked before the VM speaks to others is lost.
func (n *Node) Ask(to netip.AddrPort, a homes.Ask) {
	if g := n.gossip.Load(); g != nil {
		g.Ask(to, a)
	}
}

// Order returns the VMs that decide for a service.
func (n *Node) Order(s ident.Service, now time.Time) []hubs.Rank {
	return n.Hubs.Order(s, hubs.Count, now)
}

// Probed returns the services whose engines this VM has to ask whether they
// leave: those for which it decides, while no VM hears the store.
func (n *Node) Probed(now time.Time) []ident.Service {
	snap := n.Settings.Load()
	if snap == nil || min(n.Discover.Age(), n.Hubs.Quiet(now)) < storeQuiet {
		return nil
	}
	var out []ident.Service
	for _, s := range snap.Engines() {
		if order := n.Order(s, now); len(order) > 0 && !order[0].Addr.IsValid() {
			out = append(out, s)
		}
	}
	return out
}

// tell notes that there is something new to tell all others. VMs that are no hubs,
// and are told themselves, tell it with their next report.
func (n *Node) tell() {
	if now := time.Now(); !n.Hubs.Asks(now) && !n.Hubs.Hub(now) {
		return
	}
	select {
	case n.news <- struct{}{}:
	default:
	}
}
