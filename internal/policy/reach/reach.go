package reach

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// minProbeInterval and maxProbeInterval bound the pause between two direct connections
	// to a server that is cut off, which doubles with each failure.
	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = time.Second
	// expiry is how long a failure is remembered after the last attempt.
	expiry = 5 * time.Second
	// unreachableTime is how long a server that no VM could connect to is not tried
	// through other VMs again.
	unreachableTime = time.Second
)

// Plan says which ways to a server to try, in which order.
type Plan uint8

// The plans.
const (
	DirectFirst Plan = iota // other VMs are tried if the direct connection takes long or fails
	DirectOnly              // other VMs did not reach the server either
	PeerFirst               // the server is cut off; a direct connection is the last resort
	Both                    // as PeerFirst, with a direct connection to find out whether the cut has ended
)

// state is what is known of the links to a server. Servers without a failure have none.
type state struct {
	failedSince   time.Time // first failure since the last direct connection
	triedAt       time.Time // last attempt to connect directly
	failures      int
	peerAt        time.Time // when another VM last connected while this one could not
	unreachableAt time.Time // when another VM could not connect either
}

// cutOff reports whether another VM reached the server and this one did not.
func (s *state) cutOff() bool { return !s.failedSince.IsZero() && !s.peerAt.IsZero() }

// Tracker records the results of connections to servers. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	servers  map[ident.Server]*state
	directAt time.Time                  // last direct connection to any server
	failed   map[ident.Server]time.Time // by server, last direct failure since then
}

// New returns a Tracker that assumes that this VM reaches all servers.
func New() *Tracker {
	return &Tracker{servers: make(map[ident.Server]*state), failed: make(map[ident.Server]time.Time)}
}

// Plan returns the plan for a connection that is opened now.
func (t *Tracker) Plan(id ident.Server, now time.Time) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	switch {
	case s == nil:
		return DirectFirst
	case s.cutOff():
		if now.Sub(s.triedAt) < s.probeInterval() {
			return PeerFirst
		}
		s.triedAt = now // calls that arrive meanwhile do not probe
		return Both
	case now.Sub(s.unreachableAt) < unreachableTime:
		return DirectOnly
	default:
		return DirectFirst
	}
}

func (s *state) probeInterval() time.Duration {
	return min(minProbeInterval<<min(s.failures, 10), maxProbeInterval)
}

// get returns the state of a server, or nil if there is none or it is outdated.
func (t *Tracker) get(id ident.Server, now time.Time) *state {
	s := t.servers[id]
	if s != nil && now.Sub(s.triedAt) > expiry {
		delete(t.servers, id)
		return nil
	}
	return s
}

// Connected records a direct connection. It reports whether the server was cut off.
func (t *Tracker) Connected(id ident.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	delete(t.servers, id)
	clear(t.failed)
	t.directAt = now
	return s != nil && s.cutOff()
}

// Failed records that a direct connection could not be opened, or took longer than one
// through another VM.
func (t *Tracker) Failed(id ident.Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	s := t.servers[id]
	if s == nil {
		s = &state{}
		t.servers[id] = s
	}
	if s.failedSince.IsZero() {
		s.failedSince = now
	}
	s.triedAt = now
	s.failures++
	t.failed[id] = now
}

// expire drops outdated entries.
func (t *Tracker) expire(now time.Time) {
	for id := range t.servers {
		t.get(id, now)
	}
	for id, at := range t.failed {
		if now.Sub(at) > expiry {
			delete(t.failed, id)
		}
	}
}

// ConnectedByPeer records that another VM connected to a server to which this VM could not.
// It reports whether the server was not known to be cut off.
func (t *Tracker) ConnectedByPeer(id ident.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil {
		return false
	}
	changed := !s.cutOff()
	s.peerAt = now
	return changed
}

// FailedByPeer records that another VM, which reaches other servers, could not connect to a
// server either.
func (t *Tracker) FailedByPeer(id ident.Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	if s == nil {
		s = &state{triedAt: now} // the direct connection is still pending
		t.servers[id] = s
	}
	s.unreachableAt, s.peerAt = now, time.Time{}
}

// IsCutOff reports whether a server is cut off from this VM.
func (t *Tracker) IsCutOff(id ident.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	return s != nil && s.cutOff()
}

// CutOffCount returns the number of servers that are cut off from this VM.
func (t *Tracker) CutOffCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id := range t.servers {
		if s := t.get(id, now); s != nil && s.cutOff() {
			n++
		}
	}
	return n
}

// TryDirect reports whether to connect to a server directly for another VM. Not all of the
// connections to a server that this VM did not reach are tried.
func (t *Tracker) TryDirect(id ident.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id, now)
	if s == nil || s.failedSince.IsZero() {
		return true
	}
	if now.Sub(s.triedAt) < s.probeInterval() {
		return false
	}
	s.triedAt = now
	return true
}

// reachedTime is how long a direct connection shows that this VM's links work. An overloaded VM
// opens several connections in that time.
const reachedTime = 250 * time.Millisecond

// Reaches reports whether a direct connection to any server has succeeded within reachedTime. Some
// time out while the VM is overloaded.
func (t *Tracker) Reaches(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.directAt) < reachedTime
}

// minFailed is the number of servers that must have failed in a row for ReachesNone.
const minFailed = 2

// ReachesNone reports whether direct connections to several servers have failed and none has
// succeeded since. The servers may be down.
func (t *Tracker) ReachesNone(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return len(t.failed) >= minFailed
}

// Isolated reports whether this VM's links to the servers are cut: a server is cut off, and no
// direct connection has succeeded since it was. Failures without that do not count, as a VM
// that is isolated carries no connections for others, not even to servers that it reaches.
func (t *Tracker) Isolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.servers {
		if s := t.get(id, now); s != nil && s.cutOff() && !t.directAt.After(s.failedSince) {
			return true
		}
	}
	return false
}

// Blames reports whether a failed connection to a server is evidence against the server
// rather than the links of this VM: the links have worked before, and since then
// connections to no other server have failed.
func (t *Tracker) Blames(id ident.Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.directAt.IsZero() {
		return false
	}
	for other, at := range t.failed {
		if other != id && now.Sub(at) <= expiry {
			return false
		}
	}
	return true
}
