package length

import "math"

const (
	// Buckets is the number of length buckets.
	Buckets          = 72
	bucketsPerOctave = 4
)

// bucketStarts[k] is the smallest length, in tokens, in bucket k.
var bucketStarts = makeBucketStarts()

func makeBucketStarts() [Buckets + 1]int {
	var b [Buckets + 1]int
	for k := range b {
		b[k] = int(math.Ceil(math.Exp2(float64(k) / bucketsPerOctave)))
		if k > 0 && b[k] <= b[k-1] {
			b[k] = b[k-1] + 1
		}
	}
	return b
}

// Bucket returns the bucket that contains a length of n tokens.
func Bucket(n int) int {
	if n < 1 {
		return 0
	}
	lo, hi := 0, Buckets-1
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if bucketStarts[mid] <= n {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return lo
}

// BucketStart returns the smallest length, in tokens, in bucket k.
func BucketStart(k int) int { return bucketStarts[k] }
