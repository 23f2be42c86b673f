package hubs

import (
	"net/netip"
	"time"
)

const (
	// watcherCount is how many hubs watch the store and report changes to the others.
	// If there were only one, its loss would be noticed only after watcherTimeout.
	watcherCount = 2
	// watcherTimeout is how long after the last message of a hub that watches the next
	// hub replaces it. Hubs report each 500 ms, and a server that retires must get
	// no call 2 s later.
	watcherTimeout = 800 * time.Millisecond
	// maxResponseAge is how long ago the store may have responded to a hub that watches for
	// its watch to count as working. Servers' heartbeats are changes, so the store
	// responds to each watch within a fraction of a second.
	maxResponseAge = 900 * time.Millisecond
	// staleTimeout is the age of the newest data on the servers from any peer beyond
	// which VMs other than hubs watch the store themselves, if it responds to them.
	staleTimeout = 2500 * time.Millisecond
	// reachableTime is how long after its last response the store counts as reachable.
	reachableTime = 1500 * time.Millisecond
)

// ShouldWatch reports whether this VM has to watch the store for changes. The first
// watcherCount hubs that the store responds to do so and report the changes to the others.
// Another VM does so if the store responds to it and no peer has recent data.
func (t *Tracker) ShouldWatch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.joining(now) {
		return false
	}
	watching := t.watchersBefore(now)
	if t.rank >= Count {
		return now.Sub(t.storeRespondedAt) < reachableTime && t.peerDataAge(now) > staleTimeout
	}
	return watching < watcherCount
}

// joining reports whether this VM is still starting and looks for other VMs.
func (t *Tracker) joining(now time.Time) bool {
	if t.joinedAt.IsZero() {
		return now.Sub(t.startedAt) < DiscoveryTimeout
	}
	t.topCandidates(now)
	for _, c := range firstHubs(t.top) {
		if c.VM != t.self.VM && !t.peers[c.VM].live(now) {
			return now.Sub(t.joinedAt) < joinTimeout
		}
	}
	return now.Sub(t.joinedAt) < min(joinTimeout, t.hubsChangedAt.Sub(t.joinedAt)+settleTime)
}

// watchersBefore returns how many VMs before this one in the order watch the store and
// get responses.
func (t *Tracker) watchersBefore(now time.Time) int {
	n := 0
	for _, c := range t.topCandidates(now)[:t.rank] {
		p := t.peers[c.VM]
		if p != nil && p.status.Watching && now.Sub(p.lastSeen) < watcherTimeout && p.status.Age < maxResponseAge {
			n++
		}
	}
	return n
}

// LeadsWatch reports whether no VM before this one in the order watches the store and
// gets responses.
func (t *Tracker) LeadsWatch(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.watchersBefore(now) == 0
}

// ProbesStore reports whether this VM is one of the first watcherCount hubs. While the
// store is down, only these find out soon that it has recovered. An isolated VM is not one
// of them: there may be many such VMs, and each is the first of the order that it knows.
func (t *Tracker) ProbesStore(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.topCandidates(now)
	return t.rank < watcherCount && !t.isolated(now)
}

// IsHub reports whether this VM is a hub.
func (t *Tracker) IsHub(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.topCandidates(now)
	return t.rank < Count
}

// StoreRespondedWithin reports whether the store's last response to this VM is more recent
// than the given duration.
func (t *Tracker) StoreRespondedWithin(within time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.storeRespondedAt) < within
}

// StoreReachable reports whether the store has responded to this VM within reachableTime.
func (t *Tracker) StoreReachable(now time.Time) bool {
	return t.StoreRespondedWithin(reachableTime, now)
}

// PeerDataAge returns the age of the newest data on the servers that any other VM has
// reported, or forgetAfter if there is none.
func (t *Tracker) PeerDataAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerDataAge(now)
}

func (t *Tracker) peerDataAge(now time.Time) time.Duration {
	age := forgetAfter
	for _, p := range t.peers {
		age = min(age, p.status.Age+now.Sub(p.lastSeen))
	}
	return age
}

// PeersReachStore reports whether the store responds to another VM that watches it.
func (t *Tracker) PeersReachStore(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.live(now) && p.status.Watching && p.status.Age < maxResponseAge {
			return true
		}
	}
	return false
}

// HubAddrs returns the addresses of the other hubs that are live.
func (t *Tracker) HubAddrs(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []netip.AddrPort
	for _, c := range t.otherHubs(now) {
		if t.peers[c.VM].live(now) {
			out = append(out, c.Addr)
		}
	}
	return out
}
