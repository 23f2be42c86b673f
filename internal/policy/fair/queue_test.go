package fair

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

var epoch = time.Unix(1000, 0)

type testQueue = Queue[string, int, int]

// grantFirst grants the first entry and returns its value.
func grantFirst(q *testQueue, now time.Time) int {
	e := q.Peek()
	q.Grant(e, now)
	return e.Value
}

// grants keeps n requests of each flow queued, with the given costs, and returns the cost
// granted to each after rounds of grants.
func grants(q *testQueue, weights, costs map[string]float64, rounds int) map[string]float64 {
	names := map[int]string{}
	push := func(name string, value int) { q.Push(name, weights[name], 0, value, costs[name], epoch, epoch) }
	for name := range weights {
		names[len(names)] = name
		push(name, len(names)-1)
	}
	out := map[string]float64{}
	for range rounds {
		v := grantFirst(q, epoch)
		out[names[v]] += costs[names[v]]
		push(names[v], v)
	}
	return out
}

func TestShares(t *testing.T) {
	assertRatio := func(t *testing.T, a, b, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(a/b/want-1) < 0.05, "%.2f, want %.2f", a/b, want)
	}
	t.Run("cost rather than number is shared", func(t *testing.T) {
		out := grants(NewQueue[string, int, int](), map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 1, "b": 10}, 1000)
		assertRatio(t, out["a"], out["b"], 1)
	})
	t.Run("by weight", func(t *testing.T) {
		out := grants(NewQueue[string, int, int](), map[string]float64{"a": 3, "b": 1, "c": 0.5}, map[string]float64{"a": 2, "b": 2, "c": 2}, 1000)
		assertRatio(t, out["a"], out["b"], 3)
		assertRatio(t, out["b"], out["c"], 2)
	})
	t.Run("subflows share what their flow gets", func(t *testing.T) {
		q := NewQueue[string, int, int]()
		got := map[int]int{}
		push := func(v int) {
			flow, sub := "a", v
			if v == 9 {
				flow, sub = "b", 0
			}
			q.Push(flow, 1, sub, v, 1, epoch, epoch)
		}
		for _, v := range []int{1, 2, 3, 9} {
			for range 3 {
				push(v)
			}
		}
		for range 600 {
			v := grantFirst(q, epoch)
			got[v]++
			push(v)
		}
		assert.DeepEqual(t, got, map[int]int{1: 100, 2: 100, 3: 100, 9: 300})
	})
	t.Run("a flow that was idle waits for one request and has no credit", func(t *testing.T) {
		q := NewQueue[string, int, int]()
		for range 200 {
			q.Push("a", 1, 0, 1, 1, epoch, epoch)
		}
		for range 100 {
			grantFirst(q, epoch)
		}
		for range 50 {
			q.Push("b", 1, 0, 2, 1, epoch, epoch)
		}
		sum := 0
		for range 20 {
			sum += grantFirst(q, epoch)
		}
		assert.Assert(t, sum >= 29 && sum <= 31, "%d of 20 grants to b", sum-20)
	})
	t.Run("a flow that sends one request at a time is charged for the previous ones", func(t *testing.T) {
		q := NewQueue[string, int, int]()
		for range 300 {
			q.Push("a", 1, 0, 1, 1, epoch, epoch)
		}
		n := 0
		for i := range 200 {
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			if count, _ := q.Queued("b"); count == 0 {
				q.Push("b", 1, 0, 2, 1, now, now)
			}
			if grantFirst(q, now) == 2 {
				n++
			}
		}
		assert.Assert(t, n >= 99 && n <= 101, "%d", n)
	})
	t.Run("earliest deadline first within a subflow", func(t *testing.T) {
		q := NewQueue[string, int, int]()
		for i, d := range []int{3, 1, 2} {
			q.Push("a", 1, 0, i, 1, epoch.Add(time.Duration(d)*time.Second), epoch)
		}
		assert.DeepEqual(t, []int{grantFirst(q, epoch), grantFirst(q, epoch), grantFirst(q, epoch)}, []int{1, 2, 0})
	})
}

// TestSkip guards against a skipped flow that is lost, that loses its place, or that catches up on
// all that the others got while it could not be served.
func TestSkip(t *testing.T) {
	q := NewQueue[string, int, int]()
	for range 1000 {
		q.Push("a", 1, 0, 1, 1, epoch, epoch)
		q.Push("b", 1, 0, 2, 1, epoch, epoch)
	}
	for range 200 {
		if e := q.Peek(); e.Value == 1 {
			q.Skip(e)
		}
		assert.Equal(t, grantFirst(q, epoch), 2)
		q.Resume(epoch)
	}
	n := 0
	for range 100 {
		if grantFirst(q, epoch) == 1 {
			n++
		}
	}
	assert.Assert(t, n >= 55 && n <= 70, "%d of 100 after the wait", n)
}

// TestQueueInvariants guards against wrong counts and shares, and against entries that are lost:
// it runs random operations, and compares the queue with a reference list.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[string, int, int]()
		now := epoch
		var all []*Entry[string, int, int]
		keys := map[int]string{}
		forget := func(e *Entry[string, int, int]) {
			for i := range all {
				if all[i] == e {
					all = append(all[:i:i], all[i+1:]...)
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "later")) * time.Millisecond)
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				e := q.Push(key, rapid.Float64Range(0.1, 5).Draw(t, "weight"), rapid.IntRange(0, 2).Draw(t, "sub"), len(keys), rapid.Float64Range(1, 9).Draw(t, "cost"), now, now)
				keys[e.Value] = key
				all = append(all, e)
			},
			"grant": func(t *rapid.T) {
				e := q.Peek()
				assert.Equal(t, e == nil, len(all) == 0)
				if e == nil {
					t.Skip()
				}
				q.Grant(e, now)
				assert.Assert(t, !q.Remove(e, now))
				forget(e)
			},
			"grant any": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				e := rapid.SampledFrom(all).Draw(t, "entry")
				q.Grant(e, now)
				forget(e)
			},
			"remove": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				e := rapid.SampledFrom(all).Draw(t, "entry")
				assert.Assert(t, q.Remove(e, now))
				forget(e)
			},
			"skip all": func(*rapid.T) {
				for e := q.Peek(); e != nil; e = q.Peek() {
					q.Skip(e)
				}
				if len(all) > 0 {
					e := all[len(all)-1]
					q.Grant(e, now)
					forget(e)
				}
				q.Resume(now)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(all))
				queued := map[string]int{}
				share, costs := 0.0, map[string]float64{}
				for _, e := range all {
					queued[keys[e.Value]]++
					costs[keys[e.Value]] += e.Cost
				}
				for _, key := range []string{"a", "b", "c"} {
					n, cost := q.Queued(key)
					assert.Equal(t, n, queued[key])
					assert.Assert(t, math.Abs(cost-costs[key]) < 1e-6, "%g, want %g", cost, costs[key])
					if n > 0 {
						share += q.Share(key, 1)
					}
				}
				assert.Assert(t, len(all) == 0 || math.Abs(share-1) < 1e-6, "shares add up to %g", share)
			},
		})
	})
}

// TestBounds guards against state that grows with the number of callers, and against callers that
// get more service by being many or by sharing a flow.
func TestBounds(t *testing.T) {
	t.Run("flows", func(t *testing.T) {
		q := NewQueue[string, int, int]()
		for i := range 3 * maxFlows {
			q.Push(fmt.Sprint(i), 1, i, i, 1, epoch, epoch)
		}
		assert.Equal(t, len(q.flows.flows), maxFlows)
		assert.Equal(t, len(q.flows.active), maxFlows+sharedFlows)
		assert.Assert(t, q.subBudget.used <= maxFlows)
		// A flow of its own gets as much as one that hundreds share.
		n := 0
		for range maxFlows + sharedFlows {
			if grantFirst(q, epoch) >= maxFlows {
				n++
			}
		}
		assert.Equal(t, n, sharedFlows)
		for q.Len() > 0 {
			grantFirst(q, epoch)
		}
		q.Expire(epoch.Add(idleTTL))
		assert.Equal(t, len(q.flows.flows)+q.subBudget.used+q.flows.budget.used, 0)
		assert.Equal(t, q.flows.shared, [sharedFlows]*flow[string, *subflows[string, int, int]]{})
	})
	t.Run("subflows of one flow", func(t *testing.T) {
		q := NewQueue[string, int, int]()
		for i := range 3 * maxFlows {
			q.Push("a", 1, i, i, 1, epoch, epoch)
		}
		assert.Equal(t, q.subBudget.used, maxSubflows)
		q.Push("b", 1, 0, -1, 1, epoch, epoch)
		assert.Assert(t, grantFirst(q, epoch)+grantFirst(q, epoch) < maxFlows, "b waits for one request of a")
		n, _ := q.Queued("b")
		assert.Equal(t, n, 0)
	})
	t.Run("a caller that shares a flow does not get a second one", func(t *testing.T) {
		q := NewQueue[string, int, int]()
		for i := range maxFlows {
			q.Push(fmt.Sprint(i), 1, 0, i, 1, epoch, epoch)
		}
		q.Push("late", 1, 0, -1, 1, epoch, epoch)
		for range maxFlows {
			if e := q.Peek(); e.Value >= 0 {
				q.Grant(e, epoch)
			}
		}
		q.Push("late", 1, 0, -2, 1, epoch, epoch.Add(idleTTL))
		assert.Equal(t, len(q.flows.flows), 0)
		assert.Equal(t, q.Len(), 2)
	})
}

func TestMeter(t *testing.T) {
	m := NewMeter[string]()
	m.Demand("a", 3, epoch)
	assert.Assert(t, !m.IsOver("a", epoch), "alone")
	m.Grant("a", 90, epoch)
	assert.Equal(t, m.Share("a", epoch), 1.0)
	assert.Assert(t, !m.IsOver("a", epoch), "alone")
	m.Demand("b", 1, epoch)
	m.Grant("b", 10, epoch)
	assert.Assert(t, math.Abs(m.Share("a", epoch)-0.9) < 1e-9)
	assert.Equal(t, m.Entitled("a"), 0.75)
	assert.Assert(t, m.IsOver("a", epoch) && !m.IsOver("b", epoch))
	later := epoch.Add(3 * meterTTL)
	m.Demand("c", 1, later)
	assert.Equal(t, len(m.callers), 1)
	assert.Equal(t, m.Entitled("c"), 1.0)
	assert.Equal(t, m.Share("a", later), 0.0)
}

func BenchmarkQueue(b *testing.B) {
	for _, flows := range []int{1, 24, 4000, 40_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			q := NewQueue[string, int, int]()
			names := make([]string, flows)
			now := epoch
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
				q.Push(names[i], 1, i, i, 3000, now, now)
			}
			b.ResetTimer()
			for range b.N {
				v := grantFirst(q, now)
				now = now.Add(100 * time.Microsecond)
				q.Push(names[v], 1, v, v, 3000, now, now)
			}
		})
	}
}

// TestSkipEntry guards against a skipped entry that hides others of its flow, or that is lost or
// granted early when others of its flow are removed meanwhile.
func TestSkipEntry(t *testing.T) {
	q := NewQueue[string, int, int]()
	push := func(flow string, sub, v int) *Entry[string, int, int] {
		return q.Push(flow, 1, sub, v, 1, epoch.Add(time.Duration(v)*time.Second), epoch)
	}
	first := push("a", 0, 1)
	push("a", 0, 2)
	push("a", 1, 3)
	dropped := push("b", 0, 4)
	assert.Equal(t, q.Peek(), first)
	q.SkipEntry(first)
	q.SkipEntry(dropped)
	seen := map[int]bool{}
	for e := q.Peek(); e != nil; e = q.Peek() {
		seen[e.Value] = true
		q.Grant(e, epoch)
	}
	assert.DeepEqual(t, seen, map[int]bool{2: true, 3: true})
	assert.Equal(t, q.Len(), 2)
	assert.Assert(t, q.Remove(dropped, epoch))
	q.Resume(epoch)
	assert.Equal(t, q.Peek(), first)
	q.Grant(first, epoch)
	assert.Assert(t, q.Peek() == nil)
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, q.flows.activeWeight, 0.0)
}

// TestGrantOutOfOrder guards against grants to one flow out of order that make new flows start far
// behind those that wait.
func TestGrantOutOfOrder(t *testing.T) {
	for name, skip := range map[string]bool{"no flow is skipped": false, "while all flows are skipped": true} {
		t.Run(name, func(t *testing.T) {
			q := NewQueue[string, int, int]()
			var ahead []*Entry[string, int, int]
			for range 21 {
				ahead = append(ahead, q.Push("a", 1, 0, 0, 1, epoch, epoch))
				q.Push("b", 1, 0, 1, 1, epoch, epoch)
			}
			for skip && q.Peek() != nil {
				q.Skip(q.Peek())
			}
			for _, e := range ahead[:20] {
				q.Grant(e, epoch)
			}
			q.Resume(epoch)
			for range 20 {
				q.Push("c", 1, 0, 2, 1, epoch, epoch)
			}
			got := [3]int{}
			for range 20 {
				got[grantFirst(q, epoch)]++
			}
			assert.DeepEqual(t, got, [3]int{0, 10, 10})
		})
	}
}
