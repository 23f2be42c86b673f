package coord

import (
	"math"
	"time"

	"umberladder/internal/policy/admit"
	"umberladder/internal/policy/ticket"
)

// retryShare is the part of the capacity that is booked for refused calls that return. With less,
// calls return later than they could be served; with more, they return before there is room.
const retryShare = 0.15

// isDue reports whether a new request is a call that was refused, and that returns when its
// ticket is due.
func (sq *serviceQueue) isDue(r *request, now time.Time) bool {
	return !r.Run.Continues() && sq.tickets.Present(r.Run.RetryKey, now)
}

// retryAfter returns after how long a request that is refused should return. Calls that were
// refused before precede it, and it precedes those that are refused later. A request that was due
// returns as soon as capacity may have changed.
func (sq *serviceQueue) retryAfter(r *request, now time.Time) time.Duration {
	latest := maxRetryAfter
	if !r.leaves.IsZero() { // the Retry-After of its VM is bounded by this
		latest = admit.RetryAfter(latest, r.leaves.Sub(now))
	}
	wait := min(max(sq.estimateWait(r, onTimeLevel), MinRetryAfter), latest)
	if latest < MinRetryAfter {
		wait = latest / 2
	}
	switch {
	case r.Run.Continues():
		return wait
	case r.due:
		sq.tickets.Renew(r.Run.RetryKey, wait, now)
		return wait
	default:
		terms := ticket.Terms{Earliest: wait, Latest: latest, Rate: retryShare * sq.capacityRate()}
		return sq.tickets.Issue(r.Run.RetryKey, r.cost(), terms, now)
	}
}

// capacityRate returns the tokens that have recently been granted per second while the queues were
// non-empty, or zero if that is not known.
func (sq *serviceQueue) capacityRate() float64 {
	busy := sq.updatedAt.Sub(sq.busySince)
	if busy < minBusyTime {
		return 0
	}
	rate := 0.0
	for _, tokens := range sq.grantRate {
		rate += tokens
	}
	return rate / warmup(busy)
}

// warmup returns the factor by which the grant rates are too low after the queues have been
// non-empty for a time: they are moving averages that start at zero.
func warmup(busy time.Duration) float64 { return 1 - math.Exp(-busy.Seconds()/rateWindow.Seconds()) }

// returnTicket makes the ticket of a request valid again that ended without a decision on capacity.
func (c *Coordinator) returnTicket(r *request) {
	if sq := c.queues[r.Run.Service]; r.due && sq != nil {
		sq.tickets.Return(r.Run.RetryKey)
	}
}

// useTicket records that a request is granted.
func (c *Coordinator) useTicket(sq *serviceQueue, r *request, now time.Time) {
	sq.tickets.Use(r.Run.RetryKey, now)
	if r.due {
		c.observer.RecordRetry(true)
	}
}
