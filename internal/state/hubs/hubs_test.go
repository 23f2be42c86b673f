package hubs

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
)

func candidate(n int, c Capacity) Candidate {
	return Candidate{VM: ident.VM(fmt.Sprint("vm-", n)), Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+n)), Capacity: c}
}

// fresh is the word of a VM that asks the store and is answered.
var fresh = StoreStatus{Asks: true, Age: 100 * time.Millisecond}

// among returns what a VM knows that has heard so many of more capacity.
func among(hubs int, w StoreStatus, now time.Time) *Hubs {
	h := New(candidate(99, 12), nil, now.Add(-time.Minute))
	h.Alone(now)
	for n := range hubs {
		h.Reported(Report{Candidate: candidate(n, 14), StoreStatus: w}, now)
	}
	return h
}

func TestAsks(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		hubs     int
		status   StoreStatus
		answered bool
		asks     bool
	}{
		"nobody is heard":                       {asks: true},
		"one asks":                              {hubs: 1, status: fresh, asks: true},
		"two ask":                               {hubs: 2, status: fresh},
		"two do not":                            {hubs: 2, status: StoreStatus{}, asks: true},
		"the store answers none of the hubs":    {hubs: 3, status: StoreStatus{Asks: true, Age: time.Minute}, asks: true},
		"this VM is no hub":                     {hubs: 4, status: fresh},
		"nor does the store answer the hubs":    {hubs: 4, status: StoreStatus{Asks: true, Age: time.Minute}},
		"nor the hubs, and it answers this one": {hubs: 4, status: StoreStatus{Asks: true, Age: time.Minute}, answered: true, asks: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := among(tc.hubs, tc.status, now)
			if tc.answered {
				h.Listed(nil, now)
			}
			assert.Equal(t, h.Asks(now), tc.asks)
		})
	}
	t.Run("a hub that falls silent is replaced", func(t *testing.T) {
		h := among(2, fresh, now)
		assert.Assert(t, !h.Asks(now.Add(watchSilence-1)))
		assert.Assert(t, h.Asks(now.Add(watchSilence)))
		assert.Assert(t, h.Lead(now.Add(watchSilence)))
	})
	t.Run("a VM that starts waits to hear others", func(t *testing.T) {
		h := New(candidate(1, 12), nil, now)
		assert.Assert(t, !h.Asks(now.Add(StartTime-1)))
		assert.Assert(t, h.Asks(now.Add(StartTime)))
		h.Reported(Report{Candidate: candidate(2, 10)}, now)
		assert.Assert(t, !h.Asks(now.Add(joinTime-1)))
		assert.Assert(t, h.Asks(now.Add(joinTime)), "the other has less capacity")
	})
}

// TestTargets follows one VM that reports to those of a hub's list.
func TestTargets(t *testing.T) {
	now := time.Now()
	h := New(candidate(99, 12), nil, now)
	h.Alone(now) // it has looked for others long enough
	h.Listed(map[ident.VM]netip.AddrPort{"vm-0": candidate(0, 0).Addr}, now)
	assert.Equal(t, len(h.Targets(now, true)), 1, "the one that the store names")
	list := []Candidate{candidate(0, 14), candidate(1, 14), candidate(2, 14), candidate(3, 14), candidate(4, 13)}
	assert.Assert(t, h.Answered(Report{Candidate: list[0], StoreStatus: fresh}, list, Digest(list), now), "there are others to report to")
	assert.Equal(t, len(h.Targets(now, false)), Count-1, "those that have not been told yet")
	for _, c := range list[:3] {
		h.Answered(Report{Candidate: c, StoreStatus: fresh}, list, Digest(list), now)
	}
	assert.Equal(t, len(h.Targets(now.Add(seekEvery), false)), 1, "the one that has not answered")
	gone := now.Add(Silence + orderTime)
	for at := now; !at.After(gone); at = at.Add(seekEvery) {
		h.Targets(at, false)
	}
	for _, c := range list[:3] {
		h.Answered(Report{Candidate: c, StoreStatus: fresh}, list, Digest(list), gone)
	}
	var names []ident.VM
	for _, c := range h.Targets(gone, true) {
		names = append(names, c.VM)
	}
	assert.Assert(t, !contains(names, "vm-3") && contains(names, "vm-4"), "%s: the next one takes its place", names)
	h.Answered(Report{Candidate: list[1], StoreStatus: fresh}, list[:3], 1, gone) // the hub does not hear it either
	h.Answered(Report{Candidate: list[1], StoreStatus: fresh}, list, Digest(list), gone)
	names = nil
	for _, c := range h.Targets(gone, true) {
		names = append(names, c.VM)
	}
	assert.Assert(t, contains(names, "vm-3"), "%s: it has come back", names)
}

// TestGivenUp has a VM report to one that did not answer long ago, when it may not have
// been there yet: a lost message now does not make it one that is gone.
func TestGivenUp(t *testing.T) {
	now := time.Now()
	h := New(candidate(99, 12), nil, now)
	h.Alone(now)
	h.Listed(map[ident.VM]netip.AddrPort{"vm-0": candidate(0, 0).Addr}, now)
	for range leastTries - 1 {
		h.Targets(now, true)
	}
	h.Listed(nil, now) // it is not a candidate for a while
	now = now.Add(2 * retryAfter)
	h.Listed(map[ident.VM]netip.AddrPort{"vm-0": candidate(0, 0).Addr}, now)
	assert.Equal(t, len(h.Targets(now, true)), 1)
	now = now.Add(orderTime)
	assert.Equal(t, len(h.Order("s", Count, now)), 2, "it may still answer")
}

func contains(list []ident.VM, vm ident.VM) bool {
	for _, x := range list {
		if x == vm {
			return true
		}
	}
	return false
}

func ExampleCapacityOf() {
	fmt.Println(CapacityOf(0.2, 20e6), CapacityOf(0.8, 200e6), CapacityOf(0.8, 10e6))
	// Output: 12 14 13
}

// TestSpread has hubs in as many failure domains as candidates of the most capacity are,
// whichever part of the candidates a VM knows that holds the hubs.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Candidate
		for n := range rapid.IntRange(Count, 30).Draw(t, "candidates") {
			c := candidate(n, Capacity(rapid.IntRange(12, 13).Draw(t, "capacity")))
			c.Domain = ident.Domain(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
			all = append(all, c)
		}
		slices.SortFunc(all, compare)
		most := make(map[ident.Domain]bool)
		for _, c := range all {
			if c.Capacity == all[0].Capacity {
				most[c.Domain] = true
			}
		}
		part := slices.Clone(all)
		spread(all)
		hubs := hubsOf(all)
		covered := make(map[ident.Domain]bool)
		for _, c := range hubs {
			covered[c.Domain] = true
		}
		for d := range most {
			assert.Assert(t, covered[d], "no hub in %s: %v", d, hubs)
		}
		part = slices.DeleteFunc(part, func(c Candidate) bool {
			return !slices.Contains(all[:min(len(all), listed)], c)
		})
		spread(part)
		assert.DeepEqual(t, hubsOf(part), hubs, cmpopts.EquateComparable(netip.AddrPort{}))
	})
}
