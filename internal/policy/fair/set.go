package fair

import (
	"container/heap"
	"hash/maphash"
	"math"
	"time"
)

const (
	// idleTTL is how long a flow without queued requests keeps its start tag. A caller that
	// sends one request at a time is thus charged for the previous ones.
	idleTTL = time.Second
	// sharedFlows is the number of flows that further callers share once a set is full.
	sharedFlows = 16
	// maxLag is the number of requests by which a flow may be behind the virtual time. A flow
	// whose requests could not be served for long would otherwise get all capacity for as long
	// afterwards.
	maxLag = 16
)

// flow is one caller's part of a set.
type flow[K comparable, T any] struct {
	key       K
	slot      int // among the shared flows; -1: the flow is the caller's own
	requests  T
	weight    float64
	start     float64 // start tag of its next request
	index     int     // position in the heap; -1: the flow is idle or hidden
	hidden    bool    // left out of the order for a while, but not idle
	seq       uint64  // when it became active, relative to others
	idleSince time.Time
}

func (f *flow[K, T]) isActive() bool { return f.index >= 0 || f.hidden }

// set is a set of flows, the active ones of which are ordered by their start tags.
type set[K comparable, T any] struct {
	flows        map[K]*flow[K, T]
	shared       [sharedFlows]*flow[K, T]
	seed         maphash.Seed
	limit        int
	budget       *budget // of own flows, over several sets
	active       flowHeap[K, T]
	activeWeight float64
	virtual      float64
	seq          uint64
	idle         []idleFlow[K, T] // in the order in which they became idle
	hidden       []*flow[K, T]
}

// idleFlow is a flow that became idle at a given time, and may have become active again.
type idleFlow[K comparable, T any] struct {
	*flow[K, T]
	since time.Time
}

// budget limits the number of flows over several sets.
type budget struct{ used, limit int }

func newSet[K comparable, T any](limit int, b *budget, seed maphash.Seed) *set[K, T] {
	return &set[K, T]{flows: make(map[K]*flow[K, T]), seed: seed, limit: limit, budget: b}
}

// find returns the flow of a caller, or nil.
func (s *set[K, T]) find(key K) *flow[K, T] {
	if f := s.flows[key]; f != nil {
		return f
	}
	return s.shared[s.slot(key)]
}

func (s *set[K, T]) slot(key K) int {
	return int(maphash.Comparable(s.seed, key) % sharedFlows)
}

// get returns the flow of a caller. Callers beyond the limit share flows. A caller that shares
// one does so until that flow is idle, so that it never has two.
func (s *set[K, T]) get(key K, weight float64, create func() T, now time.Time) *flow[K, T] {
	s.expire(now)
	f := s.flows[key]
	slot := s.slot(key)
	switch {
	case f != nil:
		f.weight = s.reweigh(f, weight)
	case s.shared[slot] != nil:
		f = s.shared[slot]
		f.weight = s.reweigh(f, min(f.weight, weight))
	case len(s.flows) >= s.limit || s.budget.used >= s.budget.limit:
		f = &flow[K, T]{key: key, slot: slot, weight: weight, index: -1, requests: create()}
		s.shared[slot] = f
		s.retire(f, now)
	default:
		f = &flow[K, T]{key: key, slot: -1, weight: weight, index: -1, requests: create()}
		s.flows[key] = f
		s.budget.used++
		s.retire(f, now)
	}
	return f
}

// reweigh accounts for a change of the weight of a flow, and returns the new weight.
func (s *set[K, T]) reweigh(f *flow[K, T], weight float64) float64 {
	if f.isActive() {
		s.activeWeight += weight - f.weight
	}
	return weight
}

// activate adds a flow that has queued requests to the order.
func (s *set[K, T]) activate(f *flow[K, T]) {
	if f.isActive() {
		return
	}
	f.start = max(f.start, s.virtual)
	s.seq++
	f.seq = s.seq
	heap.Push(&s.active, f)
	s.activeWeight += f.weight
}

// deactivate removes a flow without queued requests from the order.
func (s *set[K, T]) deactivate(f *flow[K, T], now time.Time) {
	if f.index < 0 {
		return
	}
	heap.Remove(&s.active, f.index)
	s.leave(f, now)
}

// leave accounts for an active flow that became idle.
func (s *set[K, T]) leave(f *flow[K, T], now time.Time) {
	if s.activeWeight -= f.weight; len(s.active) == 0 && len(s.hidden) == 0 {
		s.activeWeight = 0 // removes rounding errors
	}
	s.retire(f, now)
}

// hide leaves an active flow out of the order until unhide is called.
func (s *set[K, T]) hide(f *flow[K, T]) {
	if f.index < 0 {
		return
	}
	heap.Remove(&s.active, f.index)
	f.hidden = true
	s.hidden = append(s.hidden, f)
}

// unhide returns the hidden flows to the order, except those that have no requests any more.
func (s *set[K, T]) unhide(hasRequests func(*flow[K, T]) bool, now time.Time) {
	hidden := s.hidden
	s.hidden = nil
	for _, f := range hidden {
		if f.hidden = false; hasRequests(f) {
			heap.Push(&s.active, f)
		}
	}
	for _, f := range hidden {
		if f.index < 0 {
			s.leave(f, now)
		}
	}
}

// retire records that a flow is idle.
func (s *set[K, T]) retire(f *flow[K, T], now time.Time) {
	f.idleSince = now
	s.idle = append(s.idle, idleFlow[K, T]{flow: f, since: now})
}

// charge records that a request of an active flow was granted, which need not be the first. The
// virtual time does not pass flows that have not been served: new ones would otherwise start
// behind them.
func (s *set[K, T]) charge(f *flow[K, T], cost float64) {
	amount := cost / f.weight
	start := max(f.start, s.virtual-maxLag*amount)
	s.virtual = max(s.virtual, min(start, s.lowestStart()))
	f.start = start + amount
	s.seq++
	f.seq = s.seq // flows with equal tags take turns
	if f.index >= 0 {
		heap.Fix(&s.active, f.index)
	}
}

// lowestStart returns the lowest start tag of the active flows. Hidden flows count only if all are
// hidden: they cannot be served, and must not hold the virtual time of the others.
func (s *set[K, T]) lowestStart() float64 {
	if f := s.first(); f != nil {
		return f.start
	}
	lowest := math.Inf(1)
	for _, f := range s.hidden {
		lowest = min(lowest, f.start)
	}
	return lowest
}

// first returns the active flow with the lowest start tag, or nil.
func (s *set[K, T]) first() *flow[K, T] {
	if len(s.active) == 0 {
		return nil
	}
	return s.active[0]
}

// expire removes flows that have been idle for idleTTL. It returns those removed.
func (s *set[K, T]) expire(now time.Time) []*flow[K, T] {
	var out []*flow[K, T]
	n := 0
	for ; n < len(s.idle) && now.Sub(s.idle[n].since) >= idleTTL; n++ {
		f := s.idle[n].flow
		if f.isActive() || !f.idleSince.Equal(s.idle[n].since) {
			continue
		}
		switch {
		case f.slot >= 0 && s.shared[f.slot] == f:
			s.shared[f.slot] = nil
		case f.slot < 0 && s.flows[f.key] == f:
			delete(s.flows, f.key)
			s.budget.used--
		default:
			continue // removed already
		}
		out = append(out, f)
	}
	if s.idle = s.idle[n:]; len(s.idle) == 0 {
		s.idle = nil
	}
	return out
}

// flowHeap is a heap of flows by their start tags.
type flowHeap[K comparable, T any] []*flow[K, T]

func (h flowHeap[K, T]) Len() int { return len(h) }

func (h flowHeap[K, T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h flowHeap[K, T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[K, T]) Push(x any) {
	f := x.(*flow[K, T])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[K, T]) Pop() any {
	old := *h
	n := len(old) - 1
	f := old[n]
	old[n] = nil
	*h = old[:n]
	f.index = -1
	return f
}
