package retry

import "time"

const (
	openThreshold = 3
	baseOpenTime  = 250 * time.Millisecond
	maxOpenTime   = 8 * time.Second
	rampTime      = 4 * time.Second
	minRampWeight = 0.1
)

// Breaker is the circuit breaker of one server. It opens after openThreshold consecutive
// failures: the server gets no calls for a time that doubles with each further failure,
// from baseOpenTime to maxOpenTime. After that time, a load report of the server or a
// successful call may close the breaker, and the server's weight rises from minRampWeight
// to 1 within rampTime. It is not safe for concurrent use.
type Breaker struct {
	failures  int       // consecutive failures
	openCount int       // failures since it opened, including the one that opened it; zero: closed
	openUntil time.Time // open at least until then
	closedAt  time.Time // when it last closed
}

// IsOpen reports whether the breaker is open.
func (b *Breaker) IsOpen() bool { return b.openCount > 0 }

// ProbeAllowed reports whether the minimum open time is over, so that a load report of the
// server or a successful call may close the breaker.
func (b *Breaker) ProbeAllowed(now time.Time) bool { return !now.Before(b.openUntil) }

// Success records a successful call or load report and closes the breaker.
func (b *Breaker) Success(now time.Time) {
	b.failures = 0
	if b.openCount > 0 {
		b.closedAt = now
	}
	b.openCount = 0
}

// Failure records a failed call or a missing load report. The jitter, in [0, 1), spreads the
// times at which different VMs probe the server again.
func (b *Breaker) Failure(now time.Time, jitter float64) {
	b.failures++
	if b.failures < openThreshold {
		return
	}
	d := maxOpenTime
	if b.openCount < 10 && baseOpenTime<<b.openCount < maxOpenTime {
		d = baseOpenTime << b.openCount
	}
	b.openCount++
	b.openUntil = now.Add(time.Duration((0.5 + jitter) * float64(d)))
}

// Weight returns the fraction of its normal load that the server should get. It is less
// than 1 for rampTime after the breaker has closed.
func (b *Breaker) Weight(now time.Time) float64 {
	if b.closedAt.IsZero() {
		return 1
	}
	since := now.Sub(b.closedAt)
	if since >= rampTime {
		return 1
	}
	return max(minRampWeight, float64(since)/float64(rampTime))
}
