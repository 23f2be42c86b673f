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

// watching is the status of a VM that watches the store and gets responses.
var watching = StoreStatus{Watching: true, Age: 100 * time.Millisecond}

// newWithHubs returns the tracker of a VM that has received reports from the given number
// of VMs of higher capacity.
func newWithHubs(hubs int, status StoreStatus, now time.Time) *Tracker {
	tracker := New(candidate(99, 12), nil, now.Add(-time.Minute))
	tracker.EndDiscovery(now)
	for n := range hubs {
		tracker.HandleReport(Report{Candidate: candidate(n, 14), StoreStatus: status}, now)
	}
	return tracker
}

func TestShouldWatch(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		hubs      int
		status    StoreStatus
		responded bool
		want      bool
	}{
		"no VM is live":                                     {want: true},
		"one hub watches":                                   {hubs: 1, status: watching, want: true},
		"two hubs watch":                                    {hubs: 2, status: watching},
		"two hubs do not watch":                             {hubs: 2, status: StoreStatus{}, want: true},
		"the store responds to none of the hubs":            {hubs: 3, status: StoreStatus{Watching: true, Age: time.Minute}, want: true},
		"this VM is not a hub":                              {hubs: 4, status: watching},
		"not a hub, and the store responds to no hub":       {hubs: 4, status: StoreStatus{Watching: true, Age: time.Minute}},
		"not a hub, and the store responds only to this VM": {hubs: 4, status: StoreStatus{Watching: true, Age: time.Minute}, responded: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newWithHubs(tc.hubs, tc.status, now)
			if tc.responded {
				tracker.SetRegistered(nil, now)
			}
			assert.Equal(t, tracker.ShouldWatch(now), tc.want)
		})
	}
	t.Run("a hub that stops responding is replaced", func(t *testing.T) {
		tracker := newWithHubs(2, watching, now)
		assert.Assert(t, !tracker.ShouldWatch(now.Add(watcherTimeout-1)))
		assert.Assert(t, tracker.ShouldWatch(now.Add(watcherTimeout)))
		assert.Assert(t, tracker.LeadsWatch(now.Add(watcherTimeout)))
	})
	t.Run("a starting VM waits for messages of others", func(t *testing.T) {
		tracker := New(candidate(1, 12), nil, now)
		assert.Assert(t, !tracker.ShouldWatch(now.Add(DiscoveryTimeout-1)))
		assert.Assert(t, tracker.ShouldWatch(now.Add(DiscoveryTimeout)))
		tracker.HandleReport(Report{Candidate: candidate(2, 10)}, now)
		assert.Assert(t, !tracker.ShouldWatch(now.Add(joinTimeout-1)))
		assert.Assert(t, tracker.ShouldWatch(now.Add(joinTimeout)), "the other has less capacity")
	})
}

// TestTargets checks which VMs one VM reports to after a hub has listed candidates, one of
// them stops responding, and it comes back.
func TestTargets(t *testing.T) {
	now := time.Now()
	tracker := New(candidate(99, 12), nil, now)
	tracker.EndDiscovery(now) // reports are due at the usual intervals, not at joinInterval
	tracker.SetRegistered(map[ident.VM]netip.AddrPort{"vm-0": candidate(0, 0).Addr}, now)
	assert.Equal(t, len(tracker.Targets(now, true)), 1, "the VM that is registered in the store")
	list := []Candidate{candidate(0, 14), candidate(1, 14), candidate(2, 14), candidate(3, 14), candidate(4, 13)}
	assert.Assert(t, tracker.HandleResponse(Report{Candidate: list[0], StoreStatus: watching}, list, Digest(list), now), "there are new hubs to report to")
	assert.Equal(t, len(tracker.Targets(now, false)), Count-1, "the hubs that no report was sent to yet")
	for _, c := range list[:3] {
		tracker.HandleResponse(Report{Candidate: c, StoreStatus: watching}, list, Digest(list), now)
	}
	assert.Equal(t, len(tracker.Targets(now.Add(probeInterval), false)), 1, "the hub that has not responded")
	expired := now.Add(PeerTimeout + orderTTL)
	for at := now; !at.After(expired); at = at.Add(probeInterval) {
		tracker.Targets(at, false)
	}
	for _, c := range list[:3] {
		tracker.HandleResponse(Report{Candidate: c, StoreStatus: watching}, list, Digest(list), expired)
	}
	var names []ident.VM
	for _, c := range tracker.Targets(expired, true) {
		names = append(names, c.VM)
	}
	assert.Assert(t, !contains(names, "vm-3") && contains(names, "vm-4"), "%s: the next candidate replaces it", names)
	tracker.HandleResponse(Report{Candidate: list[1], StoreStatus: watching}, list[:3], 1, expired) // this hub receives nothing from vm-3 either
	tracker.HandleResponse(Report{Candidate: list[1], StoreStatus: watching}, list, Digest(list), expired)
	names = nil
	for _, c := range tracker.Targets(expired, true) {
		names = append(names, c.VM)
	}
	assert.Assert(t, contains(names, "vm-3"), "%s: it has come back", names)
}

// TestOldUnansweredReports guards against counting reports that got no response long ago,
// when the other VM may not have been running yet: one more unanswered report must not
// make it count as not responding.
func TestOldUnansweredReports(t *testing.T) {
	now := time.Now()
	tracker := New(candidate(99, 12), nil, now)
	tracker.EndDiscovery(now)
	tracker.SetRegistered(map[ident.VM]netip.AddrPort{"vm-0": candidate(0, 0).Addr}, now)
	for range minUnanswered - 1 {
		tracker.Targets(now, true)
	}
	tracker.SetRegistered(nil, now) // vm-0 is not a candidate for a while
	now = now.Add(2 * retryInterval)
	tracker.SetRegistered(map[ident.VM]netip.AddrPort{"vm-0": candidate(0, 0).Addr}, now)
	assert.Equal(t, len(tracker.Targets(now, true)), 1)
	now = now.Add(orderTTL)
	assert.Equal(t, len(tracker.CoordinatorOrder("s", Count, now)), 2, "it may still respond")
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

// TestSpreadDomains checks that there is a hub in each failure domain that has a candidate
// of the highest capacity, and that a VM that knows only a subset of the candidates with the hubs
// chooses the same hubs.
func TestSpreadDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Candidate
		for n := range rapid.IntRange(Count, 30).Draw(t, "candidates") {
			c := candidate(n, Capacity(rapid.IntRange(12, 13).Draw(t, "capacity")))
			c.Domain = ident.FailureDomain(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
			all = append(all, c)
		}
		slices.SortFunc(all, func(a, b Candidate) int { return compareRanked(newRanked(a), newRanked(b)) })
		domains := make(map[ident.FailureDomain]bool)
		for _, c := range all {
			if c.Capacity == all[0].Capacity {
				domains[c.Domain] = true
			}
		}
		subset := slices.Clone(all)
		spreadDomains(all)
		hubs := firstHubs(all)
		covered := make(map[ident.FailureDomain]bool)
		for _, c := range hubs {
			covered[c.Domain] = true
		}
		for d := range domains {
			assert.Assert(t, covered[d], "no hub in %s: %v", d, hubs)
		}
		subset = slices.DeleteFunc(subset, func(c Candidate) bool {
			return !slices.Contains(all[:min(len(all), maxListed)], c)
		})
		spreadDomains(subset)
		assert.DeepEqual(t, firstHubs(subset), hubs, cmpopts.EquateComparable(netip.AddrPort{}))
	})
}
