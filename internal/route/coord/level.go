package coord

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/fair"
	"umberladder/internal/policy/queue"
	"umberladder/internal/route/pick"
)

// request is a queued or decided Request.
type request struct {
	Request
	respond  func(Response)
	lastSeen time.Time // when the VM last sent the request
	startBy  time.Time // latest start that is in time
	deadline time.Time // end of the wait
	leaves   time.Time // when the client gives up; zero: not known
	response Response
	due      bool // it was refused before and came back when its ticket was due
	level    int
	entry    *queue.Entry[*request] // nil: not queued
	expiry   *queue.Entry[*request]
	turn     *fairEntry // nil: not queued, or the workspace is not known
}

func (r *request) isQueued() bool { return r.entry != nil }

// isBound reports whether the request is bound to failure domains.
func (r *request) isBound() bool { return len(r.Run.Domains) > 0 }

// isUrgent reports whether the request is for a stream that has begun or has rank 0, and so
// precedes the other calls.
func (r *request) isUrgent() bool { return r.Run.Continues() || r.Run.Rank == 0 }

// hasShare reports whether it is known which share of the capacity the request's workspace is
// due. VMs do not state it if there are no workspaces.
func (r *request) hasShare() bool { return r.Run.Weight > 0 }

// cost returns what the request costs its workspace.
func (r *request) cost() float64 { return float64(max(r.Run.Need, 1)) }

type (
	fairQueue = fair.Queue[ident.Workspace, uint64, *request]
	fairEntry = fair.Entry[ident.Workspace, uint64, *request]
)

// urgentPart is how many times as much rank 0 is granted as the others while both wait, so that
// the others are served at least a quarter as often as the mean.
const urgentPart = 3

// maxOwed bounds what the others are owed, in calls of rank 0 or their own next call, whichever
// costs more: they may be unable to use what is free for long, and would then get all capacity for
// as long afterwards.
const maxOwed = 16

// levelQueue holds the queued requests of one priority level in two orders: one that takes no
// account of workspaces, and one by the shares of the workspaces, which is used if the
// workspaces of all requests are known.
type levelQueue struct {
	ranked   *queue.Queue[*request] // rank 0 first, then by earliest deadline
	byExpiry *queue.Queue[*request] // by earliest deadline
	urgent   *fairQueue             // rank 0
	others   *fairQueue
	unknown  int     // requests whose workspace is not known
	owed     float64 // what the others have yet to be granted, for what rank 0 was granted while they waited
}

func newLevelQueue() *levelQueue {
	return &levelQueue{
		ranked: queue.New[*request](), byExpiry: queue.New[*request](),
		urgent: fair.NewQueue[ident.Workspace, uint64, *request](), others: fair.NewQueue[ident.Workspace, uint64, *request](),
	}
}

func (l *levelQueue) len() int { return l.ranked.Len() }

// isShared reports whether the order is that by shares.
func (l *levelQueue) isShared() bool { return l.unknown == 0 && l.len() > 0 }

// class returns the queue by shares that a request belongs to.
func (l *levelQueue) class(r *pick.Request) *fairQueue {
	if r.Rank == 0 {
		return l.urgent
	}
	return l.others
}

// push queues a request that has to leave the level after bound.
func (l *levelQueue) push(r *request, bound time.Duration, now time.Time) {
	r.entry = l.ranked.Push(r, r.Run.Rank, now, bound)
	r.expiry = l.byExpiry.Push(r, 1, now, bound)
	if !r.hasShare() {
		l.unknown++
		return
	}
	weight := float64(r.Run.Weight) / pick.WeightUnit
	r.turn = l.class(&r.Run).Push(r.Run.Workspace, weight, r.Run.Subject, r, r.cost(), now.Add(bound), now)
}

// remove removes a request. If it was granted, its workspace is charged.
func (l *levelQueue) remove(r *request, granted bool, now time.Time) {
	l.ranked.Remove(r.entry)
	l.byExpiry.Remove(r.expiry)
	r.entry, r.expiry = nil, nil
	if r.turn == nil {
		l.unknown--
		return
	}
	if granted {
		l.charge(r)
		l.class(&r.Run).Grant(r.turn, now)
	} else {
		l.class(&r.Run).Remove(r.turn, now)
	}
	r.turn = nil
}

// charge updates what is owed to calls of other ranks than 0.
func (l *levelQueue) charge(r *request) {
	switch {
	case l.others.Len() == 0:
		l.owed = 0
	case r.Run.Rank == 0:
		// The bound covers the next call of the others, which otherwise never becomes first if it
		// costs much more than calls of rank 0.
		largest := r.cost()
		if other := l.others.Peek(); other != nil {
			largest = max(largest, other.Cost)
		}
		l.owed = max(l.owed, min(l.owed+r.cost()/urgentPart, maxOwed*largest))
	default:
		l.owed = max(0, l.owed-r.cost())
	}
}

// first returns the request that is to be served next, except those that are skipped. Nil: all
// are.
func (l *levelQueue) first() *request {
	if !l.isShared() {
		return l.ranked.Peek().Value
	}
	urgent, other := l.urgent.Peek(), l.others.Peek()
	switch {
	case urgent == nil && other == nil:
		return nil
	case urgent == nil || other != nil && l.owed >= other.Cost:
		return other.Value
	default:
		return urgent.Value
	}
}

// skip leaves out the workspace of a request until resume is called.
func (l *levelQueue) skip(r *request) { l.class(&r.Run).Skip(r.turn) }

// skipOne leaves out a request, but not the others of its workspace, until resume is called.
func (l *levelQueue) skipOne(r *request) { l.class(&r.Run).SkipEntry(r.turn) }

func (l *levelQueue) resume(now time.Time) {
	l.urgent.Resume(now)
	l.others.Resume(now)
}

// classShare returns the share of what the level is granted that requests of the rank get.
func (l *levelQueue) classShare(r *pick.Request) float64 {
	const all = urgentPart + 1
	switch {
	case r.Rank == 0 && l.others.Len() > 0:
		return urgentPart / float64(all)
	case r.Rank != 0 && l.urgent.Len() > 0:
		return 1 / float64(all)
	default:
		return 1
	}
}

// expired returns a request that has to leave the level by now, or nil.
func (l *levelQueue) expired(now time.Time) *request {
	if e := l.byExpiry.Peek(); e != nil && now.After(e.Deadline) {
		return e.Value
	}
	return nil
}
