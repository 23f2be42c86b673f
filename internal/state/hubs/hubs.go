package hubs

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// ReportInterval is how often a VM reports when nothing has changed.
	ReportInterval = 500 * time.Millisecond
	// Count is the number of hubs: two watch the store and two are their standbys.
	// The hubs divide the services to coordinate among themselves.
	Count = 4
	// maxListed is how many candidates a hub lists in a response: one spare per hub.
	maxListed = 2 * Count
	// PeerTimeout is how long after its last message a VM counts as live.
	PeerTimeout = time.Second
	// probeInterval is how often a report is sent to a VM that has not responded.
	probeInterval = 150 * time.Millisecond
	// minUnanswered is how many successive reports must have got no response for a VM
	// to count as not responding.
	minUnanswered = 4
	// coalesceWindow is how long before it is due a report may be sent, so that it goes
	// out with others.
	coalesceWindow = 10 * time.Millisecond
	// retryInterval is the pause before the next report to a VM that is not responding.
	retryInterval = 3 * time.Second
	// forgetAfter is how long a VM from which nothing is received is still remembered.
	forgetAfter = 15 * time.Second
	// DiscoveryTimeout is how long a starting VM looks for others before it acts as
	// isolated.
	DiscoveryTimeout = 1500 * time.Millisecond
	// joinTimeout is how long, after the first message of another VM, a starting VM
	// waits at most to learn which VMs are the hubs. Until then it does not act as one.
	// The wait ends early once all hubs that it knows are live and have been the same
	// for settleTime.
	joinTimeout = 400 * time.Millisecond
	settleTime  = 80 * time.Millisecond
	// joinInterval is how often a starting VM reports during that wait, in which other VMs
	// learn of each other too.
	joinInterval = 80 * time.Millisecond
	// orderTTL is how long the top of the order is cached, so that it is not computed
	// for each message.
	orderTTL = 50 * time.Millisecond
	// countTTL is how long the numbers of reporting VMs are cached, for the same reason.
	countTTL = 20 * time.Millisecond
)

// StoreStatus is what a VM reports about its access to the store.
type StoreStatus struct {
	Watching bool          // whether it watches the store
	Age      time.Duration // of its data on the servers
}

// Report is a VM's description of itself, in its reports to hubs and, if it is a hub, in
// its responses.
type Report struct {
	Candidate
	StoreStatus
	Isolated bool // the VM reaches no backend server over its own links
}

// peer is what is known of another VM.
type peer struct {
	ranked
	lastSeen        time.Time // when its last message of any kind arrived
	lastReport      time.Time // when its last report arrived
	lastSent        time.Time // when the last report was sent to it
	unansweredSince time.Time // first report sent to it since lastSeen; zero: none yet
	unanswered      int       // reports sent to it since then
	status          StoreStatus
	isolated        bool
}

// listing is a list of candidates from a hub's response or from the store.
type listing struct {
	at     time.Time
	digest uint64
	list   []Candidate
}

// storeSource is the key of the store's list in Tracker.listings.
const storeSource ident.VM = ""

// Tracker tracks what one VM knows of the others and which of them are hubs. It is safe
// for use by several goroutines.
type Tracker struct {
	self      Candidate
	seeds     []netip.AddrPort
	startedAt time.Time

	mu               sync.Mutex
	peers            map[ident.VM]*peer
	listings         map[ident.VM]listing // by the hub that sent them
	joinedAt         time.Time            // first message of another VM, or the end of discovery
	storeRespondedAt time.Time            // when the store last responded to this VM
	top              []Candidate          // first candidates of the order, maxListed at most
	topAt            time.Time            // when top was computed
	rank             int                  // of this VM in top; len(top) if it is not there
	hubsChangedAt    time.Time            // when the set of hubs last changed
	reporters        reporterCounts
	carriers         map[ident.VM]listing // VMs that reach backend servers, by the hub that sent them
}

// reporterCounts holds the numbers of VMs that reported recently, counted at a time.
type reporterCounts struct {
	at          time.Time
	known, live int
}

// New returns the tracker of a VM that has just started and received no message yet. The
// seeds are addresses of VMs that it reports to while it is isolated.
func New(self Candidate, seeds []netip.AddrPort, start time.Time) *Tracker {
	return &Tracker{self: self, seeds: seeds, startedAt: start, peers: make(map[ident.VM]*peer), listings: make(map[ident.VM]listing), carriers: make(map[ident.VM]listing)}
}

// recordMessage records that a message of another VM arrived, with the VM's description of
// itself.
func (t *Tracker) recordMessage(r Report, now time.Time) *peer {
	p := t.peers[r.VM]
	if p == nil {
		p = &peer{}
		t.peers[r.VM] = p
	}
	if now.Sub(p.lastSeen) >= PeerTimeout || p.Candidate != r.Candidate {
		if t.mayAffectTop(p.Candidate) || t.mayAffectTop(r.Candidate) {
			t.topAt = time.Time{}
		}
		p.ranked = newRanked(r.Candidate)
	}
	p.status, p.isolated = r.StoreStatus, r.Isolated
	p.lastSeen, p.unansweredSince, p.unanswered = now, time.Time{}, 0
	if t.joinedAt.IsZero() {
		t.joinedAt = now
	}
	return p
}

// HandleReport records another VM's report.
func (t *Tracker) HandleReport(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordMessage(r, now).lastReport = now
}

// HandleResponse records a hub's response to a report. The hub omits its list of candidates
// if its digest equals the one in the report. HandleResponse returns whether there is a
// hub that this VM has neither reported to nor received a message from, in which case
// the caller should send reports at once.
func (t *Tracker) HandleResponse(r Report, list []Candidate, digest uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordMessage(r, now)
	old := t.listings[r.VM]
	switch {
	case old.digest == digest:
		old.at = now
		t.listings[r.VM] = old
	case len(list) > 0:
		if now.Sub(old.at) >= PeerTimeout {
			old.list = nil // the hub is new or was unreachable itself
		}
		t.resetReturned(old.list, list, now)
		t.listings[r.VM] = listing{at: now, digest: digest, list: list}
		t.topAt = time.Time{}
	}
	for _, c := range t.otherHubs(now) {
		if p := t.peers[c.VM]; p == nil || p.lastSeen.IsZero() && p.lastSent.IsZero() {
			return true
		}
	}
	return false
}

// resetReturned resets the count of unanswered reports of VMs that a hub lists now and
// did not list before: they have come back.
func (t *Tracker) resetReturned(old, list []Candidate, now time.Time) {
	for _, c := range list {
		if p := t.peers[c.VM]; p.notResponding(now) && !slices.Contains(old, c) {
			p.unansweredSince, p.unanswered = time.Time{}, 0
		}
	}
}

// SetRegistered records the VMs that are registered in the store, and that the store
// responded at now.
func (t *Tracker) SetRegistered(registered map[ident.VM]netip.AddrPort, now time.Time) {
	list := make([]Candidate, 0, len(registered))
	for name, addr := range registered {
		if name != t.self.VM {
			list = append(list, Candidate{VM: name, Addr: addr})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeRespondedAt = now
	t.listings[storeSource] = listing{at: now, list: list}
	t.topAt = time.Time{}
}

// CountResponding counts the other VMs registered in the store, except those that are not
// responding.
func (t *Tracker) CountResponding(registered map[ident.VM]netip.AddrPort, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for name := range registered {
		if name != t.self.VM && !t.peers[name].notResponding(now) {
			n++
		}
	}
	return n
}

// EndDiscovery ends the search for other VMs at once, although none has sent a message. It
// is called when too few VMs are registered in the store to wait for.
func (t *Tracker) EndDiscovery(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.joinedAt = now.Add(-joinTimeout)
}

// StepDown puts this VM last in the order by setting its capacity to zero, so that another
// replaces it as a hub before it stops.
func (t *Tracker) StepDown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Capacity = 0
	t.topAt = time.Time{}
}

// Self returns this VM as a candidate.
func (t *Tracker) Self() Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// notResponding reports whether minUnanswered reports to the VM got no response, the first
// of them sent at least PeerTimeout ago.
func (p *peer) notResponding(now time.Time) bool {
	return p != nil && p.unanswered >= minUnanswered && now.Sub(p.unansweredSince) >= PeerTimeout
}

// live reports whether a message of the VM arrived within PeerTimeout.
func (p *peer) live(now time.Time) bool { return p != nil && now.Sub(p.lastSeen) < PeerTimeout }

// topCandidates returns the top of the order and computes it anew once it is older than
// orderTTL. The order contains the live VMs and those on hub lists, except VMs that are
// not responding. The VMs registered in the store replace the hub lists while these
// contain no VM that may respond.
func (t *Tracker) topCandidates(now time.Time) []Candidate {
	if now.Sub(t.topAt) < orderTTL {
		return t.top
	}
	all := []ranked{newRanked(t.self)}
	for name, p := range t.peers {
		if p.live(now) {
			all = append(all, p.ranked)
		}
		if now.Sub(p.lastSeen) > forgetAfter && now.Sub(p.lastSent) > forgetAfter {
			delete(t.peers, name)
			delete(t.listings, name)
		}
	}
	added := map[ident.VM]bool{t.self.VM: true}
	for _, c := range t.currentCandidates(now) {
		if p := t.peers[c.VM]; !added[c.VM] && !p.live(now) && !p.notResponding(now) {
			added[c.VM] = true
			all = append(all, newRanked(c))
		}
	}
	list := firstOf(all, maxListed)
	spreadDomains(list)
	if !slices.Equal(firstHubs(list), firstHubs(t.top)) {
		t.hubsChangedAt = now
	}
	t.top, t.topAt = list[:min(len(list), maxListed)], now
	t.rank = slices.IndexFunc(t.top, func(c Candidate) bool { return c.VM == t.self.VM })
	if t.rank < 0 {
		t.rank = len(t.top)
	}
	return t.top
}

// firstHubs returns the hubs, the first Count candidates.
func firstHubs(list []Candidate) []Candidate { return list[:min(len(list), Count)] }

// currentCandidates returns the candidates of all hub lists that are less than
// PeerTimeout older than the newest one. When all hubs are lost, no newer list arrives,
// and the candidates that they listed last replace them.
func (t *Tracker) currentCandidates(now time.Time) []Candidate {
	var newest time.Time
	for by, l := range t.listings {
		if by != storeSource && l.at.After(newest) {
			newest = l.at
		}
	}
	if newest.IsZero() {
		return t.listings[storeSource].list
	}
	var out []Candidate
	for by, l := range t.listings {
		if by != storeSource && newest.Sub(l.at) < PeerTimeout {
			out = append(out, l.list...)
		}
	}
	if t.noneRespond(out, now) {
		return t.listings[storeSource].list
	}
	return out
}

// noneRespond reports whether all candidates but this VM are not responding.
func (t *Tracker) noneRespond(list []Candidate, now time.Time) bool {
	for _, c := range list {
		if c.VM != t.self.VM && !t.peers[c.VM].notResponding(now) {
			return false
		}
	}
	return true
}

// LiveCandidates returns the candidates that this VM lists in its responses. These are
// only live VMs: if VMs repeated each other's lists, a VM that is gone would stay listed
// forever.
func (t *Tracker) LiveCandidates(now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Candidate
	for _, c := range t.topCandidates(now) {
		if c.VM == t.self.VM || t.peers[c.VM].live(now) {
			out = append(out, c)
		}
	}
	return out
}

// CandidateDigest returns the digest of the candidates that a hub listed last.
func (t *Tracker) CandidateDigest(hub ident.VM) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listings[hub].digest
}

// Targets returns the VMs to report to now and records the reports as sent. These are
// the hubs, and at times one VM that was not responding or is only known from the store,
// to find out whether it responds now. With all set, the hubs are included even if they
// are not due, because something has to be reported at once. An isolated VM also reports
// to its seeds.
func (t *Tracker) Targets(now time.Time, all bool) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.otherHubs(now)
	if c, ok := t.probeCandidate(out, now); ok {
		out = append(out, c)
	}
	out = slices.DeleteFunc(out, func(c Candidate) bool { return !all && t.nextDue(c.VM).Sub(now) > coalesceWindow })
	for _, c := range out {
		t.recordAttempt(c, now)
	}
	if t.isolated(now) {
		for _, addr := range t.seeds {
			if addr != t.self.Addr {
				out = append(out, Candidate{Addr: addr})
			}
		}
	}
	return out
}

// isolated reports whether no other VM is live.
func (t *Tracker) isolated(now time.Time) bool {
	for _, p := range t.peers {
		if p.live(now) {
			return false
		}
	}
	return true
}

// NextReport returns how long it is until the next report is due.
func (t *Tracker) NextReport(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := ReportInterval
	if t.isolated(now) {
		next = probeInterval
	}
	for _, c := range t.otherHubs(now) {
		next = min(next, t.nextDue(c.VM).Sub(now))
	}
	return max(next, coalesceWindow)
}

// otherHubs returns the hubs other than this VM, which it reports to.
func (t *Tracker) otherHubs(now time.Time) []Candidate {
	first := t.topCandidates(now)
	out := make([]Candidate, 0, Count+1)
	for _, c := range firstHubs(first) {
		if c.VM != t.self.VM {
			out = append(out, c)
		}
	}
	return out
}

// nextDue returns when the next report to a VM is due. A VM with an unanswered report is
// sent the next one soon, so that a few lost messages do not make it count as
// not responding.
func (t *Tracker) nextDue(name ident.VM) time.Time {
	p := t.peers[name]
	switch {
	case p == nil:
		return time.Time{}
	case !t.joinedAt.IsZero() && p.lastSent.Sub(t.joinedAt) < joinTimeout:
		return p.lastSent.Add(joinInterval)
	case !p.unansweredSince.IsZero():
		return p.lastSent.Add(probeInterval)
	default:
		return p.lastSent.Add(ReportInterval)
	}
}

// recordAttempt records that a report is sent to a VM. The count of unanswered reports
// starts anew if the last one was sent PeerTimeout or longer ago and the VM does not count
// as not responding.
func (t *Tracker) recordAttempt(c Candidate, now time.Time) {
	p := t.peers[c.VM]
	if p == nil {
		p = &peer{ranked: newRanked(c)}
		t.peers[c.VM] = p
	}
	if !p.notResponding(now) && now.Sub(p.lastSent) >= PeerTimeout {
		p.unansweredSince, p.unanswered = time.Time{}, 0
	}
	p.lastSent = now
	p.unanswered++
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
}

// probeCandidate returns a candidate that is not live and was sent no report within
// retryInterval. Hubs probe the VMs registered in the store as well as those on hub
// lists; other VMs probe only VMs on hub lists that are not responding.
func (t *Tracker) probeCandidate(targets []Candidate, now time.Time) (Candidate, bool) {
	var list []Candidate
	for by, l := range t.listings {
		if by != storeSource || t.rank < Count {
			list = append(list, l.list...)
		}
	}
	for _, c := range list {
		p := t.peers[c.VM]
		if c.VM == t.self.VM || p.live(now) || p != nil && now.Sub(p.lastSent) < retryInterval {
			continue
		}
		sameVM := func(o Candidate) bool { return o.VM == c.VM }
		if slices.ContainsFunc(targets, sameVM) || t.rank >= Count && !p.notResponding(now) {
			continue
		}
		return c, true
	}
	return Candidate{}, false
}

// Reporters returns the VMs that have reported to this one within PeerTimeout.
func (t *Tracker) Reporters(now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Candidate
	for _, p := range t.peers {
		if now.Sub(p.lastReport) < PeerTimeout {
			out = append(out, p.Candidate)
		}
	}
	return out
}

// ReporterCounts returns how many VMs have reported to this one within forgetAfter
// (known) and within PeerTimeout (live). The counts may be countTTL old.
func (t *Tracker) ReporterCounts(now time.Time) (known, live int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := &t.reporters; now.Sub(c.at) >= countTTL || now.Before(c.at) {
		*c = reporterCounts{at: now}
		for _, p := range t.peers {
			if now.Sub(p.lastReport) < forgetAfter {
				c.known++
			}
			if now.Sub(p.lastReport) < PeerTimeout {
				c.live++
			}
		}
	}
	return t.reporters.known, t.reporters.live
}

// LivePeers returns how many other VMs are live.
func (t *Tracker) LivePeers(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if p.live(now) {
			n++
		}
	}
	return n
}

// CoordinatorCandidate is a VM that may coordinate a service, that is, decide the placement
// of its calls.
type CoordinatorCandidate struct {
	VM   ident.VM
	Addr netip.AddrPort // not valid: this VM
}

// CoordinatorOrder returns the first n hubs in the order in which they take over the
// coordination of a service. Logs and metrics call the coordinator the home.
func (t *Tracker) CoordinatorOrder(service ident.Service, n int, now time.Time) []CoordinatorCandidate {
	t.mu.Lock()
	hubs := slices.Clone(t.topCandidates(now))
	t.mu.Unlock()
	hubs = firstHubs(hubs)
	sortForService(service, hubs)
	out := make([]CoordinatorCandidate, 0, n)
	for _, c := range hubs[:min(len(hubs), n)] {
		r := CoordinatorCandidate{VM: c.VM, Addr: c.Addr}
		if c.VM == t.self.VM {
			r.Addr = netip.AddrPort{}
		}
		out = append(out, r)
	}
	return out
}
