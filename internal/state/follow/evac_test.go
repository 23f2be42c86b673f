package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/srvtab"
	"umberladder/internal/state/watch"
)

// assertEvacuated fails the test unless exactly the given failure domains are evacuated.
func (v *vm) assertEvacuated(t *testing.T, what string, want ...ident.FailureDomain) {
	t.Helper()
	got := v.table.Evacuations().Domains
	assert.Equal(t, len(got), len(want), "%s: %v", what, got)
	for i := range want {
		assert.Equal(t, got[i], want[i], what)
	}
}

// TestEvacuations guards against VMs that send work to servers in a failure domain that
// operators have evacuated, or that learn late that the evacuation has ended.
func TestEvacuations(t *testing.T) {
	t.Run("starts and ends take effect immediately", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			assert.Assert(t, v.table.EvacuationsKnown())
			s.evacuate("a", true)
			time.Sleep(time.Millisecond)
			v.assertEvacuated(t, "started", "a")
			s.evacuate("b", true)
			s.evacuate("a", false)
			time.Sleep(time.Millisecond)
			v.assertEvacuated(t, "one has ended", "b")
		})
	})
	t.Run("an evacuation from before the start of the VM is known with the settings", func(t *testing.T) {
		s := newStore()
		s.evacuate("a", true)
		runFollowers(t, s, func(v *vm) { v.assertEvacuated(t, "read", "a") })
	})
	t.Run("an outage of the store changes nothing", func(t *testing.T) {
		s := newStore()
		s.evacuate("a", true)
		runFollowers(t, s, func(v *vm) {
			s.setDown(true)
			time.Sleep(20 * time.Second)
			v.assertEvacuated(t, "store unreachable", "a")
			s.evacuate("a", false)
			s.setDown(false)
			time.Sleep(watch.MaxBackoff + 10*time.Millisecond)
			v.assertEvacuated(t, "ended in the outage")
		})
	})
	t.Run("changes missed because the history was compacted", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			s.setDown(true)
			time.Sleep(time.Second)
			s.evacuate("a", true)
			s.change(func() { s.oldest, s.orders = s.rev, nil })
			s.setDown(false)
			time.Sleep(watch.MaxBackoff + 10*time.Millisecond)
			v.assertEvacuated(t, "read again", "a")
		})
	})
	t.Run("a later revision from another VM is not undone", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.table.ApplyEvacuations(srvtab.NewEvacuations(1000, []ident.FailureDomain{"a"}))
			time.Sleep(3 * time.Second)
			v.assertEvacuated(t, "the store's responses have lower revisions", "a")
		})
	})
	t.Run("an evacuation that a restored store lacks lasts until the end of the grace period", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			c := s.backup()
			s.evacuate("a", true)
			s.evacuate("b", true)
			time.Sleep(time.Second)
			s.domains = nil
			s.restore(c)
			time.Sleep(srvtab.ReregisterTime / 2)
			v.assertEvacuated(t, "the operators may write it again", "a", "b")
			s.evacuate("b", true)
			time.Sleep(srvtab.ReregisterTime/2 + 3*settingsWait)
			v.assertEvacuated(t, "written again", "b")
		})
	})
}
