package rates

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxInSecond returns the largest number of times within any second.
func maxInSecond(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestPacer guards against a server that is granted more runs within a second than it
// tolerates: a burst of requests meets one cold engine.
func TestPacer(t *testing.T) {
	for _, limit := range []float64{1, 5, 6.5, 57.5} {
		p, now := NewPacer(), time.Now()
		var granted []time.Time
		for range 10_000 {
			now = now.Add(time.Millisecond)
			if p.Allows("s", GrantLimit(limit), now) {
				p.Record("s", now)
				granted = append(granted, now)
			}
		}
		assert.Assert(t, float64(maxInSecond(granted)) <= limit, "%d within a second, %g are allowed", maxInSecond(granted), limit)
		used := float64(len(granted)) / 10 / limit
		assert.Assert(t, used >= 0.6, "%g of the limit of %g is used", used, limit)
	}
	assert.Equal(t, GrantLimit(0), 0, "no limit")
}

// TestIndependentRate checks that requests of VMs that do not know of one another's rarely
// exceed the limit of a server while it is cold.
func TestIndependentRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 0)) //nolint:gosec // reproducible
	for _, limit := range []float64{5, 6.5, 20, 57.5} {
		const trials, coldTime = 200, 6 * time.Second
		exceeded := 0
		for range trials {
			var times []time.Time
			for at := time.Duration(0); at < coldTime; {
				at += time.Duration(rng.ExpFloat64() / IndependentRate(limit) * float64(time.Second))
				times = append(times, time.Time{}.Add(at))
			}
			if float64(maxInSecond(times)) > limit {
				exceeded++
			}
		}
		assert.Assert(t, exceeded <= trials/20, "the limit of %g was exceeded in %d of %d cold periods", limit, exceeded, trials)
	}
}
