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
		b.Earn()
		for b.Spend() {
			spent++
		}
	}
	// A tenth of 1,000 first attempts and the 10 it starts with.
	assert.Assert(t, spent >= 105 && spent <= 110, "%d retries", spent)
}

func TestDelay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 70 {
		d := Delay(rng, n, 100*time.Millisecond, 2*time.Second)
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
	fail(failuresToOpen - 1)
	assert.Assert(t, !b.Open())
	b.Success(now)
	fail(failuresToOpen - 1)
	assert.Assert(t, !b.Open(), "a success starts the count anew")
	fail(1)
	assert.Assert(t, b.Open() && !b.Trial(now))
	now = now.Add(openBase)
	assert.Assert(t, b.Trial(now))
	b.Success(now)
	assert.Assert(t, !b.Open())
	assert.Equal(t, b.Weight(now), rampFloor)
	assert.Equal(t, b.Weight(now.Add(rampTime/2)), 0.5)
	assert.Equal(t, b.Weight(now.Add(rampTime)), 1.0)
}

func TestBreakerBacksOff(t *testing.T) {
	now := time.Unix(0, 0)
	b := &Breaker{}
	for range 60 {
		b.Failure(now, 0.999)
		assert.Assert(t, b.until.Sub(now) <= 2*openLimit)
	}
	assert.Assert(t, b.until.Sub(now) > openLimit)
}
