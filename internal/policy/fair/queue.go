package fair

import (
	"hash/maphash"
	"slices"
	"time"

	"umberladder/internal/policy/queue"
)

const (
	// maxFlows is the maximum number of flows of a Queue, and of the subflows of all its flows.
	maxFlows = 4096
	// maxSubflows is the maximum number of subflows of one flow, so that one flow can't use up
	// those of all others.
	maxSubflows = 256
)

// Entry is a queued value.
type Entry[K, S comparable, V any] struct {
	Value V
	Cost  float64
	flow  *flow[K, *subflows[K, S, V]]
	sub   *flow[S, *queue.Queue[*Entry[K, S, V]]]
	entry *queue.Entry[*Entry[K, S, V]] // nil: not queued
}

// subflows are the queued requests of one flow.
type subflows[K, S comparable, V any] struct {
	set  *set[S, *queue.Queue[*Entry[K, S, V]]]
	len  int
	cost float64
}

// Queue holds requests of flows, which share capacity by their weights, and of their subflows.
// It is not safe for concurrent use.
type Queue[K, S comparable, V any] struct {
	flows     *set[K, *subflows[K, S, V]]
	subBudget budget
	seed      maphash.Seed
	len       int
	skipped   []*Entry[K, S, V] // entries left out by SkipEntry
}

// NewQueue returns an empty Queue.
func NewQueue[K, S comparable, V any]() *Queue[K, S, V] {
	q := &Queue[K, S, V]{seed: maphash.MakeSeed(), subBudget: budget{limit: maxFlows}}
	q.flows = newSet[K, *subflows[K, S, V]](maxFlows, &budget{limit: maxFlows}, q.seed)
	return q
}

// Len returns the number of queued values.
func (q *Queue[K, S, V]) Len() int { return q.len }

// Queued returns the number and the cost of the values queued in a flow.
func (q *Queue[K, S, V]) Queued(key K) (n int, cost float64) {
	if f := q.flows.find(key); f != nil {
		return f.requests.len, f.requests.cost
	}
	return 0, 0
}

// Share returns the share of what is granted that a flow with queued values gets while the
// flows that have some now have more.
func (q *Queue[K, S, V]) Share(key K, weight float64) float64 {
	total := q.flows.activeWeight
	if f := q.flows.find(key); f == nil || !f.isActive() {
		total += weight
	} else {
		weight = f.weight
	}
	return weight / total
}

// Push queues a value of a subflow. The weight of the flow and the cost must be positive.
func (q *Queue[K, S, V]) Push(key K, weight float64, sub S, v V, cost float64, deadline, now time.Time) *Entry[K, S, V] {
	q.Expire(now)
	f := q.flows.get(key, weight, func() *subflows[K, S, V] {
		return &subflows[K, S, V]{set: newSet[S, *queue.Queue[*Entry[K, S, V]]](maxSubflows, &q.subBudget, q.seed)}
	}, now)
	s := f.requests.set.get(sub, 1, queue.New[*Entry[K, S, V]], now)
	e := &Entry[K, S, V]{Value: v, Cost: cost, flow: f, sub: s}
	e.entry = s.requests.Push(e, 1, now, deadline.Sub(now))
	f.requests.len++
	f.requests.cost += cost
	q.len++
	f.requests.set.activate(s)
	q.flows.activate(f)
	return e
}

// Peek returns the first entry, or nil if the queue is empty.
func (q *Queue[K, S, V]) Peek() *Entry[K, S, V] {
	f := q.flows.first()
	if f == nil {
		return nil
	}
	return f.requests.set.first().requests.Peek().Value
}

// Skip leaves out the flow of an entry until Resume is called.
func (q *Queue[K, S, V]) Skip(e *Entry[K, S, V]) {
	if e.entry != nil {
		q.flows.hide(e.flow)
	}
}

// SkipEntry leaves out an entry, but not the others of its flow, until Resume is called.
func (q *Queue[K, S, V]) SkipEntry(e *Entry[K, S, V]) {
	if e.entry == nil || !e.sub.requests.Remove(e.entry) {
		return
	}
	q.skipped = append(q.skipped, e)
	if e.sub.requests.Len() == 0 {
		e.flow.requests.set.hide(e.sub)
	}
	if e.flow.requests.set.first() == nil {
		q.flows.hide(e.flow)
	}
}

// isSkipped reports whether an entry of a subflow is left out by SkipEntry.
func (q *Queue[K, S, V]) isSkipped(s *flow[S, *queue.Queue[*Entry[K, S, V]]]) bool {
	return slices.ContainsFunc(q.skipped, func(e *Entry[K, S, V]) bool { return e.sub == s && e.entry != nil })
}

// Resume returns the skipped flows and entries to their places.
func (q *Queue[K, S, V]) Resume(now time.Time) {
	for _, e := range q.skipped {
		if e.entry != nil {
			e.entry = e.sub.requests.Push(e, 1, e.entry.Arrival, e.entry.Deadline.Sub(e.entry.Arrival))
		}
	}
	for _, e := range q.skipped {
		e.flow.requests.set.unhide(func(s *flow[S, *queue.Queue[*Entry[K, S, V]]]) bool { return s.requests.Len() > 0 }, now)
	}
	q.skipped = nil
	q.flows.unhide(func(f *flow[K, *subflows[K, S, V]]) bool { return f.requests.len > 0 }, now)
}

// Grant removes an entry, which need not be the first, and charges its cost to its flow.
func (q *Queue[K, S, V]) Grant(e *Entry[K, S, V], now time.Time) {
	if e.entry == nil {
		return
	}
	q.flows.charge(e.flow, e.Cost)
	e.flow.requests.set.charge(e.sub, e.Cost)
	q.Remove(e, now)
}

// Remove removes an entry that was not granted. It reports false if e is not queued.
func (q *Queue[K, S, V]) Remove(e *Entry[K, S, V], now time.Time) bool {
	if e.entry == nil {
		return false
	}
	e.sub.requests.Remove(e.entry)
	e.entry = nil
	list := e.flow.requests
	list.len--
	list.cost -= e.Cost
	q.len--
	switch {
	case e.sub.requests.Len() > 0:
	case q.isSkipped(e.sub):
		list.set.hide(e.sub)
	default:
		list.set.deactivate(e.sub, now)
	}
	switch {
	case list.len == 0:
		list.cost = 0
		q.flows.deactivate(e.flow, now)
	case list.set.first() == nil:
		q.flows.hide(e.flow)
	}
	return true
}

// Expire drops the state of flows that have been idle for a second.
func (q *Queue[K, S, V]) Expire(now time.Time) {
	for _, f := range q.flows.expire(now) {
		q.subBudget.used -= len(f.requests.set.flows)
	}
}
