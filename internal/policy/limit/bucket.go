package limit

import "time"

// Bucket holds tokens that refill at a rate. Use is known only after the
// fact, so a bucket may go below zero: the debt is paid before new work is
// let in. It is not safe for use by several goroutines.
type Bucket struct {
	rate  float64 // tokens a second; zero: no limit
	level float64
	at    time.Time
}

// NewBucket returns a bucket that holds one second's tokens.
func NewBucket(rate float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, level: rate, at: now}
}

// SetRate changes the rate from now on.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, rate)
	if rate <= 0 {
		b.level = 0
	}
}

// Take uses n tokens, which may leave a debt. Without a limit there is none, so
// that a limit set later holds from then on.
func (b *Bucket) Take(n int, now time.Time) {
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.level -= float64(n)
}

// Wait returns how long it takes until the debt is paid; zero if there is
// none.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.rate <= 0 || b.level >= 0 {
		return 0
	}
	return time.Duration(-b.level / b.rate * float64(time.Second))
}

// Level returns the tokens held, below zero for a debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

func (b *Bucket) refill(now time.Time) {
	if now.After(b.at) {
		b.level = min(b.level+now.Sub(b.at).Seconds()*b.rate, b.rate)
		b.at = now
	}
}
