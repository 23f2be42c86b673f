package hubs

import (
	"net/netip"
	"time"
)

const (
	// watchers is how many hubs ask the store for changes and tell the others. With
	// one, its death would be noticed only by its silence.
	watchers = 2
	// watchSilence is how long a hub that watches may say nothing before the next
	// one takes its place: it reports each 500 ms, and a server that leaves must get
	// no call 2 s later.
	watchSilence = 800 * time.Millisecond
	// answerAge is how long ago the store must have answered a hub that watches.
	// Servers' heartbeats end each wait within a fraction of a second.
	answerAge = 900 * time.Millisecond
	// quietTime is how long no hub may know anything new before VMs that the store
	// answers ask it themselves.
	quietTime = 2500 * time.Millisecond
	// answeredTime is how long ago the store must have answered such a VM.
	answeredTime = 1500 * time.Millisecond
)

// Asks reports whether this VM is to ask the store for changes: the first hubs that
// the store answers do, and the others are told by them.
func (h *Hubs) Asks(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.starts(now) {
		return false
	}
	fresh := h.fresh(now)
	if h.rank >= Count {
		return now.Sub(h.store) < answeredTime && h.quiet(now) > quietTime
	}
	return fresh < watchers
}

// starts reports whether this VM still looks for others.
func (h *Hubs) starts(now time.Time) bool {
	if h.joined.IsZero() {
		return now.Sub(h.start) < StartTime
	}
	h.order(now)
	for _, c := range hubsOf(h.first) {
		if c.VM != h.own.VM && !h.vms[c.VM].hears(now) {
			return now.Sub(h.joined) < joinTime
		}
	}
	return now.Sub(h.joined) < min(joinTime, h.changed.Sub(h.joined)+settleTime)
}

// fresh returns how many VMs before this one ask the store and are answered.
func (h *Hubs) fresh(now time.Time) int {
	n := 0
	for _, c := range h.order(now)[:h.rank] {
		v := h.vms[c.VM]
		if v != nil && v.status.Asks && now.Sub(v.heard) < watchSilence && v.status.Age < answerAge {
			n++
		}
	}
	return n
}

// Lead reports whether no VM before this one asks the store and is answered.
func (h *Hubs) Lead(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fresh(now) == 0
}

// First reports whether this VM is one of the first hubs. While the store is down,
// the others leave it to them to find out that it is back; VMs that hear nobody are
// many, and each would take itself for the first.
func (h *Hubs) First(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order(now)
	return h.rank < watchers && !h.alone(now)
}

// Hub reports whether this VM is a hub.
func (h *Hubs) Hub(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order(now)
	return h.rank < Count
}

// Touch reports whether the store has answered this VM within a time.
func (h *Hubs) Touch(within time.Duration, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.store) < within
}

// Answers reports whether the store has answered this VM just now.
func (h *Hubs) Answers(now time.Time) bool { return h.Touch(answeredTime, now) }

// Quiet returns the age of the newest knowledge of servers that another VM told of;
// if there is none, as long as one would be remembered.
func (h *Hubs) Quiet(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quiet(now)
}

func (h *Hubs) quiet(now time.Time) time.Duration {
	quiet := forget
	for _, v := range h.vms {
		quiet = min(quiet, v.status.Age+now.Sub(v.heard))
	}
	return quiet
}

// StoreAnswers reports whether the store answers another VM that asks it.
func (h *Hubs) StoreAnswers(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.vms {
		if v.hears(now) && v.status.Asks && v.status.Age < answerAge {
			return true
		}
	}
	return false
}

// Addresses returns those of the hubs that are heard.
func (h *Hubs) Addresses(now time.Time) []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []netip.AddrPort
	for _, c := range h.others(now) {
		if h.vms[c.VM].hears(now) {
			out = append(out, c.Addr)
		}
	}
	return out
}
