package srvtab

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestVersionsSince checks which versions of the software a service's servers have run.
func TestVersionsSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(func() {})
		put := func(id ident.Server, v ident.Version) {
			table.Put(Entry{ID: id, Service: "s", Domain: "a", Slots: 1, Version: v})
		}
		versions := func(since time.Duration) []ident.Version {
			list, _ := table.View().VersionsSince("s", time.Now().Add(-since))
			return slices.Sorted(slices.Values(list))
		}
		known := func(since time.Duration) bool {
			_, ok := table.View().VersionsSince("s", time.Now().Add(-since))
			return ok
		}
		diverged := func() bool {
			select {
			case <-table.Diverged():
				return true
			default:
				return false
			}
		}
		put("a", "v1")
		assert.Assert(t, !known(0), "the list is not complete")
		table.Replace([]Entry{{ID: "a", Service: "s", Domain: "a", Slots: 1, Version: "v1"}}, time.Time{}, time.Now())
		time.Sleep(time.Minute)
		assert.Assert(t, known(time.Minute) && !known(2*time.Minute))
		assert.DeepEqual(t, versions(time.Minute), []ident.Version{"v1"})
		assert.Assert(t, !diverged())
		put("b", "v1")
		assert.Assert(t, !diverged())
		put("c", "v2")
		assert.Assert(t, diverged() && !diverged())
		assert.DeepEqual(t, versions(0), []ident.Version{"v1", "v2"})
		table.Remove("a", time.Time{}, time.Now())
		put("b", "v2")
		time.Sleep(time.Second)
		assert.DeepEqual(t, versions(time.Second/2), []ident.Version{"v2"})
		assert.DeepEqual(t, versions(2*time.Second), []ident.Version{"v1", "v2"})
		put("b", "")
		assert.DeepEqual(t, versions(time.Second/2), []ident.Version{"v2"}) // VMs of earlier software send no version
		put("d", "v1")
		assert.Assert(t, diverged(), "a rollback")
		time.Sleep(2 * versionMemory)
		put("e", "v3")
		assert.DeepEqual(t, versions(3*versionMemory), []ident.Version{"v1", "v2", "v3"})
		assert.Equal(t, len(table.versions["s"]), 3)
	})
}

// TestMissingVersions checks that versions which VMs of earlier software did not pass on are
// completed, and that known ones are kept.
func TestMissingVersions(t *testing.T) {
	table := NewTable(func() {})
	for id, v := range map[ident.Server]ident.Version{"a": "", "b": "v1"} {
		table.Put(Entry{ID: id, Service: "s", Domain: "a", Slots: 1, Version: v})
	}
	assert.Assert(t, table.View().LacksVersions())
	for _, id := range []ident.Server{"a", "b", "unknown"} {
		table.SetVersion(id, "v2")
	}
	view := table.View()
	assert.Assert(t, !view.LacksVersions())
	assert.Equal(t, view.Server("a").Version, ident.Version("v2"))
	assert.Equal(t, view.Server("b").Version, ident.Version("v1"))
	assert.Equal(t, view.Len(), 2)
}
