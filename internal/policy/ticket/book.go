package ticket

import (
	"container/list"
	"time"
)

const (
	// MaxTickets is the maximum number of tickets of a Book. The oldest are dropped first.
	MaxTickets = 1024
	// grace is how long a ticket is valid once it is due. A delay in the Retry-After header is
	// rounded up to whole seconds, and clients may add jitter.
	grace = 5 * time.Second
)

// Terms are the terms on which tickets are issued.
type Terms struct {
	Earliest, Latest time.Duration // bounds of the time until a ticket is due
	Rate             float64       // cost of the tickets that may become due per second, in the unit of their costs; zero: not known
}

// Book holds the tickets of refused calls. It is not safe for concurrent use.
type Book struct {
	tickets map[uint64]*list.Element // by the key of the call
	order   *list.List               // of *ticket; the one that was issued or renewed first is in front
	next    time.Time                // earliest time at which another ticket may be due
}

type ticket struct {
	key       uint64
	due       time.Time
	presented bool // a call has it that is not decided yet
}

func (t *ticket) isExpired(now time.Time) bool { return now.Sub(t.due) > grace }

// New returns an empty Book.
func New() *Book { return &Book{tickets: make(map[uint64]*list.Element), order: list.New()} }

// Len returns the number of tickets.
func (b *Book) Len() int { return b.order.Len() }

// Issue issues a ticket to a call that is refused, and returns after how long the call may retry.
// Key identifies the call and its retries; zero: it is not known, and the call gets no ticket. If it
// has one that is not due yet, it keeps it. A call whose ticket would be due after the latest
// time gets none and is told that time.
func (b *Book) Issue(key uint64, cost float64, t Terms, now time.Time) time.Duration {
	b.expire(now)
	if key == 0 || t.Rate <= 0 {
		return t.Earliest
	}
	if held := b.find(key, now); held != nil {
		if now.Before(held.due) {
			return held.due.Sub(now)
		}
		return t.Earliest
	}
	due := now.Add(t.Earliest)
	if b.next.After(due) {
		due = b.next
	}
	if due.Sub(now) > t.Latest {
		return t.Latest
	}
	b.next = due.Add(time.Duration(cost / t.Rate * float64(time.Second)))
	if b.Len() >= MaxTickets {
		b.drop(b.order.Front())
	}
	b.Use(key) // an expired one
	b.tickets[key] = b.order.PushBack(&ticket{key: key, due: due})
	return due.Sub(now)
}

// Present reports whether a call that arrives has a ticket that is due. The call has it until Use or
// Renew is called or the ticket expires: identical calls that arrive meanwhile have none.
func (b *Book) Present(key uint64, now time.Time) bool {
	t := b.find(key, now)
	if t == nil || t.presented || now.Before(t.due) {
		return false
	}
	t.presented = true
	return true
}

// Renew makes the ticket of a call that presented it and is refused again due after another delay,
// whatever other tickets are due then.
func (b *Book) Renew(key uint64, after time.Duration, now time.Time) {
	if e := b.tickets[key]; e != nil {
		t := e.Value.(*ticket)
		t.due, t.presented = now.Add(after), false
		b.order.MoveToBack(e)
	}
}

// Use removes the ticket of a call that is served.
func (b *Book) Use(key uint64) {
	if e := b.tickets[key]; e != nil {
		b.drop(e)
	}
}

// find returns the ticket of a call that has not expired, or nil.
func (b *Book) find(key uint64, now time.Time) *ticket {
	e := b.tickets[key]
	if e == nil || e.Value.(*ticket).isExpired(now) {
		return nil
	}
	return e.Value.(*ticket)
}

// expire removes expired tickets up to the first one that has not expired. The order is nearly that
// in which they expire, and the others are dropped when the Book is full.
func (b *Book) expire(now time.Time) {
	for e := b.order.Front(); e != nil && e.Value.(*ticket).isExpired(now); e = b.order.Front() {
		b.drop(e)
	}
}

func (b *Book) drop(e *list.Element) {
	delete(b.tickets, e.Value.(*ticket).key)
	b.order.Remove(e)
}
