package hubs

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestCarriersOfManyVMs has most of the VMs of a fleet isolated. A hub must name only the
// others as carriers, and spread the isolated VMs over them in proportion to their capacity.
func TestCarriersOfManyVMs(t *testing.T) {
	const vms, whole = 350, 50
	now := time.Now()
	hub := New(candidate(vms, 14), nil, now.Add(-time.Minute))
	capacity := func(n int) Capacity { return Capacity(12 + n%2) }
	for n := range vms {
		hub.HandleReport(Report{Candidate: candidate(n, capacity(n)), Isolated: n >= whole}, now)
	}
	assert.Equal(t, len(hub.CarriersFor(candidate(0, 0).VM, now)), 0, "carriers of a VM that is not isolated")
	named := make(map[ident.VM]int)
	total := 0
	for n := whole; n < vms; n++ {
		list := hub.CarriersFor(candidate(n, 0).VM, now)
		assert.Equal(t, len(list), maxCarriers)
		assert.Equal(t, len(compactByVM(slices.Clone(list))), maxCarriers)
		for _, c := range list {
			named[c.VM]++
			total++
		}
	}
	assert.Equal(t, len(named), whole, "carriers named")
	small, large := 0, 0
	for n := range whole {
		count := named[candidate(n, 0).VM]
		assert.Assert(t, count < 5*total/whole, "a carrier of %d VMs, %d in the mean", count, total/whole)
		if capacity(n) == 12 {
			small += count
		} else {
			large += count
		}
	}
	assert.Assert(t, large > 3*small/2 && large < 3*small, "%d of large VMs, %d of small ones", large, small)
	assert.Equal(t, len(hub.CarriersFor(candidate(whole, 0).VM, now.Add(PeerTimeout))), 0, "VMs that have not reported for long")
}

// TestCarriers checks which VMs a VM asks to carry its connections.
func TestCarriers(t *testing.T) {
	now := time.Now()
	tracker := newWithHubs(3, watching, now)
	tracker.HandleReport(Report{Candidate: candidate(3, 14), Isolated: true}, now)
	names := func(now time.Time) (out []ident.VM) {
		for _, c := range tracker.Carriers(now) {
			out = append(out, c.VM)
		}
		slices.Sort(out)
		return out
	}
	assert.DeepEqual(t, names(now), []ident.VM{"vm-0", "vm-1", "vm-2"})
	tracker.SetCarriers("vm-0", []Candidate{candidate(7, 12), candidate(8, 12)}, now)
	tracker.SetCarriers("vm-1", []Candidate{candidate(8, 12), candidate(99, 12)}, now)
	assert.DeepEqual(t, names(now), []ident.VM{"vm-7", "vm-8"})
	tracker.SetCarriers("vm-0", nil, now)
	assert.DeepEqual(t, names(now), []ident.VM{"vm-8"})
	later := now.Add(carrierTTL + 1)
	for n := range 3 {
		tracker.HandleReport(Report{Candidate: candidate(n, 14)}, later)
	}
	assert.DeepEqual(t, names(later), []ident.VM{"vm-0", "vm-1", "vm-2"})
}
