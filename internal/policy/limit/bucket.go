package limit

import "time"

// Bucket is a token bucket. Usage is known only after a request has run, so the
// level may become negative; this debt must be refilled before new requests are
// admitted. It is not safe for concurrent use.
type Bucket struct {
	rate      float64 // tokens per second; zero: no limit
	level     float64
	updatedAt time.Time
}

// NewBucket returns a bucket filled with one second's tokens, its capacity.
func NewBucket(rate float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, level: rate, updatedAt: now}
}

// SetRate changes the rate.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, rate)
	if rate <= 0 {
		b.level = 0
	}
}

// Take removes n tokens and may leave a debt. Without a limit it does nothing, so
// that a limit that is set later applies only to later usage.
func (b *Bucket) Take(n int, now time.Time) {
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.level -= float64(n)
}

// Wait returns how long the debt takes to refill, or zero if there is none.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.rate <= 0 || b.level >= 0 {
		return 0
	}
	return time.Duration(-b.level / b.rate * float64(time.Second))
}

// Level returns the number of tokens in the bucket, which is negative for a debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

func (b *Bucket) refill(now time.Time) {
	if now.After(b.updatedAt) {
		b.level = min(b.level+now.Sub(b.updatedAt).Seconds()*b.rate, b.rate)
		b.updatedAt = now
	}
}
