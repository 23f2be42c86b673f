package srvtab

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

func TestEvacuations(t *testing.T) {
	newTable := func() *Table {
		tab := NewTable(func() {})
		for id, domain := range map[string]ident.FailureDomain{"a1": "a", "a2": "a", "b1": "b"} {
			e := server(id)
			e.Domain = domain
			tab.Put(e)
		}
		return tab
	}
	evacuate := func(tab *Table, rev uint64, domains ...ident.FailureDomain) bool {
		return tab.ApplyEvacuations(NewEvacuations(rev, domains))
	}
	t.Run("servers of an evacuated domain get no new work until the evacuation ends", func(t *testing.T) {
		tab := newTable()
		assert.Assert(t, !tab.EvacuationsKnown())
		assert.Assert(t, evacuate(tab, 5, "a"))
		assert.Assert(t, tab.EvacuationsKnown())
		assertUsable(t, tab, "b1")
		assert.Assert(t, !tab.View().Accepts("a1") && tab.View().Accepts("b1"))
		assert.Equal(t, tab.View().EvacuatedOf("s"), 2)
		assert.Assert(t, !isRetired(tab.View().Server("a1")), "calls that already run there may complete")
		assert.Assert(t, evacuate(tab, 6))
		assertUsable(t, tab, "a1", "a2", "b1")
	})
	t.Run("a server that starts in an evacuated domain is not used", func(t *testing.T) {
		tab := newTable()
		evacuate(tab, 5, "a")
		e := server("a3")
		e.Domain = "a"
		tab.Put(e)
		assertUsable(t, tab, "b1")
	})
	t.Run("outdated evacuations are ignored", func(t *testing.T) {
		tab := newTable()
		evacuate(tab, 5, "a")
		assert.Assert(t, !evacuate(tab, 4) && !evacuate(tab, 5, "a", "b"))
		assertUsable(t, tab, "b1")
		assert.Assert(t, !evacuate(tab, 7, "a"), "nothing has changed")
		assert.Equal(t, tab.Evacuations().Rev, uint64(7))
	})
	t.Run("the start of an evacuation is kept while it lasts", func(t *testing.T) {
		tab := newTable()
		evacuate(tab, 5, "a")
		evacuate(tab, 6, "b", "a")
		later := time.Now().Add(time.Minute)
		assert.Assert(t, tab.View().EvacuatedFor("a", later) > tab.View().EvacuatedFor("b", later))
		assert.Equal(t, tab.View().EvacuatedFor("c", later), time.Duration(0))
	})
	t.Run("an unknown server accepts nothing", func(t *testing.T) {
		assert.Assert(t, !newTable().View().Accepts("x"))
	})
}
