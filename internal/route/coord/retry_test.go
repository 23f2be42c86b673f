package coord

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/admit"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
)

// Workspaces of a replay, named after when the clients of refused calls retry, which they do once.
const (
	noRetries ident.Workspace = "none"
	asStated  ident.Workspace = "as stated"
	early     ident.Workspace = "early"
	atOnce    ident.Workspace = "at once"
)

// served returns which part of the calls was served, in time or late.
func (o outcome) served() float64 { return float64(o.inTime+o.late) / float64(max(o.calls, 1)) }

// runPeak replays 2.5 times as many calls for a while, and returns what became of the first calls
// and of the retries of each workspace.
func runPeak(t *testing.T, seed uint64, weight int, base float64, length time.Duration, workspaces ...ident.Workspace) (first outcome, retries map[ident.Workspace]outcome) {
	t.Helper()
	r := newReplay(t)
	r.rand = rand.New(rand.NewPCG(seed, 2))
	again, waiting := map[ident.Workspace]*outcome{}, map[time.Time][]*replayCall{}
	r.refused = func(c *replayCall, delay time.Duration) {
		w := c.demand.workspace
		wait, ok := map[ident.Workspace]time.Duration{asStated: delay + step, early: delay / 3, atOnce: step}[w]
		if !ok {
			return // it has retried already, or does not
		}
		d := *c.demand
		d.workspace = "retries: " + w
		if again[w] == nil {
			again[w] = &outcome{bySubject: make(map[uint64][2]int)}
			r.outcomes[d.workspace] = again[w]
		}
		at := r.now.Add(wait.Round(step))
		waiting[at] = append(waiting[at], &replayCall{demand: &d, request: c.request})
	}
	r.eachStep = func() {
		for _, c := range waiting[r.now] {
			c.arrived = r.now
			r.outcomes[c.demand.workspace].calls++
			r.send(c)
		}
	}
	for phase, duration := range []time.Duration{5 * time.Second, length, 20 * time.Second} {
		var list []demand
		for _, w := range workspaces {
			list = append(list, demand{workspace: w, rank: 1, weight: weight, perSecond: base * []float64{1, 2.5, 1}[phase] / float64(len(workspaces))})
		}
		r.run(duration, list...)
	}
	retries = make(map[ident.Workspace]outcome)
	for _, w := range workspaces {
		first = sum(first, *r.outcomes[w])
		if again[w] != nil {
			retries[w] = *again[w]
		}
	}
	return first, retries
}

func sum(a, b outcome) outcome {
	return outcome{calls: a.calls + b.calls, inTime: a.inTime + b.inTime, late: a.late + b.late, refused: a.refused + b.refused}
}

// TestRetries guards against refused calls that are refused again when they return after the stated delay although
// capacity is free soon, against a better place for those that return early, and against calls
// that start late or are refused because others retry. Engines have capacity for 107 calls per second.
func TestRetries(t *testing.T) {
	for name, tc := range map[string]struct {
		weight int
		base   float64 // calls per second
		length time.Duration
		served float64 // least part of the calls that return after the stated delay
	}{
		"70%, 2 s":                {pick.WeightUnit, 75, 2 * time.Second, 0.95},
		"70%, 2 s, no workspaces": {0, 75, 2 * time.Second, 0.95},
		"90%, 2 s":                {pick.WeightUnit, 96, 2 * time.Second, 0.15},
		"90%, 10 s":               {pick.WeightUnit, 96, 10 * time.Second, 0.03},
	} {
		t.Run(name, func(t *testing.T) {
			var without outcome
			for _, workspaces := range [][]ident.Workspace{{noRetries}, {asStated}, {asStated, early, atOnce}} {
				var first outcome
				retries := map[ident.Workspace]outcome{}
				for seed := range uint64(3) {
					f, again := runPeak(t, seed, tc.weight, tc.base, tc.length, workspaces...)
					first = sum(first, f)
					for w, o := range again {
						retries[w] = sum(retries[w], o)
					}
				}
				t.Logf("%.4f of %d first calls in time", first.fraction(), first.calls)
				if without.calls == 0 {
					without = first
				}
				assert.Assert(t, first.fraction() >= without.fraction()-0.01)
				for _, w := range workspaces {
					t.Logf("%s: %.3f of %d retries served", w, retries[w].served(), retries[w].calls)
					assert.Assert(t, w != asStated || retries[w].served() >= tc.served)
					assert.Assert(t, len(workspaces) == 1 || retries[w].served() <= retries[asStated].served(), "early retries get a better place")
				}
			}
		})
	}
}

// TestDueCalls guards against calls that return after the stated delay and find their places taken by other calls
// that cannot start in time, that lose their tickets if they are refused again, and against tickets
// that are valid early, for ever or for several calls.
func TestDueCalls(t *testing.T) {
	for name, tc := range map[string]struct {
		delay    time.Duration // relative to the stated delay
		again    bool          // it is refused again at first, when it returns after the stated delay
		replaced bool          // the coordinator
		want     State
	}{
		"as stated":                         {0, false, false, Waiting},
		"as stated, twice":                  {0, true, false, Waiting},
		"early":                             {-time.Second, false, false, NoCapacity},
		"early the second time":             {-time.Second, true, false, NoCapacity},
		"much later":                        {10 * time.Second, false, false, NoCapacity},
		"as stated, to another coordinator": {0, false, true, NoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			r, seen := newReplay(t), &limits{}
			r.coordinator.WithObserver(seen)
			r.run(2*time.Second, demand{workspace: "w", perSecond: 300, rank: 1})
			last := map[uint64]Response{}
			submit := func(key uint64) {
				r.nextID++
				run := pick.Request{Service: "s", Rank: 1, Need: callTokens, EngineMemory: replaySlots * callTokens, From: "a", RetryKey: key, MaxWait: time.Second}
				r.coordinator.Submit(Request{VM: "vm", ID: r.nextID, Run: run}, func(resp Response) { last[key] = resp }, r.now)
			}
			submit(1)
			assert.Equal(t, last[1].State, NoCapacity)
			if tc.replaced {
				r.replaceCoordinator()
			}
			for i := range replayEngines {
				r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots - 1})
			}
			var one *alloc.Reservation
			for i := range replayEngines {
				one = r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: 1})
			}
			if tc.again {
				r.now = r.now.Add(last[1].RetryAfter)
				submit(1)
				assert.Equal(t, last[1].State, Waiting)
				for range time.Second/renewInterval + 1 {
					r.now = r.now.Add(renewInterval)
					r.nextID-- // a repetition of the request
					submit(1)
					r.coordinator.serve(r.now)
				}
				assert.Equal(t, last[1].State, NoCapacity)
				assert.Assert(t, last[1].RetryAfter >= MinRetryAfter)
				assert.DeepEqual(t, seen.retries, [2]int{1, 0})
			}
			r.now = r.now.Add(last[1].RetryAfter + tc.delay)
			r.release()
			r.coordinator.serve(r.now)
			for key := range uint64(maxLate) {
				submit(100 + key)
				assert.Equal(t, last[100+key].State, Waiting)
			}
			submit(1)
			assert.Equal(t, last[1].State, tc.want)
			submit(1) // an identical call, which has no ticket
			assert.Equal(t, last[1].State, NoCapacity)
			one.Release()
			r.coordinator.serve(r.now)
			assert.Equal(t, last[1].State == Granted, tc.want == Waiting)
			assert.Equal(t, last[100].State == Granted, tc.want != Waiting)
			assert.Equal(t, seen.retries[1] == 1, tc.want == Waiting)
		})
	}
}

// TestRetryWithinTimeout guards against a ticket that is due later than any delay that is stated to a
// client with little time left, whose call then always returns early.
func TestRetryWithinTimeout(t *testing.T) {
	r := newReplay(t)
	r.run(2*time.Second, demand{workspace: "w", perSecond: 300, rank: 1})
	var last Response
	submit := func(remaining time.Duration) {
		r.nextID++
		run := pick.Request{Service: "s", Rank: 1, Need: callTokens, EngineMemory: replaySlots * callTokens, From: "a", RetryKey: 1, Remaining: remaining, MaxWait: remaining / 8}
		r.coordinator.Submit(Request{VM: "vm", ID: r.nextID, Run: run}, func(resp Response) { last = resp }, r.now)
	}
	remaining := 6 * time.Second
	submit(remaining)
	assert.Equal(t, last.State, NoCapacity)
	assert.Assert(t, last.RetryAfter > 0 && last.RetryAfter <= admit.RetryAfter(maxRetryAfter, remaining))
	r.now = r.now.Add(last.RetryAfter)
	r.release()
	submit(remaining - last.RetryAfter)
	assert.Equal(t, last.State, Waiting)
	assert.Equal(t, r.coordinator.queues["s"].levels[dueLevel].len(), 1)
}

// TestDuePlaces guards against a due call that is refused for another one although there are places
// for late calls, and against due calls that precede others that wait.
func TestDuePlaces(t *testing.T) {
	c := newReplay(t).coordinator
	sq, refused := c.queueFor("s"), 0
	enqueue := func(w ident.Workspace) {
		r := queuedRun(w, 1, callTokens)
		r.due, r.deadline, r.respond = true, epoch.Add(time.Second), func(Response) { refused++ }
		assert.Equal(t, sq.mustQueue(r, epoch), sq.levels[dueLevel].len() > 0)
		assert.Assert(t, c.enqueue(sq, r, epoch))
	}
	for range maxLate {
		enqueue("a")
	}
	enqueue("b")
	assert.Equal(t, sq.levels[dueLevel].len(), maxLate)
	assert.Equal(t, sq.levels[lateLevel].len(), 1)
	assert.Equal(t, refused, 0)
	for range maxLate - 1 {
		enqueue("a")
	}
	enqueue("b")
	assert.Equal(t, refused, 1)
}
