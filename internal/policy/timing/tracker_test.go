package timing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

var start = time.Unix(1_000_000, 0)

func newTracker() *Tracker { return New(func(Change) {}) }

func noCalls(ident.Server) int { return 0 }

func oneService(ident.Server) ident.Service { return "s" }

// observe records n calls that took the same time.
func observe(t *Tracker, id ident.Server, n int, took time.Duration, now time.Time) {
	for range n {
		t.Observe(id, took, now)
	}
}

// TestSums guards against a hub whose response is not the sum of all other VMs, with random
// calls, reports and losses of VMs.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := newTracker()
		now := start
		reported := make(map[ident.VM]map[ident.Server]Stats)
		reportedAt := make(map[ident.VM]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			vm := ident.VM(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm"))
			stats := make(map[ident.Server]Stats)
			for range rapid.IntRange(0, 3).Draw(t, "servers") {
				stats[ident.Server(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "server"))] = Stats{
					Responses: rapid.IntRange(0, 9).Draw(t, "responses"), Time: time.Duration(rapid.IntRange(0, 9).Draw(t, "time")),
					Rejections: rapid.IntRange(0, 9).Draw(t, "rejections"), InFlight: rapid.IntRange(0, 9).Draw(t, "in-flight"),
				}
			}
			hub.HandleReport(vm, stats, now)
			reported[vm], reportedAt[vm] = stats, now
			want := make(map[ident.Server]Stats)
			for other, sums := range reported {
				if other == "a" || now.Sub(reportedAt[other]) > reportTTL {
					continue
				}
				for id, s := range sums {
					if sum := want[id].add(s); sum != (Stats{}) {
						want[id] = sum
					}
				}
			}
			calls := 0
			for _, s := range want {
				calls += s.Responses + s.Rejections
			}
			if calls < 5*len(want) {
				clear(want)
			}
			// An outdated report may stay for one slot.
			if now.Sub(hub.fleet.purgedAt) >= Window/slots || !outdated(reportedAt, now) {
				assert.DeepEqual(t, hub.Response("a", oneService, noCalls, now), want)
			}
		}
	})
}

func outdated(reportedAt map[ident.VM]time.Time, now time.Time) bool {
	for _, at := range reportedAt {
		if now.Sub(at) > reportTTL {
			return true
		}
	}
	return false
}

// TestWindow guards against calls that count after the window, or are lost within it.
func TestWindow(t *testing.T) {
	tracker := newTracker()
	tracker.Observe("s", 30*time.Millisecond, start)
	tracker.ObserveRejection("s", start.Add(500*time.Millisecond))
	inFlight := func(ident.Server) int { return 4 }
	for _, tc := range []struct {
		after time.Duration
		want  Stats
	}{
		{900 * time.Millisecond, Stats{Responses: 1, Time: 30 * time.Millisecond, Rejections: 1, InFlight: 4}},
		{Window, Stats{Rejections: 1, InFlight: 4}},
		{2 * Window, Stats{}},
	} {
		t.Run(tc.after.String(), func(t *testing.T) {
			assert.Equal(t, tracker.Report(oneService, inFlight, start.Add(tc.after))["s"], tc.want)
		})
	}
	assert.Equal(t, len(tracker.own), 0, "windows that are kept without calls")
}

// TestResponseLeavesOutIdleServices guards against hubs that send each VM of a large fleet the
// figures of many servers that have too few calls to be compared.
func TestResponseLeavesOutIdleServices(t *testing.T) {
	tracker, serviceOf := newTracker(), func(id ident.Server) ident.Service { return ident.Service(id[:1]) }
	stats := map[ident.Server]Stats{"a1": {Responses: 40}, "a2": {Responses: 1}, "a3": {Rejections: 7}}
	for n := range 50 {
		stats[ident.Server(fmt.Sprint("b", n))] = Stats{Responses: 4}
	}
	tracker.HandleReport("vm", stats, start)
	got := tracker.Response("other", serviceOf, noCalls, start)
	assert.DeepEqual(t, got, map[ident.Server]Stats{"a1": {Responses: 40}, "a2": {Responses: 1}, "a3": {Rejections: 7}})
}

// TestBounds guards against state and messages that grow with the number of servers that a VM
// calls or reports, and against reports with impossible figures.
func TestBounds(t *testing.T) {
	tracker := newTracker()
	large := make(map[ident.Server]Stats)
	for n := range 3 * MaxServers {
		id := ident.Server(fmt.Sprint("s", n))
		observe(tracker, id, 1+n, time.Millisecond, start)
		large[id] = Stats{Responses: 1 + n}
	}
	own := tracker.Report(oneService, noCalls, start)
	assert.Equal(t, len(own), MaxServers)
	assert.Assert(t, own["s191"].Responses > 0, "the server with the most calls is left out")
	tracker.HandleReport("vm", large, start)
	assert.Equal(t, len(tracker.fleet.total), MaxServers)
	assert.Equal(t, len(tracker.Response("other", oneService, noCalls, start)), MaxServers)
	tracker.HandleReport("vm", map[ident.Server]Stats{"": {Responses: 1}, "a": {Responses: -1}, "b": {Time: -1}, "c": {InFlight: maxCount + 1}, "d": {Time: maxTime + 1}}, start)
	assert.Equal(t, len(tracker.fleet.total), 0)
}

// TestFairParts guards against a large service whose servers leave no place in a message for those of
// a small one.
func TestFairParts(t *testing.T) {
	serviceOf := func(id ident.Server) ident.Service { return ident.Service(id[:1]) }
	for name, tc := range map[string]struct {
		servers, want map[string]int // by service, in the order of their calls: "a" has the most
	}{
		"a small service":         {servers: map[string]int{"a": 200, "b": 3}, want: map[string]int{"a": 61, "b": 3}},
		"two large, one small":    {servers: map[string]int{"a": 200, "b": 90, "c": 4}, want: map[string]int{"a": 30, "b": 30, "c": 4}},
		"room for all":            {servers: map[string]int{"a": 60, "b": 4}, want: map[string]int{"a": 60, "b": 4}},
		"one service":             {servers: map[string]int{"a": 65}, want: map[string]int{"a": 64}},
		"a service just too many": {servers: map[string]int{"a": 60, "b": 5}, want: map[string]int{"a": 59, "b": 5}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, sums := newTracker(), make(map[ident.Server]Stats)
			for s, count := range tc.servers {
				for n := range count {
					id, calls := ident.Server(fmt.Sprint(s, n)), 100*('d'-int(s[0]))+n
					observe(tracker, id, calls, time.Millisecond, start)
					sums[id] = Stats{Responses: calls, Time: time.Duration(calls) * time.Millisecond}
				}
			}
			report := tracker.Report(serviceOf, noCalls, start)
			for message, stats := range map[string]map[ident.Server]Stats{"report": report, "response": tracker.Response("other", serviceOf, noCalls, start)} {
				got := make(map[string]int)
				for id := range stats {
					got[string(serviceOf(id))]++
				}
				assert.DeepEqual(t, got, tc.want)
				for s, count := range tc.servers {
					for n := count - tc.want[s]; n < count; n++ {
						id := ident.Server(fmt.Sprint(s, n))
						assert.Equal(t, stats[id], sums[id], "%s: a server with more calls than others of its service is left out: %s", message, id)
					}
				}
			}
		})
	}
}

// TestHubs checks which of the known figures of the other VMs count.
func TestHubs(t *testing.T) {
	figures := func(n int) map[ident.Server]Stats { return map[ident.Server]Stats{"s": {Responses: n}} }
	for name, tc := range map[string]struct {
		apply func(*Tracker)
		after time.Duration
		want  int
	}{
		"nothing known": {apply: func(*Tracker) {}},
		"the hub that most VMs report to": {apply: func(tr *Tracker) {
			tr.HandleResponse("a", 50, figures(50), start)
			tr.HandleResponse("b", 10, figures(10), start.Add(1))
		}, after: 1, want: 50},
		"the latest of hubs with about as many VMs": {apply: func(tr *Tracker) {
			tr.HandleResponse("a", 50, figures(50), start)
			tr.HandleResponse("b", 48, figures(48), start.Add(1))
		}, after: 1, want: 48},
		"a hub without traffic":               {apply: func(tr *Tracker) { tr.HandleResponse("a", 50, nil, start) }},
		"an outdated response":                {apply: func(tr *Tracker) { tr.HandleResponse("a", 50, figures(50), start) }, after: responseTTL + 1},
		"all hubs lost: reports to this VM":   {apply: func(tr *Tracker) { tr.HandleReport("c", figures(3), start) }, want: 3},
		"reports that have not been repeated": {apply: func(tr *Tracker) { tr.HandleReport("c", figures(3), start) }, after: reportTTL + 1},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker()
			tc.apply(tracker)
			assert.Equal(t, tracker.fleet.others(start.Add(tc.after)).stats["s"].Responses, tc.want)
		})
	}
}
