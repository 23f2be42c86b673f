package srvtab

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

func TestCold(t *testing.T) {
	const coldTime = 3 * time.Second
	isCold := func(tab *Table, id ident.Server, after time.Duration) bool {
		v := tab.View()
		return v.IsCold(v.Server(id), coldTime, time.Now().Add(after))
	}
	entry := func(remaining time.Duration) Entry {
		e := server("s")
		e.Domain, e.Cold = "a", remaining
		return e
	}
	t.Run("an entry says for how long", func(t *testing.T) {
		tab := NewTable(func() {})
		tab.Put(entry(2 * time.Second))
		assert.Assert(t, isCold(tab, "s", 0) && !isCold(tab, "s", 2100*time.Millisecond))
		assert.Assert(t, !tab.Put(entry(1900*time.Millisecond)), "a heartbeat that says the same is no change")
		assert.Assert(t, tab.Put(entry(4*time.Second)), "it is cold again")
		assert.Assert(t, isCold(tab, "s", 3*time.Second))
		all := tab.View().All()
		assert.Assert(t, all[0].Cold > 3*time.Second, "passed on to other VMs: %s", all[0].Cold)
	})
	t.Run("a response says so", func(t *testing.T) {
		tab := NewTable(func() {})
		tab.Put(entry(0))
		assert.Assert(t, !isCold(tab, "s", 0))
		tab.MarkCold("s", time.Second, time.Now())
		assert.Assert(t, isCold(tab, "s", 0))
	})
	t.Run("after the end of an evacuation", func(t *testing.T) {
		tab := NewTable(func() {})
		tab.Put(entry(0))
		tab.ApplyEvacuations(NewEvacuations(5, []ident.FailureDomain{"a"}))
		tab.ApplyEvacuations(NewEvacuations(6, nil))
		assert.Assert(t, isCold(tab, "s", 0) && !isCold(tab, "s", coldTime+100*time.Millisecond))
	})
}
