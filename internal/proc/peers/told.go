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
	// maxSettingsAge is the age of the settings up to which a VM relies on updates
	// from peers. Beyond it, the VM reads the store itself, with time left before the
	// settings are too old to accept API keys.
	maxSettingsAge = 2500 * time.Millisecond
	// loadRecipients is how many VMs of each service receive load changes at once:
	// the coordinator and its first substitute.
	loadRecipients = 2
	// storeSilence is how long the store must not have responded to any VM before
	// engines are probed directly for whether they drain. Normally, the servers'
	// heartbeats end each watch call within 0.2 s, and the hubs receive the result
	// twice in each report interval.
	storeSilence = 700 * time.Millisecond
	// fetchRetryPause is the minimum pause after newer settings could not be fetched.
	fetchRetryPause = 500 * time.Millisecond
	// confirmTimeout is how long to wait for the hubs to confirm that the settings are
	// the newest, and confirmPollInterval how often the age of the settings is checked
	// meanwhile.
	confirmTimeout      = 60 * time.Millisecond
	confirmPollInterval = 4 * time.Millisecond
	// maxConfirmedAge is the age below which the settings count as confirmed by the
	// hubs.
	maxConfirmedAge = time.Second
)

// delegate provides this VM's state to gossip and applies the state of other VMs. It
// implements gossip.Delegate.
type local struct {
	node *Node
	// ctx ends when the VM stops.
	ctx context.Context
}

// settingsFromPeers reports whether this VM receives settings from other VMs instead
// of watching the store. A VM whose settings grow old although it can reach the store
// reads them itself.
func (n *Node) settingsFromPeers() bool {
	now := time.Now()
	if n.Hubs.Asks(now) {
		return false
	}
	return n.Settings.Load() == nil || n.Settings.Age() < maxSettingsAge || !n.Hubs.Answers(now)
}

// probesStore reports whether this VM probes an unreachable store frequently, to
// detect its recovery early.
func (n *Node) probesStore() bool { return n.Hubs.First(time.Now()) }

// leadsWatch reports whether no VM ranked before this one watches the store and
// receives responses from it.
func (n *Node) leadsWatch() bool { return n.Hubs.Lead(time.Now()) }

// serversFromPeers reports whether this VM receives changes of servers from other VMs
// instead of watching the store.
func (n *Node) serversFromPeers() bool { return !n.Hubs.Asks(time.Now()) }

// storeStatus returns what this VM reports about its access to the store.
func (n *Node) storeStatus(now time.Time) hubs.StoreStatus {
	return hubs.StoreStatus{Asks: n.Hubs.Asks(now), Age: n.ServerFollower.Age()}
}

// FillReport implements gossip.Delegate.
func (l *local) Report(s *wire.State, now time.Time) {
	n := l.node
	s.Loads = n.Alloc.Own()
	s.Sent = n.Budget.Sent(now)
	s.Findings = n.Poison.Report(now)
	s.Limits = n.Rates.Report(now)
	l.fillCommon(s, now)
	if s.Store.Asks {
		l.fillServerUpdate(s, now)
	}
}

// FillResponse implements gossip.Delegate.
func (l *local) Answer(s *wire.State, to ident.VM, now time.Time) {
	total := l.node.Budget.Rest(to, now)
	s.Hub.Known, s.Hub.Heard, s.Hub.Rest = total.Known, total.Heard, total.Sent
	s.Findings = l.node.Poison.Answer(to, now)
	s.Limits = l.node.Rates.Answer(to, now)
	l.fillCommon(s, now)
	l.fillServerUpdate(s, now)
}

// fillCommon fills in the fields that reports and hub responses have in common.
func (l *local) fillCommon(s *wire.State, now time.Time) {
	n := l.node
	self := n.Hubs.Own()
	s.Capacity, s.Domain = self.Capacity, self.Domain
	s.Leaving = n.Servers.Leaving(now)
	s.Draining = n.Servers.Draining(now)
	s.Verdicts = n.Poison.Digest(now)
	s.Version = n.Version()
	s.Store = n.storeStatus(now)
}

func (l *local) fillServerUpdate(s *wire.State, now time.Time) {
	if n, ok := l.node.ServerFollower.News(now); ok {
		s.News = &n
	}
}

// reportOf returns the sender's report about itself in a message.
func reportOf(s *wire.State, from netip.AddrPort) hubs.Report {
	return hubs.Report{Candidate: hubs.Candidate{VM: s.VM, Addr: from, Capacity: s.Capacity, Domain: s.Domain}, StoreStatus: s.Store}
}

// HandleReport implements gossip.Delegate.
func (l *local) Hear(s *wire.State, from netip.AddrPort, now time.Time) {
	n := l.node
	n.Hubs.Reported(reportOf(s, from), now)
	n.Budget.Hear(s.VM, s.Sent, now)
	n.Poison.Reported(s.VM, s.Verdicts)
	n.Rates.Reported(s.VM, s.Limits, now)
	if s.HasLoads() {
		n.Alloc.Hear(s.VM, s.Boot, s.Seq, s.Part, s.Loads, now)
	}
	l.applyCommon(s, from, true, now)
}

// HandleResponse implements gossip.Delegate.
func (l *local) Learn(s *wire.State, from netip.AddrPort, now time.Time) {
	n := l.node
	if n.Hubs.Answered(reportOf(s, from), s.Hub.Names, s.Hub.Digest, now) {
		n.reportNow()
	}
	n.Budget.Learn(s.VM, retry.Total{At: now, Known: s.Hub.Known, Heard: s.Hub.Heard, Sent: s.Hub.Rest})
	n.Poison.HubAnswered(s.VM, s.Boot, s.Verdicts, now)
	n.Rates.HubAnswered(s.VM, s.Hub.Heard, s.Limits, now)
	l.applyCommon(s, from, false, now)
	if s.Reply != nil {
		l.handleVersionReply(*s.Reply, from)
	}
}

// applyCommon applies another VM's state of servers and settings. If forward is set,
// as for reports, retired and draining servers are also announced to the VMs that
// report to this one.
func (l *local) applyCommon(s *wire.State, from netip.AddrPort, forward bool, now time.Time) {
	n := l.node
	n.mergeFindings(s, now)
	if s.News != nil {
		n.ServerFollower.Learn(*s.News, now)
	}
	for _, id := range n.Servers.Drains(s.Draining, forward, now) {
		n.log.Info("server drains", zap.String("server", string(id)), zap.String("reported-by", string(s.VM)))
	}
	for _, id := range n.Servers.Receive(s.Leaving, forward) {
		n.log.Info("server leaves", zap.String("server", string(id)), zap.String("reported-by", string(s.VM)))
	}
	if s.Version > n.Version() {
		l.fetchNewer(s.Version, from)
	}
}

// fetchNewer fetches newer settings from the VM that announced them, or from the
// store if that fails.
func (l *local) fetchNewer(version uint64, from netip.AddrPort) {
	l.node.Settings.Hear(version, awake.Now())
	if !l.node.fetchingSettings.CompareAndSwap(false, true) {
		return
	}
	l.node.group.Go(func() error {
		defer l.node.fetchingSettings.Store(false)
		if err := l.node.fetchSettings(l.ctx, version, from); err != nil {
			l.node.log.Info("settings not taken from another VM", zap.Uint64("version", version), zap.Stringer("from", from),
				zap.Duration("behind", l.node.Settings.Behind()), zap.Error(err))
			l.node.settingsFollower.Learn(l.ctx, version, 0)
		}
		if l.node.Version() < version {
			// Without the pause, each message from each VM would start another
			// read of a store that does not respond.
			retry.Pause(l.ctx, fetchRetryPause+rand.N(fetchRetryPause))
		}
		return nil
	})
}

// fetchSettings fetches the given version of the settings, or a later one, from
// another VM or from one that it refers to. The responding VM states how long before
// its response the settings were known to be the newest. That age is counted back from
// the time of the request, which is earlier than the response.
func (n *Node) fetchSettings(ctx context.Context, version uint64, from netip.AddrPort) error {
	_, err := share.Take(ctx, []netip.AddrPort{from}, func(ctx context.Context, from netip.AddrPort) (uint64, error) {
		requestedAt := awake.Now()
		s, err := n.share.Settings(ctx, from, version)
		if err != nil {
			return 0, err
		}
		return s.Version, n.settingsFollower.Adopt(s.Packed, requestedAt.Add(-s.Age))
	})
	return err
}

// fetchServers fetches the complete list of servers from a hub.
func (n *Node) fetchServers(ctx context.Context) (follow.News, error) {
	hubAddrs := n.Hubs.Addresses(time.Now())
	if len(hubAddrs) == 0 {
		return follow.News{}, follow.ErrNobody
	}
	return share.Take(ctx, hubAddrs, n.share.Servers)
}

// Refresh implements port.Refresher. It asks the hubs to confirm that the settings are
// the newest, and reads the store if they do not confirm within confirmTimeout.
func (n *Node) Refresh(ctx context.Context, limit time.Duration) error {
	if n.Settings.Load() != nil && !n.Hubs.Asks(time.Now()) && n.awaitConfirmation(ctx) {
		return nil
	}
	return n.settingsFollower.Refresh(ctx, limit)
}

// reportNow sends a report to the hubs without waiting for the report interval.
func (n *Node) reportNow() {
	if agent := n.agent.Load(); agent != nil {
		agent.Beat()
	}
}

// awaitConfirmation reports whether the hubs confirm the settings within
// confirmTimeout.
func (n *Node) awaitConfirmation(ctx context.Context) bool {
	n.reportNow()
	for deadline := time.Now().Add(confirmTimeout); ctx.Err() == nil && time.Now().Before(deadline); {
		if n.Settings.Age() < maxConfirmedAge {
			return true
		}
		retry.Pause(ctx, confirmPollInterval)
	}
	return false
}

// Clock implements gossip.Delegate.
func (l *local) Clock() uint64 { return uint64(awake.Now()) }

// VersionReply implements gossip.Delegate.
func (l *local) Reply(requestTime uint64) *wire.Reply {
	freshAt := l.node.Settings.Fresh()
	r := &wire.Reply{Ask: requestTime}
	if snap := l.node.Settings.Load(); snap != nil {
		r.Version, r.Age = snap.Version, awake.Now().Sub(freshAt)
	}
	return r
}

// handleVersionReply applies a hub's reply about the age of the settings. The hub's
// settings were the newest r.Age before it replied. That age is counted back from the
// time of this VM's request, which is earlier than the reply.
func (l *local) handleVersionReply(r wire.Reply, from netip.AddrPort) {
	if r.Version == 0 || awake.Instant(r.Ask) > awake.Now() {
		return
	}
	if r.Version > l.node.Version() {
		l.fetchNewer(r.Version, from)
		return
	}
	l.node.settingsFollower.Learn(l.ctx, r.Version, awake.Instant(r.Ask).Add(-r.Age))
}

// StateChanged implements gossip.Delegate.
func (l *local) Dirty() <-chan struct{} { return l.node.announceNow }

// LoadsChanged implements gossip.Delegate.
func (l *local) Moved() <-chan struct{} { return l.node.Alloc.Dirty() }

// Coordinators implements gossip.Delegate.
func (l *local) Homes() []netip.AddrPort {
	out := []netip.AddrPort{}
	snap := l.node.Settings.Load()
	if snap == nil {
		return out
	}
	now := time.Now()
	for _, s := range snap.Engines() {
		for _, candidate := range l.node.Hubs.Order(s, loadRecipients, now) {
			if candidate.Addr.IsValid() && !slices.Contains(out, candidate.Addr) {
				out = append(out, candidate.Addr)
			}
		}
	}
	return out
}

// HandlePlacementRequest implements gossip.Delegate.
func (l *local) Seat(req homes.Ask, reply func(homes.Answer)) {
	l.node.coordinator.Take(req, reply, time.Now())
}

// HandlePlacementResponse implements gossip.Delegate.
func (l *local) Seated(resp homes.Answer) { l.node.placer.Answered(resp) }

// SendRequest implements placer.Transport. Requests made before the gossip agent has
// started are lost.
func (n *Node) Ask(to netip.AddrPort, req homes.Ask) {
	if agent := n.agent.Load(); agent != nil {
		agent.Ask(to, req)
	}
}

// CoordinatorOrder returns the VMs that may coordinate a service, in order of
// preference.
func (n *Node) CoordinatorOrder(s ident.Service, now time.Time) []hubs.Rank {
	return n.Hubs.Order(s, hubs.Count, now)
}

// ServicesToProbe returns the services whose engines this VM has to probe for whether
// they drain: those that it coordinates, while the store responds to no VM.
func (n *Node) ServicesToProbe(now time.Time) []ident.Service {
	snap := n.Settings.Load()
	if snap == nil || min(n.ServerFollower.Age(), n.Hubs.Quiet(now)) < storeSilence {
		return nil
	}
	var out []ident.Service
	for _, s := range snap.Engines() {
		if order := n.CoordinatorOrder(s, now); len(order) > 0 && !order[0].Addr.IsValid() {
			out = append(out, s)
		}
	}
	return out
}

// announce requests an immediate announcement to all other VMs. VMs that are not hubs
// and do not watch the store include the change in their next report instead.
func (n *Node) announce() {
	if now := time.Now(); !n.Hubs.Asks(now) && !n.Hubs.Hub(now) {
		return
	}
	select {
	case n.announceNow <- struct{}{}:
	default:
	}
}
