package timing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
)

var servers = []ident.Server{"a", "b", "c"}

const ms = time.Millisecond

// TestWeights checks the weights of three servers by their calls in the window.
func TestWeights(t *testing.T) {
	calls := func(responses int, mean time.Duration, rejections int) Stats {
		return Stats{Responses: responses, Time: time.Duration(responses) * mean, Rejections: rejections}
	}
	usual := calls(40, 30*ms, 0)
	for name, tc := range map[string]struct {
		of   Stats // of the first server; the others have usual ones
		want float64
		slow bool
	}{
		"alike":                          {of: usual, want: 1},
		"4 times slower":                 {of: calls(40, 120*ms, 0), want: 0.25, slow: true},
		"4 times slower, few calls":      {of: calls(5, 120*ms, 0), want: 0.25, slow: true},
		"too few calls":                  {of: calls(4, 120*ms, 0), want: 1},
		"no calls":                       {want: 1},
		"a difference within the noise":  {of: calls(40, 40*ms, 0), want: 1},
		"the difference of a few calls":  {of: calls(5, 50*ms, 0), want: 1},
		"many calls, a small difference": {of: calls(80, 36*ms, 0), want: 1},
		"100 times slower":               {of: calls(40, 3000*ms, 0), want: minWeight, slow: true},
		"100 times faster":               {of: calls(40, ms/3, 0), want: maxWeight},
		"rejects half of its calls":      {of: calls(20, 30*ms, 20), want: minWeight},
		"rejects all calls":              {of: calls(0, 0, 40), want: minWeight},
		"rejects a tenth of its calls":   {of: calls(36, 30*ms, 4), want: 0.656},
		"rejects one call":               {of: calls(39, 30*ms, 1), want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tracker.HandleResponse("hub", 60, map[ident.Server]Stats{"a": tc.of, "b": usual, "c": usual}, start)
			got := tracker.Assess("s", servers, nil, start)
			assert.Assert(t, got[0].Weight > tc.want-0.01 && got[0].Weight < tc.want+0.01, "%+v", got[0])
			assert.Equal(t, got[0].Slow, tc.slow)
			assert.Equal(t, got[0].Probe > 0, tc.want < 1, "probes")
			assert.Equal(t, got[1].Weight, 1.0)
		})
	}
}

// TestWeightBounds guards against weights, probabilities and state outside of their bounds,
// with random figures of VMs.
func TestWeightBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := newTracker(), start
		count := rapid.IntRange(0, maxCount)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * ms)
			stats := make(map[ident.Server]Stats)
			for _, id := range servers {
				stats[id] = Stats{
					Responses: count.Draw(t, "responses"), Time: time.Duration(rapid.Int64Range(0, int64(maxTime)).Draw(t, "time")),
					Rejections: count.Draw(t, "rejections"), InFlight: count.Draw(t, "in-flight"),
				}
			}
			tracker.HandleReport("vm", stats, now)
			probes := 0.0
			for _, a := range tracker.Assess("s", servers, nil, now) {
				assert.Assert(t, a.Weight >= minWeight && a.Weight <= maxWeight, "%+v", a)
				assert.Assert(t, a.Probe >= 0 && a.PeerLoad >= 0, "%+v", a)
				probes += a.Probe
			}
			assert.Assert(t, probes <= maxWeight, "%g", probes)
			assert.Assert(t, len(tracker.services["s"].estimates) <= len(servers))
		}
	})
}

// TestFewCallsAfterSlowness guards against a slow server that counts as unknown because it
// gets few calls, so that it gets all its calls back at once; against one that stays slow
// without any call, and against a recovery that is seen late.
func TestFewCallsAfterSlowness(t *testing.T) {
	slow := func() *Tracker {
		tracker := newTracker()
		for _, id := range servers[1:] {
			observe(tracker, id, 40, 30*ms, start)
		}
		observe(tracker, "a", 40, 120*ms, start)
		tracker.Assess("s", servers, nil, start)
		return tracker
	}
	others := func(tracker *Tracker, now time.Time) {
		for _, id := range servers[1:] {
			observe(tracker, id, 40, 30*ms, now)
		}
	}
	t.Run("no call", func(t *testing.T) {
		tracker, last := slow(), 0.0
		for at := 100 * ms; at <= 4*time.Second; at += 100 * ms {
			now := start.Add(at)
			others(tracker, now)
			weight := tracker.Assess("s", servers, nil, now)[0].Weight
			assert.Assert(t, weight >= last, "%g after %g", weight, last)
			assert.Assert(t, weight-last < 0.3, "from %g to %g in 0.1 s", last, weight)
			last = weight
		}
		assert.Equal(t, last, 1.0)
	})
	for n, took := range map[int]time.Duration{3: 30 * ms, 7: 30 * ms, 4: 120 * ms} {
		t.Run(fmt.Sprintf("%d calls of %s", n, took), func(t *testing.T) {
			tracker, now := slow(), start.Add(time.Second)
			others(tracker, now)
			observe(tracker, "a", n, took, now)
			weight := tracker.Assess("s", servers, nil, now)[0].Weight
			switch {
			case took > 30*ms:
				assert.Assert(t, weight < 0.3, "%g", weight)
			case n >= minResponses:
				assert.Equal(t, weight, 1.0)
			default:
				assert.Assert(t, weight > 0.25 && weight < 1, "%g", weight)
			}
		})
	}
}

// TestChanges guards against a log line for each call, and against a server at the limit that
// alternates between slow and not slow.
func TestChanges(t *testing.T) {
	var changes []Change
	tracker, now := New(func(c Change) { changes = append(changes, c) }), start
	second := func(mean time.Duration) {
		now = now.Add(2 * time.Second)
		for _, id := range servers[1:] {
			observe(tracker, id, 400, 30*ms, now)
		}
		observe(tracker, "a", 400, mean, now)
		tracker.Assess("s", servers, nil, now)
		tracker.Assess("s", servers, nil, now)
	}
	for _, mean := range []time.Duration{30 * ms, 60 * ms, 37 * ms, 40 * ms, 37 * ms, 31 * ms, 37 * ms, 30 * ms} {
		second(mean)
	}
	assert.Equal(t, len(changes), 2, "%v", changes)
	assert.DeepEqual(t, changes[0], Change{Service: "s", Server: "a", Slow: true, Mean: 60 * ms, Median: 30 * ms})
	assert.DeepEqual(t, changes[1], Change{Service: "s", Server: "a", Mean: 31 * ms, Median: 30 * ms})
	second(60 * ms)
	assert.DeepEqual(t, tracker.SlowCounts(now), []SlowCount{{Service: "s", Servers: 1}})
	assert.DeepEqual(t, tracker.SlowCounts(now.Add(2*retention)), []SlowCount{{Service: "s"}})
	tracker.Assess("s", servers[1:], nil, now)
	assert.DeepEqual(t, tracker.SlowCounts(now), []SlowCount{{Service: "s"}})
}

// TestWrongReport guards against one VM whose wrong figures keep all calls from a server: it
// still gets probes.
func TestWrongReport(t *testing.T) {
	for name, wrong := range map[string]Stats{
		"slow":        {Responses: 1000, Time: time.Hour},
		"many calls":  {InFlight: maxCount},
		"rejects all": {Rejections: maxCount},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			for n := range 60 {
				tracker.HandleReport(ident.VM(fmt.Sprint(n)), map[ident.Server]Stats{"a": {Responses: 1, Time: 30 * ms}, "b": {Responses: 1, Time: 30 * ms}, "c": {Responses: 1, Time: 30 * ms}}, start)
			}
			tracker.HandleReport("wrong", map[ident.Server]Stats{"a": wrong}, start)
			got := tracker.Assess("s", servers, nil, start)[0]
			assert.Assert(t, got.Weight >= minWeight, "%+v", got)
			assert.Assert(t, got.Probe > 0, "%+v", got)
		})
	}
}

// TestProbe guards against probes more or less often than their probability, of servers that must
// not be chosen, and as often of a server at which this VM's calls fail as of others.
func TestProbe(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	list := []Assessment{{Probe: 0.1}, {}, {Probe: 0.2}, {Probe: 0.1}}
	health := []float64{1, 1, 0, 0.25}
	counts := make(map[int]int)
	for range 10_000 {
		counts[Probe(list, func(i int) float64 { return health[i] }, rng)]++
	}
	assert.Assert(t, counts[0] > 900 && counts[0] < 1100, "%v", counts)
	assert.Assert(t, counts[3] > 200 && counts[3] < 300, "%v", counts)
	assert.Equal(t, counts[0]+counts[3]+counts[-1], 10_000)
}

// TestSampleLoad guards against samples whose mean is not the given one.
func TestSampleLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, mean := range []float64{0, 0.1, 1.2, 6, 29, 31, 500} {
		sum := 0
		for range 10_000 {
			sum += SampleLoad(mean, rng)
		}
		got := float64(sum) / 10_000
		assert.Assert(t, got > 0.95*mean-0.02 && got < 1.05*mean+0.02, "%g, mean %g", got, mean)
	}
}

// TestSlots guards against servers whose calls in flight are compared without regard to their
// slots, and against servers with few slots that count as busy without any call.
func TestSlots(t *testing.T) {
	for name, tc := range map[string]struct {
		slots []int
		load  [3]float64
		want  [3]bool // which servers have far more calls than their slots would have at the median
	}{
		"alike":                                 {slots: []int{6, 6, 6}, load: [3]float64{2, 2, 2}},
		"alike, one busy":                       {slots: []int{6, 6, 6}, load: [3]float64{6, 2, 2}, want: [3]bool{true, false, false}},
		"no slots known, one busy":              {load: [3]float64{6, 2, 2}, want: [3]bool{true, false, false}},
		"few slots, no calls":                   {slots: []int{2, 6, 6}},
		"few slots, as many calls":              {slots: []int{2, 6, 6}, load: [3]float64{4, 4, 4}, want: [3]bool{true, false, false}},
		"few slots, their part of the calls":    {slots: []int{2, 6, 6}, load: [3]float64{4. / 3, 4, 4}},
		"many slots, their part of the calls":   {slots: []int{20, 2, 2}, load: [3]float64{10, 1, 1}},
		"many slots, more than their part":      {slots: []int{20, 2, 2}, load: [3]float64{40, 1, 1}, want: [3]bool{true, false, false}},
		"servers that state no slots, alike":    {slots: []int{0, 0, 0}, load: [3]float64{2, 2, 2}},
		"servers that state no slots, one busy": {slots: []int{0, 0, 0}, load: [3]float64{2, 2, 6}, want: [3]bool{false, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, stats := newTracker(), make(map[ident.Server]Stats)
			for i, id := range servers {
				// Half of the calls in flight count, more than the mean of such short calls.
				stats[id] = Stats{Responses: 40, Time: 40 * ms, InFlight: int(2 * tc.load[i])}
			}
			tracker.HandleResponse("hub", 60, stats, start)
			for i, a := range tracker.Assess("s", servers, tc.slots, start) {
				assert.Equal(t, a.Overloaded, tc.want[i], "%s: %+v", servers[i], a)
			}
		})
	}
}

// TestServersLeftOut guards against servers that look idle because a full message of a hub leaves
// them out, so that they get too many calls.
func TestServersLeftOut(t *testing.T) {
	const (
		count     = 100
		callRate  = 5000 // a second
		rounds    = 40   // between messages
		perRound  = callRate / 2
		slotCount = 6
	)
	rng, tracker, now := rand.New(rand.NewPCG(1, 2)), newTracker(), start
	list, slots := make([]ident.Server, count), make([]int, count)
	for i := range list {
		list[i], slots[i] = ident.Server(fmt.Sprint("s", i)), slotCount
	}
	last, current := make([]int, count), make([]int, count)
	leftOut, all, most := 0, 0, 0
	for round := range rounds {
		stats := make(map[ident.Server]Stats)
		for i, id := range list {
			if n := last[i] + current[i]; n > 0 {
				stats[id] = Stats{Responses: n, Time: time.Duration(n) * 30 * ms}
			}
		}
		if s := stats["s0"]; s.Responses > 0 {
			stats["s0"] = Stats{Responses: s.Responses, Time: 4 * s.Time} // the servers differ
		}
		stats = busiest(stats, oneService)
		tracker.HandleResponse("hub", 60, stats, now)
		assessments := tracker.Assess("s", list, slots, now)
		last, current = current, make([]int, count)
		for range perRound {
			choices := make([]assign.Server, count)
			for i, a := range assessments {
				choices[i] = assign.Server{Slots: slotCount, Weight: a.Weight, InFlight: SampleLoad(a.PeerLoad, rng)}
			}
			i := assign.ChoosePlain(choices, rng)
			current[i]++
			if _, ok := stats[list[i]]; !ok && round >= 4 {
				leftOut++
			}
		}
		if round >= 4 {
			all += perRound
			most = max(most, slices.Max(current))
		}
		now = now.Add(500 * ms)
	}
	share := float64(leftOut) / float64(all)
	t.Logf("servers left out: %.2f of the calls; most calls of a server in a round: %d, mean %d", share, most, perRound/count)
	assert.Assert(t, share < 1.2*(count-MaxServers)/count, "%.2f of the calls", share)
}
