package retry

import (
	"math/rand/v2"
	"time"
)

// Delay returns the wait before attempt n (from 1 on): exponential from base
// up to limit, drawn evenly from the upper half, so that callers who failed
// together do not come back together.
func Delay(rng *rand.Rand, n int, base, limit time.Duration) time.Duration {
	d := limit
	if n < 1 {
		n = 1
	}
	if shift := n - 1; shift < 30 && base<<shift < limit {
		d = base << shift
	}
	return d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
}
