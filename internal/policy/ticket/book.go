package ticket

import (
	"container/list"
	"time"
)

const (
	// MaxTickets is the maximum number of tickets of a Book. If there are as many, further calls
	// get none: to drop the oldest would be to drop those that are due next.
	MaxTickets = 1024
	// grace is how long a ticket is valid once it is due. A delay in the Retry-After header is
	// rounded up to whole seconds, and clients may add jitter.
	grace = 5 * time.Second
	// slotTime is the unit of time in which capacity is booked.
	slotTime = 250 * time.Millisecond
	// maxSlots bounds the slots that one ticket books.
	maxSlots = 64
	// servedGrace is how long the ticket of a call that was granted capacity is still valid: the
	// call's VM may be unable to use what was granted, and ask again.
	servedGrace = time.Second
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
	booked  map[int64]float64        // cost of the tickets by the slot of time since the Unix epoch
}

type ticket struct {
	key       uint64
	due       time.Time
	presented bool // a call has it that is not decided yet
}

func (t *ticket) isExpired(now time.Time) bool { return now.Sub(t.due) > grace }

// New returns an empty Book.
func New() *Book {
	return &Book{tickets: make(map[uint64]*list.Element), order: list.New(), booked: make(map[int64]float64)}
}

// Len returns the number of tickets.
func (b *Book) Len() int { return b.order.Len() }

// Issue issues a ticket to a call that is refused, and returns after how long the call may retry.
// Key identifies the call and its retries; zero: it is not known, and the call gets no ticket. If it
// has one that is not due yet, it keeps it. A call whose ticket would be due after the latest
// time gets none, and that time is returned.
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
	if b.Len() >= MaxTickets {
		return t.Latest
	}
	due, ok := b.book(cost, t, now)
	if !ok {
		return t.Latest
	}
	if e := b.tickets[key]; e != nil { // it has expired
		b.drop(e)
	}
	b.tickets[key] = b.order.PushBack(&ticket{key: key, due: due})
	return due.Sub(now)
}

// book books capacity from the first slot within the terms that is not fully booked, and returns the
// time at which the ticket is due. Calls that may wait for long leave earlier slots to others.
func (b *Book) book(cost float64, t Terms, now time.Time) (due time.Time, ok bool) {
	first, last := slotOf(now.Add(t.Earliest)), slotOf(now.Add(t.Latest))
	available := t.Rate * slotTime.Seconds()
	// The rate changes with each call, so full slots may have a small remainder.
	wanted := min(cost, available) / 2
	for first <= last && available-b.booked[first] < wanted {
		first++
	}
	if first > last {
		return time.Time{}, false
	}
	for slot := first; slot < first+maxSlots && cost > 0; slot++ {
		part := min(cost, max(available-b.booked[slot], 0))
		b.booked[slot] += part
		cost -= part
	}
	due = time.Unix(0, first*int64(slotTime))
	if earliest := now.Add(t.Earliest); due.Before(earliest) {
		due = earliest
	}
	return due, true
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotTime) }

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

// Return makes the ticket valid again that a call has presented, if nothing was decided about it.
func (b *Book) Return(key uint64) {
	if e := b.tickets[key]; e != nil {
		e.Value.(*ticket).presented = false
	}
}

// Use marks the ticket of a call that is granted capacity as used. It is valid for servedGrace.
func (b *Book) Use(key uint64, now time.Time) {
	if e := b.tickets[key]; e != nil {
		t := e.Value.(*ticket)
		t.due, t.presented = now.Add(servedGrace-grace), false
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

// expire removes expired tickets up to the first one that has not expired, and all if the Book is
// full: calls that must return soon have tickets that expire before older ones.
func (b *Book) expire(now time.Time) {
	full := b.Len() >= MaxTickets
	for e := b.order.Front(); e != nil; {
		next, expired := e.Next(), e.Value.(*ticket).isExpired(now)
		if !expired && !full {
			break
		}
		if expired {
			b.drop(e)
		}
		e = next
	}
	for slot := range b.booked {
		if slot < slotOf(now) {
			delete(b.booked, slot)
		}
	}
}

func (b *Book) drop(e *list.Element) {
	delete(b.tickets, e.Value.(*ticket).key)
	b.order.Remove(e)
}
