package queue

import (
	"container/heap"
	"slices"
	"time"
)

// Entry is a queued value. It belongs to at most one queue.
type Entry[T any] struct {
	Value    T
	Rank     int // of the class; entries of rank 0 precede all others
	Arrival  time.Time
	Deadline time.Time // arrival time plus the maximum wait
	seq      uint64
	index    int // position in the heap, -1 when not queued
}

// Queue is a priority queue of entries. It is not safe for concurrent use.
type Queue[T any] struct {
	heap   entries[T]
	seq    uint64
	urgent int // number of entries of rank 0
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{} }

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.heap) }

// Urgent returns the number of entries of rank 0.
func (q *Queue[T]) Urgent() int { return q.urgent }

// Push adds an entry for v, whose deadline is the arrival time plus maxWait, and
// returns it.
func (q *Queue[T]) Push(v T, rank int, arrival time.Time, maxWait time.Duration) *Entry[T] {
	q.seq++
	e := &Entry[T]{Value: v, Rank: rank, Arrival: arrival, Deadline: arrival.Add(maxWait), seq: q.seq}
	heap.Push(&q.heap, e)
	if rank == 0 {
		q.urgent++
	}
	return e
}

// Peek returns the first entry, or nil if the queue is empty.
func (q *Queue[T]) Peek() *Entry[T] {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// Sorted returns the entries in queue order.
func (q *Queue[T]) Sorted() []*Entry[T] {
	out := slices.Clone(q.heap)
	slices.SortFunc(out, func(a, b *Entry[T]) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return out
}

// Remove removes an entry at any position. It returns false if e is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.index < 0 {
		return false
	}
	heap.Remove(&q.heap, e.index)
	if e.Rank == 0 {
		q.urgent--
	}
	return true
}

// Ahead returns the number of entries that would precede a new entry.
func (q *Queue[T]) Ahead(rank int, arrival time.Time, maxWait time.Duration) int {
	probe := &Entry[T]{Rank: rank, Arrival: arrival, Deadline: arrival.Add(maxWait), seq: q.seq + 1}
	n := 0
	for _, e := range q.heap {
		if e.before(probe) {
			n++
		}
	}
	return n
}

func (e *Entry[T]) before(o *Entry[T]) bool {
	if (e.Rank == 0) != (o.Rank == 0) {
		return e.Rank == 0
	}
	if e.Rank != 0 && !e.Deadline.Equal(o.Deadline) {
		return e.Deadline.Before(o.Deadline)
	}
	return e.seq < o.seq
}

type entries[T any] []*Entry[T]

func (h entries[T]) Len() int           { return len(h) }
func (h entries[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h entries[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *entries[T]) Push(x any) {
	e := x.(*Entry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entries[T]) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = nil
	*h = old[:n]
	e.index = -1
	return e
}
