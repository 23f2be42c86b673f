package peers

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	"umberladder/internal/peer/share"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/coord"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
)

const (
	// maxSettingsAge is the age of the settings up to which a VM relies on updates
	// from peers. Beyond it, the VM reads the store itself, with time left before the
	// settings are too old to accept API keys.
	maxSettingsAge = 2500 * time.Millisecond
	// loadRecipients is how many VMs receive load changes of each service
	// immediately: its coordinator and the first substitute.
	loadRecipients = 2
	// storeTimeout is how long the store must not have responded to any VM before
	// engines are probed directly for whether they drain. Normally, the servers'
	// heartbeats end each watch call within 0.2 s, and the hubs receive the result
	// twice in each report interval.
	storeTimeout = 700 * time.Millisecond
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
type delegate struct {
	node *Node
	// ctx ends when the VM stops.
	ctx context.Context
}

// settingsFromPeers reports whether this VM receives settings from other VMs instead
// of watching the store. A VM whose settings grow old although it can reach the store
// reads them itself.
func (n *Node) settingsFromPeers() bool {
	now := time.Now()
	if n.Hubs.ShouldWatch(now) {
		return false
	}
	return n.Settings.Load() == nil || n.Settings.Age() < maxSettingsAge || !n.Hubs.StoreReachable(now)
}

// probesStore reports whether this VM probes an unreachable store frequently, so that
// its recovery is detected early.
func (n *Node) probesStore() bool { return n.Hubs.ProbesStore(time.Now()) }

// leadsWatch reports whether no VM ranked before this one watches the store and
// receives responses from it.
func (n *Node) leadsWatch() bool { return n.Hubs.LeadsWatch(time.Now()) }

// serversFromPeers reports whether this VM receives changes of servers from other VMs
// instead of watching the store.
func (n *Node) serversFromPeers() bool { return !n.Hubs.ShouldWatch(time.Now()) }

// storeStatus returns what this VM reports about its access to the store.
func (n *Node) storeStatus(now time.Time) hubs.StoreStatus {
	return hubs.StoreStatus{Watching: n.Hubs.ShouldWatch(now), Age: n.ServerFollower.Age()}
}

// FillReport implements gossip.Delegate.
func (d *delegate) FillReport(m *wire.Message, now time.Time) {
	n := d.node
	m.Loads, m.Grants = n.Alloc.Report(now)
	m.Attempts = n.Budget.Report(now)
	n.confirmCrashes(now)
	m.Findings = n.Poison.Report(now)
	m.Limits = n.Rates.Report(now)
	m.Timings = n.Timings.Report(n.serviceOf, n.ownCalls, now)
	d.fillCommon(m, now)
}

// FillUpdate implements gossip.Delegate.
func (d *delegate) FillUpdate(m *wire.Message, hub ident.VM, now time.Time) {
	if m.Store.Watching && hub != "" {
		d.setUpdate(m, d.node.updates.Missing, hub, now)
	}
}

// FillResponse implements gossip.Delegate.
func (d *delegate) FillResponse(m *wire.Message, to ident.VM, now time.Time) {
	total := d.node.Budget.Response(to, now)
	m.Hub.Known, m.Hub.Reporting, m.Hub.PeerAttempts = total.Known, total.Reporting, total.Attempts
	m.Findings = d.node.Poison.Response(to, now)
	m.Limits = d.node.Rates.Response(to, now)
	m.Hub.Carriers = d.node.Hubs.CarriersFor(to, now)
	d.fillCommon(m, now)
	if m.Reply != nil {
		d.fillTimings(m, to, now)
		d.setUpdate(m, d.node.updates.Missing, to, now)
	} else {
		d.setUpdate(m, d.node.updates.New, to, now)
	}
}

// fillTimings fills in the response times of plain servers. Only the hubs that watch the store
// return them, two of four unless the store fails, because one response suffices.
// Announcements to all VMs do without.
func (d *delegate) fillTimings(m *wire.Message, to ident.VM, now time.Time) {
	if d.node.Hubs.ShouldWatch(now) {
		m.Hub.Timings = d.node.Timings.Response(to, d.node.serviceOf, d.node.ownCalls, now)
	}
}

// fillCommon fills in the fields that reports and hub responses have in common.
func (d *delegate) fillCommon(m *wire.Message, now time.Time) {
	n := d.node
	self := n.Hubs.Self()
	m.Capacity, m.Domain = self.Capacity, self.Domain
	m.Retired = n.Servers.RetiredToAnnounce(now)
	m.Draining = n.Servers.DrainsToAnnounce(now)
	m.QuarantineDigest = n.Poison.Digest(now)
	m.SettingsVersion = n.Version()
	m.Evacuations = n.Servers.Evacuations()
	m.Store = n.storeStatus(now)
	m.Isolated = n.Reach.Isolated(now)
	m.Brittle = n.Reject.Report(now)
	m.ServersRev, m.ServersRevKnown = n.ServerFollower.Revision(), true
}

// setUpdate sets the changes of servers that are sent to a VM.
func (d *delegate) setUpdate(m *wire.Message, choose func(ident.VM, time.Time) (*follow.Update, bool), to ident.VM, now time.Time) {
	update, compact := choose(to, now)
	m.ServerUpdate = update
	if update == nil || !compact {
		return
	}
	packed, err := d.node.packer.Update(update)
	if err != nil {
		d.node.log.Error("changes of servers not compressed", zap.Error(err))
		return
	}
	m.PackedUpdate = packed
}

// reportOf returns the sender's report about itself in a message.
func reportOf(m *wire.Message, from netip.AddrPort) hubs.Report {
	return hubs.Report{Candidate: hubs.Candidate{VM: m.VM, Addr: from, Capacity: m.Capacity, Domain: m.Domain}, StoreStatus: m.Store, Isolated: m.Isolated}
}

// HandleReport implements gossip.Delegate.
func (d *delegate) HandleReport(m *wire.Message, from netip.AddrPort, now time.Time) {
	n := d.node
	n.Hubs.HandleReport(reportOf(m, from), now)
	n.Budget.HandleReport(m.VM, m.Attempts, now)
	n.Poison.HandleReport(m.VM, m.QuarantineDigest)
	n.Rates.HandleReport(m.VM, m.Limits, now)
	if m.RequestTime != 0 { // reports of changed loads hold no response times
		n.Timings.HandleReport(m.VM, m.Timings, now)
	}
	if m.HasLoads() {
		n.Alloc.HandleReport(m.VM, m.Instance, m.Seq, m.Part, m.Loads, m.Grants, now)
	}
	d.applyCommon(m, from, true, now)
}

// HandleResponse implements gossip.Delegate.
func (d *delegate) HandleResponse(m *wire.Message, from netip.AddrPort, now time.Time) {
	n := d.node
	if n.Hubs.HandleResponse(reportOf(m, from), m.Hub.Candidates, m.Hub.CandidateDigest, now) {
		n.reportNow()
	}
	n.Hubs.SetCarriers(m.VM, m.Hub.Carriers, now)
	n.Budget.HandleResponse(m.VM, retry.FleetTotal{At: now, Known: m.Hub.Known, Reporting: m.Hub.Reporting, Attempts: m.Hub.PeerAttempts})
	n.Poison.HandleResponse(m.VM, m.Instance, m.QuarantineDigest, now)
	n.Rates.HandleResponse(m.VM, m.Hub.Reporting, m.Limits, now)
	if len(m.Hub.Timings) > 0 {
		n.Timings.HandleResponse(m.VM, m.Hub.Reporting, m.Hub.Timings, now)
	}
	d.applyCommon(m, from, false, now)
	if m.Reply != nil {
		d.handleVersionReply(*m.Reply, from)
	}
}

// applyCommon applies another VM's state of servers and settings. If forward is set,
// as for reports, retired and draining servers are also announced to the VMs that
// report to this one.
func (d *delegate) applyCommon(m *wire.Message, from netip.AddrPort, forward bool, now time.Time) {
	n := d.node
	n.mergeFindings(m, now)
	// Evacuations apply before the settings, without which this VM serves no calls.
	if n.Servers.ApplyEvacuations(m.Evacuations) {
		n.log.Info("evacuations in force", zap.Any("failure-domains", m.Evacuations.Domains), zap.String("reported-by", string(m.VM)))
		n.announce()
	}
	n.Reject.Merge(m.Brittle, now)
	if m.ServersRevKnown {
		n.updates.Record(m.VM, m.ServersRev, now)
	}
	if m.ServerUpdate != nil {
		d.applyUpdate(m, now)
	}
	for _, id := range n.Servers.MarkAllDraining(m.Draining, forward, now) {
		n.log.Info("server drains", zap.String("server", string(id)), zap.String("reported-by", string(m.VM)))
	}
	for _, id := range n.Servers.ApplyRetired(m.Retired, forward) {
		n.log.Info("server leaves", zap.String("server", string(id)), zap.String("reported-by", string(m.VM)))
	}
	if m.SettingsVersion > n.Version() {
		d.fetchNewer(m.SettingsVersion, from)
	}
}

// applyUpdate applies changes of servers from another VM. If an announcement before this
// one was lost, or the sender has more changes, it requests them with a report.
func (d *delegate) applyUpdate(m *wire.Message, now time.Time) {
	n := d.node
	known := n.ServerFollower.Revision()
	announced := m.Hub != nil && m.Reply == nil
	if announced && known != 0 && m.ServerUpdate.Base > known {
		n.reportNow()
		return
	}
	n.ServerFollower.ApplyUpdate(*m.ServerUpdate, now)
	if m.ServerUpdate.More {
		n.reportNow()
	}
}

// fetchNewer fetches newer settings from the VM that announced them, or from the
// store if that fails.
func (d *delegate) fetchNewer(version uint64, from netip.AddrPort) {
	d.node.Settings.RecordVersion(version, uptime.Now())
	if !d.node.fetchingSettings.CompareAndSwap(false, true) {
		return
	}
	d.node.group.Go(func() error {
		defer d.node.fetchingSettings.Store(false)
		if err := d.node.fetchSettings(d.ctx, version, from); err != nil {
			d.node.log.Info("settings not taken from another VM", zap.Uint64("version", version), zap.Stringer("from", from),
				zap.Duration("behind", d.node.Settings.BehindFor()), zap.Error(err))
			d.node.settingsFollower.HandleVersion(d.ctx, version, 0)
		}
		if d.node.Version() < version {
			// Without the pause, each message from each VM would start another
			// read of a store that does not respond.
			retry.Sleep(d.ctx, fetchRetryPause+rand.N(fetchRetryPause))
		}
		return nil
	})
}

// fetchSettings fetches the given version of the settings, or a later one, from
// another VM or from one that it refers to. The responding VM states how long before
// its response the settings were known to be the newest. That age is counted back from
// the time of the request, which is earlier than the response.
func (n *Node) fetchSettings(ctx context.Context, version uint64, from netip.AddrPort) error {
	_, err := share.Fetch(ctx, []netip.AddrPort{from}, func(ctx context.Context, from netip.AddrPort) (uint64, error) {
		requestedAt := uptime.Now()
		s, err := n.share.Settings(ctx, from, version)
		if err != nil {
			return 0, err
		}
		return s.Version, n.settingsFollower.ApplyCompressed(s.Compressed, requestedAt.Add(-s.Age))
	})
	return err
}

// fetchServers fetches the complete list of servers from a hub. What the hub knows of earlier settings
// is added before the list is applied, since streams of the time that the list's history covers may
// have begun under them.
func (n *Node) fetchServers(ctx context.Context) (follow.Update, error) {
	hubAddrs := n.Hubs.HubAddrs(time.Now())
	if len(hubAddrs) == 0 {
		return follow.Update{}, follow.ErrNoPeer
	}
	u, err := share.Fetch(ctx, hubAddrs, n.share.Servers)
	n.Settings.AddPasts(u.Past)
	return u, err
}

// Refresh implements port.Refresher. It asks the hubs to confirm that the settings are
// the newest, and reads the store if they do not confirm within confirmTimeout.
func (n *Node) Refresh(ctx context.Context, limit time.Duration) error {
	if n.Settings.Load() != nil && !n.Hubs.ShouldWatch(time.Now()) && n.awaitConfirmation(ctx) {
		return nil
	}
	return n.settingsFollower.Refresh(ctx, limit)
}

// reportNow sends a report to the hubs without waiting for the report interval.
func (n *Node) reportNow() {
	if agent := n.agent.Load(); agent != nil {
		agent.ReportNow()
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
		retry.Sleep(ctx, confirmPollInterval)
	}
	return false
}

// Clock implements gossip.Delegate.
func (d *delegate) Clock() uint64 { return uint64(uptime.Now()) }

// VersionReply implements gossip.Delegate.
func (d *delegate) VersionReply(requestTime uint64) *wire.VersionReply {
	freshAt := d.node.Settings.FreshAt()
	r := &wire.VersionReply{RequestTime: requestTime}
	if snap := d.node.Settings.Load(); snap != nil {
		r.Version, r.Age = snap.Version, uptime.Now().Sub(freshAt)
	}
	return r
}

// handleVersionReply applies a hub's reply about the age of the settings. The hub's
// settings were the newest r.Age before it replied. That age is counted back from the
// time of this VM's request, which is earlier than the reply.
func (d *delegate) handleVersionReply(r wire.VersionReply, from netip.AddrPort) {
	if r.Version == 0 || uptime.Instant(r.RequestTime) > uptime.Now() {
		return
	}
	if r.Version > d.node.Version() {
		d.fetchNewer(r.Version, from)
		return
	}
	d.node.settingsFollower.HandleVersion(d.ctx, r.Version, uptime.Instant(r.RequestTime).Add(-r.Age))
}

// StateChanged implements gossip.Delegate.
func (d *delegate) StateChanged() <-chan struct{} { return d.node.announceNow }

// LoadsChanged implements gossip.Delegate.
func (d *delegate) LoadsChanged() <-chan struct{} { return d.node.Alloc.Dirty() }

// Coordinators implements gossip.Delegate.
func (d *delegate) Coordinators() []netip.AddrPort {
	out := []netip.AddrPort{}
	snap := d.node.Settings.Load()
	if snap == nil {
		return out
	}
	now := time.Now()
	for _, s := range slices.Concat(snap.EngineServices(), d.node.Reject.Services(now)) {
		for _, candidate := range d.node.Hubs.CoordinatorOrder(s, loadRecipients, now) {
			if candidate.Addr.IsValid() && !slices.Contains(out, candidate.Addr) {
				out = append(out, candidate.Addr)
			}
		}
	}
	return out
}

// HandlePlacementRequest implements gossip.Delegate.
func (d *delegate) HandlePlacementRequest(req coord.Request, reply func(coord.Response)) {
	if len(req.Run.Unreachable) > 0 {
		d.node.log.Info("servers reported unreachable", zap.Any("servers", req.Run.Unreachable), zap.String("reported-by", string(req.VM)))
	}
	d.node.coordinator.Submit(req, reply, time.Now())
}

// HandlePlacementResponse implements gossip.Delegate.
func (d *delegate) HandlePlacementResponse(resp coord.Response) { d.node.placer.HandleResponse(resp) }

// SendRequest implements placer.Transport. Requests made before the gossip agent has
// started are lost.
func (n *Node) SendRequest(to netip.AddrPort, req coord.Request) {
	if agent := n.agent.Load(); agent != nil {
		agent.SendRequest(to, req)
	}
}

// CoordinatorOrder returns the VMs that may coordinate a service, in order of
// preference.
func (n *Node) CoordinatorOrder(s ident.Service, now time.Time) []hubs.CoordinatorCandidate {
	return n.Hubs.CoordinatorOrder(s, hubs.Count, now)
}

// ServicesToProbe returns the services whose engines this VM has to probe for whether
// they drain: those that it coordinates, while the store responds to no VM.
func (n *Node) ServicesToProbe(now time.Time) []ident.Service {
	snap := n.Settings.Load()
	if snap == nil || min(n.ServerFollower.Age(), n.Hubs.PeerDataAge(now)) < storeTimeout {
		return nil
	}
	var out []ident.Service
	for _, s := range snap.EngineServices() {
		if order := n.CoordinatorOrder(s, now); len(order) > 0 && !order[0].Addr.IsValid() {
			out = append(out, s)
		}
	}
	return out
}

// announce requests an immediate announcement to all other VMs. VMs that are not hubs
// and do not watch the store include the change in their next report instead.
func (n *Node) announce() {
	if now := time.Now(); !n.Hubs.ShouldWatch(now) && !n.Hubs.IsHub(now) {
		return
	}
	select {
	case n.announceNow <- struct{}{}:
	default:
	}
}
