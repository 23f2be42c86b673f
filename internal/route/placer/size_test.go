package placer

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/policy/admit"
	"umberladder/internal/route/pick"
)

// placementCounts counts placement requests and those that succeeded.
type placementCounts struct {
	mu                sync.Mutex
	requested, served float64
}

func (c *placementCounts) record(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested++
	if served {
		c.served++
	}
}

func (c *placementCounts) servedShare() float64 { return c.served / c.requested }

// TestLargestPrompts guards against refusing calls mainly because their prompts are large.
// Long runs keep the engines full while short calls request capacity; a tenth of the short calls
// have prompts of 5,600 tokens, the others of 2,200. The served share of the largest tenth
// must be at least half of that of all short calls.
func TestLargestPrompts(t *testing.T) {
	const (
		target        = 1500 * time.Millisecond
		clientTimeout = 6 * time.Second
		engines       = 8
	)
	testFleet(t, 4, engines, func(t *testing.T, f *fleet) {
		rng := rand.New(rand.NewPCG(1, 2))
		var short, largest, long placementCounts
		var calls errgroup.Group
		for n := range 2500 {
			v := f.vms[n%len(f.vms)]
			if n%2 == 0 {
				calls.Go(func() error {
					r := newCall()
					r.TargetWait = admit.OnTimeWait(1800*time.Millisecond, 0, r.Prefill)
					r.MaxWait = admit.MaxWait(r.TargetWait, 39*time.Second, 0)
					_, err := f.placeAndHold(v, r, 1200*time.Millisecond)
					long.record(err == nil)
					return nil
				})
			} else {
				large := n%20 == 1
				calls.Go(func() error {
					r := pick.Request{Service: service, Need: 2300, Prefill: 2200, EngineMemory: memory, From: "a"}
					if large {
						r.Need, r.Prefill = 5700, 5600
					}
					r.TargetWait = admit.OnTimeWait(target, 0, r.Prefill)
					r.MaxWait = admit.MaxWait(r.TargetWait, clientTimeout, 0)
					_, err := f.placeAndHold(v, r, time.Duration(r.Prefill)*time.Second/14_000)
					short.record(err == nil)
					if large {
						largest.record(err == nil)
					}
					return nil
				})
			}
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		}
		assert.NilError(t, calls.Wait())
		t.Logf("served share: long %.2f, short %.2f, largest tenth of short %.2f", long.servedShare(), short.servedShare(), largest.servedShare())
		assert.Assert(t, largest.servedShare() >= short.servedShare()/2)
	})
}
