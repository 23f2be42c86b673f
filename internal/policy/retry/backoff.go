package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff returns the delay before attempt n, counted from 1. The delay doubles with each
// attempt from base up to limit, and is drawn uniformly from its upper half, so that
// operations that failed at the same time are not retried at the same time.
func Backoff(rng *rand.Rand, n int, base, limit time.Duration) time.Duration {
	d := limit
	if n < 1 {
		n = 1
	}
	if shift := n - 1; shift < 30 && base<<shift < limit {
		d = base << shift
	}
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}
