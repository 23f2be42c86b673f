package alloc

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestReport guards against grants that a coordinator counts in addition to reported loads, or
// not at all: a report states a grant with the load of its call, and still after the call ended.
func TestReport(t *testing.T) {
	vm, coordinator, now := New(), New(), time.Now()
	report := func(seq uint64) {
		loads, grants := vm.Report(now)
		coordinator.HandleReport("vm", 1, seq, 0, loads, grants, now)
	}
	second := vm.ReserveGranted("p", Load{Calls: 1}, 8, now)
	first := vm.ReserveGranted("p", Load{Calls: 1}, 7, now)
	report(2)
	first.Release()
	check := func(calls int, received bool) {
		t.Helper()
		assert.Equal(t, coordinator.Load("p").Calls, calls)
		for _, id := range []uint64{7, 8} {
			assert.Equal(t, coordinator.HasReceived("vm", id), received)
			assert.Assert(t, !coordinator.HasReceived("other", id))
		}
		assert.Assert(t, !coordinator.HasReceived("vm", 9))
	}
	check(2, true)
	report(1) // overtaken by the later one
	check(2, true)
	report(3)
	check(1, true)
	second.Release()
	report(4)
	check(0, true)
	assert.Assert(t, vm.HasReceived("vm", 7), "the VM's own loads include the call")
	now = now.Add(GrantTTL + 1)
	report(5)
	check(0, false)
	t.Run("in parts", func(t *testing.T) {
		loads := map[ident.Server]Load{"p": {Calls: 1}}
		coordinator.HandleReport("vm", 1, 6, 0, loads, []uint64{7, 8}, now)
		coordinator.HandleReport("vm", 1, 6, 1, loads, nil, now)
		check(2, true)
		coordinator.HandleReport("vm", 1, 7, 0, nil, nil, now)
		check(0, false)
	})
	t.Run("bounded", func(t *testing.T) {
		for id := range uint64(2 * maxGrants) {
			vm.ReserveGranted("p", Load{Calls: 1}, id, now).Release()
		}
		_, grants := vm.Report(now)
		assert.Equal(t, len(grants), maxGrants)
	})
}
