package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBudget(t *testing.T) {
	b := NewBudget()
	spent := 0
	for range 1000 {
		b.RecordFirstAttempt()
		for b.AllowRetry() {
			spent++
		}
	}
	// A tenth of 1,000 first attempts and the initial balance of 10.
	assert.Assert(t, spent >= 105 && spent <= 110, "%d retries", spent)
}

func TestBackoff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 70 {
		d := Backoff(rng, n, 100*time.Millisecond, 2*time.Second)
		assert.Assert(t, d >= 50*time.Millisecond && d <= 2*time.Second, "attempt %d: %s", n, d)
	}
}

func TestBreaker(t *testing.T) {
	now := time.Unix(0, 0)
	b := &Breaker{}
	fail := func(n int) {
		for range n {
			b.Failure(now, 0.5)
		}
	}
	fail(openThreshold - 1)
	assert.Assert(t, !b.IsOpen())
	b.Success(now)
	fail(openThreshold - 1)
	assert.Assert(t, !b.IsOpen(), "a success resets the failure count")
	fail(1)
	assert.Assert(t, b.IsOpen() && !b.ProbeAllowed(now))
	now = now.Add(baseOpenTime)
	assert.Assert(t, b.ProbeAllowed(now))
	b.Success(now)
	assert.Assert(t, !b.IsOpen())
	assert.Equal(t, b.Weight(now), minRampWeight)
	assert.Equal(t, b.Weight(now.Add(rampTime/2)), 0.5)
	assert.Equal(t, b.Weight(now.Add(rampTime)), 1.0)
}

func TestOpenTimeIsBounded(t *testing.T) {
	now := time.Unix(0, 0)
	b := &Breaker{}
	for range 60 {
		b.Failure(now, 0.999)
		assert.Assert(t, b.openUntil.Sub(now) <= 2*maxOpenTime)
	}
	assert.Assert(t, b.openUntil.Sub(now) > maxOpenTime)
}
