package retry

import "time"

const (
	failuresToOpen = 3
	openBase       = 250 * time.Millisecond
	openLimit      = 8 * time.Second
	rampTime       = 4 * time.Second
	rampFloor      = 0.1
)

// Breaker follows one server. After several failures in a row it opens: the
// server gets no work for a time that doubles while failures go on. Then an
// answer to a load report may close it, and the server's weight rises slowly
// to one. It is not safe for use by several goroutines.
type Breaker struct {
	failures int
	opens    int
	until    time.Time // open at least until then
	healed   time.Time // when it last closed
}

// Open reports whether the server gets no work.
func (b *Breaker) Open() bool { return b.opens > 0 }

// Trial reports whether an answer of the server may close the breaker now.
func (b *Breaker) Trial(now time.Time) bool { return !now.Before(b.until) }

// Success notes a call that the server answered, and closes the breaker.
func (b *Breaker) Success(now time.Time) {
	b.failures = 0
	if b.opens > 0 {
		b.healed = now
	}
	b.opens = 0
}

// Failure notes a call that failed. The jitter, in [0, 1), spreads the times
// at which several VMs come back.
func (b *Breaker) Failure(now time.Time, jitter float64) {
	b.failures++
	if b.failures < failuresToOpen {
		return
	}
	d := openLimit
	if b.opens < 10 && openBase<<b.opens < openLimit {
		d = openBase << b.opens
	}
	b.opens++
	b.until = now.Add(time.Duration((0.5 + jitter) * float64(d)))
}

// Weight returns the share of its usual work that the server should get: less
// than one for a time after it came back.
func (b *Breaker) Weight(now time.Time) float64 {
	if b.healed.IsZero() {
		return 1
	}
	since := now.Sub(b.healed)
	if since >= rampTime {
		return 1
	}
	return max(rampFloor, float64(since)/float64(rampTime))
}
