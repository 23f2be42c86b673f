package alloc

import (
	"maps"
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

// PeerTTL is how long another VM's loads count without a newer report. VMs
// report at least every half second, so three lost reports in a row are
// tolerated.
const PeerTTL = 2 * time.Second

// expireInterval is how often the age of the other VMs' loads is checked.
const expireInterval = 50 * time.Millisecond

// peerRetention is how long the sequence number of another VM's last report is
// kept. No message is in transit for longer.
const peerRetention = time.Minute

// FailureMemory is how long a failed run counts against its server. Runs then show whether
// the server still fails.
const FailureMemory = 4 * time.Second

// Load is the work in flight at one server.
type Load struct {
	Calls     int // calls in flight
	Tokens    int // expected memory of the calls at their end
	Backlog   int // prompt tokens not known to be prefilled yet
	CopiesIn  int // KV caches in transit to the server
	CopiesOut int // KV caches in transit from the server, except backup copies sent as their runs grow
	Failures  int // runs in the last FailureMemory without a response, or without one in time

	PaceRuns   int // runs that have measured their time per token at the server
	PaceMicros int // sum of these times, in microseconds
}

// Plus returns the sum of the loads.
func (l Load) Plus(o Load) Load {
	return Load{
		Calls: l.Calls + o.Calls, Tokens: l.Tokens + o.Tokens, Backlog: l.Backlog + o.Backlog,
		CopiesIn: l.CopiesIn + o.CopiesIn, CopiesOut: l.CopiesOut + o.CopiesOut, Failures: l.Failures + o.Failures,
		PaceRuns: l.PaceRuns + o.PaceRuns, PaceMicros: l.PaceMicros + o.PaceMicros,
	}
}

func (l Load) minus(o Load) Load {
	return Load{
		Calls: l.Calls - o.Calls, Tokens: l.Tokens - o.Tokens, Backlog: l.Backlog - o.Backlog,
		CopiesIn: l.CopiesIn - o.CopiesIn, CopiesOut: l.CopiesOut - o.CopiesOut, Failures: l.Failures - o.Failures,
		PaceRuns: l.PaceRuns - o.PaceRuns, PaceMicros: l.PaceMicros - o.PaceMicros,
	}
}

func (l Load) withoutPace() Load {
	l.PaceRuns, l.PaceMicros = 0, 0
	return l
}

// Tracker tracks the loads of all VMs. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	local     map[ident.Server]Load
	peers     map[ident.VM]peer
	peerTotal map[ident.Server]Load // sum of the peers' loads
	expiredAt time.Time             // when the peers' loads were last checked for their age
	changed   chan struct{}         // closed at the next change that may free capacity
	dirty     chan struct{}         // has an element once local loads changed
	grants    []receivedGrant       // of the last GrantTTL
}

type peer struct {
	receivedAt time.Time
	instance   uint64
	seq        uint64
	parts      []int // parts received of the report with the number seq
	load       map[ident.Server]Load
	grants     []uint64 // received grants that the report states, in ascending order
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		local:     make(map[ident.Server]Load),
		peers:     make(map[ident.VM]peer),
		peerTotal: make(map[ident.Server]Load),
		changed:   make(chan struct{}),
		dirty:     make(chan struct{}, 1),
	}
}

// Reservation is one call's part of a server's load.
type Reservation struct {
	tracker  *Tracker
	server   ident.Server
	load     Load
	released bool
}

// Reserve adds a call to the load of a server.
func (t *Tracker) Reserve(server ident.Server, l Load) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reserve(server, l)
}

func (t *Tracker) reserve(server ident.Server, l Load) *Reservation {
	t.local[server] = t.local[server].Plus(l)
	t.markDirty(l)
	return &Reservation{tracker: t, server: server, load: l}
}

// RecordFailure counts a failed run against a server for FailureMemory. A server that fails
// runs at once never looks busy, so without the count it would attract all new runs.
func (t *Tracker) RecordFailure(server ident.Server) {
	time.AfterFunc(FailureMemory, t.Reserve(server, Load{Failures: 1}).Release)
}

// Resize changes the load of the call.
func (r *Reservation) Resize(l Load) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.released || l == r.load {
		return
	}
	r.tracker.local[r.server] = r.tracker.local[r.server].minus(r.load).Plus(l)
	onlyPace := l.withoutPace() == r.load.withoutPace()
	r.load = l
	if !onlyPace {
		// Times per token are reported with the next message, without causing one.
		r.tracker.markDirty(l)
	}
}

// Load returns the load of the call.
func (r *Reservation) Load() Load {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	return r.load
}

// Release removes the call's load. Further calls do nothing.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.released {
		return
	}
	r.released = true
	rest := r.tracker.local[r.server].minus(r.load)
	if rest == (Load{}) {
		delete(r.tracker.local, r.server)
	} else {
		r.tracker.local[r.server] = rest
	}
	r.tracker.markDirty(r.load)
	r.tracker.signalChanged()
}

// markDirty records that local loads changed. Calls to plain servers end before
// other VMs could use the information; they are reported with the next regular
// message.
func (t *Tracker) markDirty(l Load) {
	if l.Tokens == 0 && l.CopiesOut == 0 && l.Failures == 0 {
		return
	}
	select {
	case t.dirty <- struct{}{}:
	default:
	}
}

func (t *Tracker) signalChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Dirty returns a channel that has an element once local loads changed since the
// last receive.
func (t *Tracker) Dirty() <-chan struct{} { return t.dirty }

// Changed returns a channel that is closed once capacity may have become
// available.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Local returns this VM's loads.
func (t *Tracker) Local() map[ident.Server]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.localCopy()
}

func (t *Tracker) localCopy() map[ident.Server]Load { return maps.Clone(t.local) }

// Own returns this VM's load of a server.
func (t *Tracker) Own(server ident.Server) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local[server]
}

// UpdatePeer replaces another VM's loads, unless the same or a later report was
// received before. A higher instance means that the VM has restarted since. A
// report may arrive in several parts with the same sequence number, in any order: the
// loads of each part received after another one are added, once.
func (t *Tracker) UpdatePeer(vm ident.VM, instance, seq uint64, part int, load map[ident.Server]Load, now time.Time) {
	t.HandleReport(vm, instance, seq, part, load, nil, now)
}

// HandleReport is UpdatePeer for a report that also states which grants the VM has received, in
// ascending order. VMs of older versions state none.
func (t *Tracker) HandleReport(vm ident.VM, instance, seq uint64, part int, load map[ident.Server]Load, grants []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[vm]
	continued := instance == p.instance && seq == p.seq && len(p.parts) > 0 && !slices.Contains(p.parts, part)
	if instance < p.instance || instance == p.instance && seq <= p.seq && !continued {
		return
	}
	for s, l := range load {
		t.peerTotal[s] = t.peerTotal[s].Plus(l)
	}
	parts := []int{part}
	if continued {
		parts = append(parts, p.parts...)
		load = sum(load, p.load)
		if len(grants) == 0 {
			grants = p.grants // one part states them all
		}
	} else {
		t.subtract(p)
	}
	t.peers[vm] = peer{receivedAt: now, instance: instance, seq: seq, parts: parts, load: load, grants: grants}
	t.signalChanged()
}

// sum returns the sums of two VMs' loads, or of two parts of one VM's.
func sum(a, b map[ident.Server]Load) map[ident.Server]Load {
	out := maps.Clone(a)
	for s, l := range b {
		out[s] = out[s].Plus(l)
	}
	return out
}

// subtract removes a peer's loads from the total.
func (t *Tracker) subtract(p peer) {
	for s, l := range p.load {
		rest := t.peerTotal[s].minus(l)
		if rest == (Load{}) {
			delete(t.peerTotal, s)
			continue
		}
		t.peerTotal[s] = rest
	}
}

// Load returns the load of a server at all VMs. The loads of VMs that no longer report are
// subtracted by Expire.
func (t *Tracker) Load(server ident.Server) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.local[server].Plus(t.peerTotal[server])
}

// Expire subtracts the loads of VMs that did not report within PeerTTL. It does so at most
// each expireInterval.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.expiredAt) >= expireInterval {
		t.expire(now)
	}
}

func (t *Tracker) expire(now time.Time) {
	t.expiredAt = now
	for vm, p := range t.peers {
		if now.Sub(p.receivedAt) <= PeerTTL {
			continue
		}
		t.subtract(p)
		p.load = nil
		t.peers[vm] = p
		if now.Sub(p.receivedAt) > peerRetention {
			delete(t.peers, vm)
		}
	}
}

// All returns the loads of all VMs that reported recently.
func (t *Tracker) All(now time.Time) map[ident.Server]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	all := maps.Clone(t.local)
	for s, l := range t.peerTotal {
		all[s] = all[s].Plus(l)
	}
	return all
}
