package hubs

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestStartCost guards against a hub that sorts all VMs again for each VM that starts. When
// all VMs start at once, the bytes that a hub allocates for each must not grow with their
// number.
func TestStartCost(t *testing.T) {
	perVM := func(vms int) uint64 {
		now := time.Now()
		tracker := New(Candidate{VM: "hub", Capacity: 16}, nil, now)
		report := func(name string, n int, c Capacity) {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
			tracker.HandleReport(Report{Candidate: Candidate{VM: ident.VM(fmt.Sprint(name, n)), Addr: addr, Capacity: c}}, now)
			tracker.LiveCandidates(now)
		}
		for n := range maxListed {
			report("large-", n, 16)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for n := range vms {
			report("small-", n, 12)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / uint64(vms)
	}
	few, many := perVM(500), perVM(2000)
	t.Logf("%d bytes for each of 500 VMs, %d for each of 2000", few, many)
	assert.Assert(t, many <= 2*few, "%d and %d bytes", few, many)
}
