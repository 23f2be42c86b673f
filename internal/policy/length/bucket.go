package length

import "math"

const (
	// Buckets is the number of length buckets.
	Buckets   = 72
	perOctave = 4
)

// bounds[k] is the first length, in tokens, of bucket k.
var bounds = makeBounds()

func makeBounds() [Buckets + 1]int {
	var b [Buckets + 1]int
	for k := range b {
		b[k] = int(math.Ceil(math.Exp2(float64(k) / perOctave)))
		if k > 0 && b[k] <= b[k-1] {
			b[k] = b[k-1] + 1
		}
	}
	return b
}

// Bucket returns the bucket of a length of n tokens.
func Bucket(n int) int {
	if n < 1 {
		return 0
	}
	lo, hi := 0, Buckets-1
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if bounds[mid] <= n {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return lo
}

// Bound returns the first length of bucket k.
func Bound(k int) int { return bounds[k] }
