package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/place"
	"umberladder/internal/state/config"
	"umberladder/internal/test/check"
)

func newPool(engines int) (*Pool, *invar.Checker) {
	invariants := &invar.Checker{}
	p := New("m", place.PredictedLoad{}, func() int { return 1 }, invariants, rand.New(rand.NewPCG(1, 1)))
	var servers []config.Server
	for i := range engines {
		servers = append(servers, config.Server{Name: engineName(i)})
	}
	p.Update(servers)
	return p, invariants
}

func engineName(i int) ident.Server { return ident.Server(fmt.Sprintf("e%d", i)) }

func newRequest(class string, rank int, wait time.Duration) *Request {
	return &Request{
		Service: &config.Service{Name: "s", OverflowChance: 0.3},
		Class:   &config.Class{Name: ident.Class(class), Rank: rank, MaxWait: wait},
		Prompt:  10,
	}
}

// TestDrainingEngines starts and drains engines at random while load reports are delayed
// or missing. Three seconds after an engine began to drain, nothing new may be
// placed on it, whether or not this VM received a report that says so.
func TestDrainingEngines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			const engines = 3
			p, invariants := newPool(engines)
			var drainingSince [engines]time.Time // when each engine began to drain
			for range 40 {
				time.Sleep(time.Duration(rapid.IntRange(10, 900).Draw(rt, "ms")) * time.Millisecond)
				i := rapid.IntRange(0, engines-1).Draw(rt, "engine")
				switch rapid.IntRange(0, 4).Draw(rt, "what") {
				case 0:
					if drainingSince[i].IsZero() {
						drainingSince[i] = time.Now()
					}
				case 1, 2:
					lag := time.Duration(rapid.IntRange(0, 300).Draw(rt, "lag")) * time.Millisecond
					reportedAt := time.Now().Add(-lag)
					draining := !drainingSince[i].IsZero() && !reportedAt.Before(drainingSince[i])
					p.HandleReport(engineName(i), engine.Load{MemorySize: 1 << 20, Draining: draining, AsOf: reportedAt}, time.Now())
				default:
					res, refusal := p.Acquire(context.Background(), newRequest("standard", 1, 100*time.Millisecond))
					if refusal != nil {
						continue
					}
					for j := range engines {
						if res.Engine().Name == engineName(j) && !drainingSince[j].IsZero() {
							assert.Assert(t, time.Since(drainingSince[j]) <= DrainGrace, "%s began to drain %s ago", engineName(j), time.Since(drainingSince[j]))
						}
					}
				}
			}
			check.Invariants(t, invariants)
		})
	})
}

// TestUrgentIsNotStarved fills the engine with long generations, queues many
// more, and then queues an urgent one, which must be placed next.
func TestUrgentIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPool(1)
		p.HandleReport(engineName(0), engine.Load{MemorySize: 2000, AsOf: time.Now().Add(time.Hour)}, time.Now())
		var reservations []*Reservation
		for {
			res, refusal := p.Acquire(context.Background(), newRequest("batch", 2, time.Millisecond))
			if refusal != nil {
				check.Refusal(t, refusal, refuse.WaitExceeded, refuse.RanNo)
				break
			}
			reservations = append(reservations, res)
		}
		defer time.Sleep(5 * time.Minute) // until every waiter has ended
		placed := make(chan string, 40)
		enqueue := func(class string, rank int, bound time.Duration) {
			time.AfterFunc(0, func() {
				if _, refusal := p.Acquire(context.Background(), newRequest(class, rank, bound)); refusal == nil {
					placed <- class
				}
			})
			time.Sleep(time.Second)
		}
		for range 20 {
			enqueue("batch", 2, time.Minute)
		}
		enqueue("urgent", 0, 2*time.Minute) // its deadline is after those of all others
		for len(placed) == 0 {
			reservations[0].Release(Completed, time.Now())
			reservations = reservations[1:]
			synctest.Wait()
		}
		var got []string
		for len(placed) > 0 {
			got = append(got, <-placed)
		}
		assert.Assert(t, slices.Contains(got, "urgent"), "placed: %v", got)
	})
}

// TestRefusedAtOnce checks that a generation is refused at once if its predicted
// wait exceeds the class's limit.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newPool(1)
		p.HandleReport(engineName(0), engine.Load{MemorySize: 1, AsOf: time.Now().Add(time.Hour)}, time.Now())
		for range 30 {
			time.AfterFunc(0, func() { _, _ = p.Acquire(context.Background(), newRequest("batch", 2, 20*time.Second)) })
		}
		time.Sleep(minMeasureTime + time.Second)
		start := time.Now()
		_, refusal := p.Acquire(context.Background(), newRequest("batch", 2, 20*time.Second))
		check.Refusal(t, refusal, refuse.PredictedWait, refuse.RanNo)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, refusal.RetryAfter > 0 && refusal.Rule.Observed > 20)
		_, next := p.Acquire(context.Background(), newRequest("batch", 2, 20*time.Second))
		perWaiter, _ := p.throughput.predictWait(0, time.Now())
		assert.Equal(t, next.RetryAfter, refusal.RetryAfter+perWaiter, "clients refused together must get different retry times")
		time.Sleep(time.Minute)
	})
}
