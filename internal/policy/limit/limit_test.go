package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 10000).Draw(t, "limit")
		n := rapid.IntRange(1, 400).Draw(t, "vms")
		sum := 0
		for i := range n {
			sum += Share(limit, i, n)
		}
		assert.Equal(t, sum, limit)
	})
}

// TestBucketNeverExceedsRate takes tokens at random times. The tokens taken in a period may not
// exceed the rate times the period, the initial second's tokens and one last Take.
func TestBucketNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		now := time.Unix(0, 0)
		b := NewBucket(rate, now)
		taken, last := 0, 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if b.Wait(now) > 0 {
				continue
			}
			last = rapid.IntRange(0, 500).Draw(t, "tokens")
			b.Take(last, now)
			taken += last
		}
		allowed := rate*(1+now.Sub(time.Unix(0, 0)).Seconds()) + float64(last)
		assert.Assert(t, float64(taken) <= allowed+1e-6, "%d taken, %g allowed", taken, allowed)
	})
}

func TestWaitUntilDebtIsPaid(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBucket(100, now)
	b.Take(350, now)
	wait := b.Wait(now)
	assert.Equal(t, wait, 2500*time.Millisecond)
	assert.Equal(t, b.Wait(now.Add(wait)), time.Duration(0))
}

func TestNoDebtWithoutALimit(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBucket(0, now)
	b.Take(1_000_000, now)
	assert.Equal(t, b.Level(now), 0.0)
	b.SetRate(100, now)
	assert.Equal(t, b.Wait(now), time.Duration(0), "a limit applies only to later usage")
	b.Take(300, now)
	assert.Equal(t, b.Wait(now), 3*time.Second)
	b.SetRate(0, now)
	b.SetRate(100, now)
	assert.Equal(t, b.Wait(now), time.Duration(0), "removing the limit clears the debt")
}
