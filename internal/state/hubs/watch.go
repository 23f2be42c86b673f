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
func (h *Tracker) ShouldWatch(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.joining(now) {
		return false
	}
	watching := h.watchersBefore(now)
	if h.rank >= Count {
		return now.Sub(h.storeResponded) < reachableTime && h.peerDataAge(now) > staleTimeout
	}
	return watching < watcherCount
}

// joining reports whether this VM is still starting and looks for other VMs.
func (h *Tracker) joining(now time.Time) bool {
	if h.joinedAt.IsZero() {
		return now.Sub(h.startedAt) < DiscoveryTimeout
	}
	h.topCandidates(now)
	for _, c := range firstHubs(h.top) {
		if c.VM != h.self.VM && !h.peers[c.VM].live(now) {
			return now.Sub(h.joinedAt) < joinTimeout
		}
	}
	return now.Sub(h.joinedAt) < min(joinTimeout, h.hubsChanged.Sub(h.joinedAt)+settleTime)
}

// watchersBefore returns how many VMs before this one in the order watch the store and
// get responses.
func (h *Tracker) watchersBefore(now time.Time) int {
	n := 0
	for _, c := range h.topCandidates(now)[:h.rank] {
		p := h.peers[c.VM]
		if p != nil && p.status.Watching && now.Sub(p.lastSeen) < watcherTimeout && p.status.Age < maxResponseAge {
			n++
		}
	}
	return n
}

// LeadsWatch reports whether no VM before this one in the order watches the store and
// gets responses.
func (h *Tracker) LeadsWatch(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.watchersBefore(now) == 0
}

// ProbesStore reports whether this VM is one of the first watcherCount hubs. While the
// store is down, only these find out soon that it has recovered. An isolated VM is not one
// of them: there may be many such VMs, and each is the first of the order that it knows.
func (h *Tracker) ProbesStore(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.topCandidates(now)
	return h.rank < watcherCount && !h.isolated(now)
}

// IsHub reports whether this VM is a hub.
func (h *Tracker) IsHub(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.topCandidates(now)
	return h.rank < Count
}

// StoreRespondedWithin reports whether the store's last response to this VM is more recent
// than the given duration.
func (h *Tracker) StoreRespondedWithin(within time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.storeResponded) < within
}

// StoreReachable reports whether the store has responded to this VM within reachableTime.
func (h *Tracker) StoreReachable(now time.Time) bool {
	return h.StoreRespondedWithin(reachableTime, now)
}

// PeerDataAge returns the age of the newest data on the servers that any other VM has
// reported, or forgetAfter if there is none.
func (h *Tracker) PeerDataAge(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peerDataAge(now)
}

func (h *Tracker) peerDataAge(now time.Time) time.Duration {
	age := forgetAfter
	for _, p := range h.peers {
		age = min(age, p.status.Age+now.Sub(p.lastSeen))
	}
	return age
}

// PeersReachStore reports whether the store responds to another VM that watches it.
func (h *Tracker) PeersReachStore(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.live(now) && p.status.Watching && p.status.Age < maxResponseAge {
			return true
		}
	}
	return false
}

// HubAddrs returns the addresses of the other hubs that are live.
func (h *Tracker) HubAddrs(now time.Time) []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []netip.AddrPort
	for _, c := range h.otherHubs(now) {
		if h.peers[c.VM].live(now) {
			out = append(out, c.Addr)
		}
	}
	return out
}
