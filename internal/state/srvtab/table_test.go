package srvtab

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

func server(id string) Entry { return Entry{ID: ident.Server(id), Service: "s", Slots: 6} }

// assertUsable fails the test unless exactly the given servers accept new work.
func assertUsable(t *testing.T, tab *Table, want ...string) {
	t.Helper()
	got := map[ident.Server]bool{}
	for _, s := range tab.View().ServersOf("s") {
		got[s.ID] = true
	}
	assert.Equal(t, len(got), len(want), "%v", got)
	for _, id := range want {
		assert.Assert(t, got[ident.Server(id)], "%s accepts no work", id)
	}
}

func isRetired(s *Server) bool {
	select {
	case <-s.Retired():
		return true
	default:
		return false
	}
}

func TestTable(t *testing.T) {
	now := time.Now()
	announced := 0
	newTable := func() *Table {
		announced = 0
		tab := NewTable(func() { announced++ })
		tab.Put(server("a"))
		tab.Put(server("b"))
		return tab
	}
	t.Run("an unchanged entry is not reported as a change", func(t *testing.T) {
		assert.Assert(t, !newTable().Put(server("a")))
	})
	t.Run("a draining server accepts no new work and does not return", func(t *testing.T) {
		tab := newTable()
		s := tab.View().Server("a")
		e := server("a")
		e.Draining = true
		tab.Put(e)
		tab.Put(server("a"))
		assertUsable(t, tab, "b")
		assert.Assert(t, isRetired(s))
		assert.Equal(t, announced, 0, "other VMs receive the entry")
		assert.Equal(t, len(tab.RetiredToAnnounce(now)), 0)
	})
	t.Run("a replaced server is announced for some time", func(t *testing.T) {
		tab := newTable()
		assert.Assert(t, tab.MarkReplaced("a"))
		assert.Equal(t, announced, 1)
		assert.DeepEqual(t, tab.RetiredToAnnounce(now), []ident.Server{"a"})
		assert.Equal(t, len(tab.RetiredToAnnounce(now.Add(time.Minute))), 0)
	})
	t.Run("removing an entry retires its server", func(t *testing.T) {
		tab := newTable()
		s := tab.View().Server("a")
		tab.Remove("a", time.Time{}, now)
		assertUsable(t, tab, "b")
		assert.Assert(t, isRetired(s))
	})
	t.Run("a server stays usable for the grace period after its entry expires in an outage", func(t *testing.T) {
		tab := newTable()
		until := now.Add(ReregisterTime)
		tab.Remove("a", until, now)
		assertUsable(t, tab, "a", "b")
		assert.Equal(t, len(tab.Expire(until.Add(-1))), 0)
		assert.DeepEqual(t, tab.Expire(until), []ident.Server{"a"})
		assertUsable(t, tab, "b")
		assert.Equal(t, announced, 0, "an expired entry is not announced to other VMs")
	})
	t.Run("an expired entry is written again", func(t *testing.T) {
		tab := newTable()
		until := now.Add(ReregisterTime)
		tab.Replace([]Entry{server("b")}, until, now)
		tab.Put(server("a"))
		assert.Equal(t, len(tab.Expire(until)), 0)
		assertUsable(t, tab, "a", "b")
	})
	t.Run("a list read without an outage removes the missing servers", func(t *testing.T) {
		tab := newTable()
		tab.Replace([]Entry{server("b"), server("c")}, time.Time{}, now)
		assertUsable(t, tab, "b", "c")
	})
	t.Run("a removal seen by another VM does not override a later entry", func(t *testing.T) {
		other, tab := newTable(), newTable()
		other.Remove("a", time.Time{}, now)
		tab.Remove("a", now.Add(ReregisterTime), now)
		tab.Put(server("a"))
		tab.ApplyRetired(other.RetiredToAnnounce(now), true)
		assertUsable(t, tab, "a", "b")
	})
	t.Run("retired servers reported by another VM", func(t *testing.T) {
		tab := newTable()
		assert.DeepEqual(t, tab.ApplyRetired([]ident.Server{"a", "unknown"}, false), []ident.Server{"a"})
		assertUsable(t, tab, "b")
		assert.Equal(t, len(tab.RetiredToAnnounce(now)), 0, "reports are not forwarded")
		tab.ApplyRetired([]ident.Server{"b"}, true)
		assert.DeepEqual(t, tab.RetiredToAnnounce(now), []ident.Server{"b"}) // a hub forwards them
	})
}

// startEntry returns the entry of the instance of server a that started at the given
// Unix time in ms.
func startEntry(ms int64) Entry {
	return Entry{ID: ident.NewServer("a", time.UnixMilli(ms)), Service: "s", Slots: 6}
}

func TestStartsUnderOneName(t *testing.T) {
	now := time.Now()
	first, second := startEntry(1000), startEntry(2000)
	newTable := func() (*Table, *Server) {
		tab := NewTable(func() {})
		tab.Put(first)
		return tab, tab.View().Server(first.ID)
	}
	t.Run("a later instance replaces the earlier one", func(t *testing.T) {
		tab, old := newTable()
		assert.Assert(t, tab.Put(second))
		assertUsable(t, tab, string(second.ID))
		assert.Assert(t, isRetired(old), "calls running on the earlier instance have ended")
		assert.Assert(t, !isRetired(tab.View().Server(second.ID)))
		assert.Equal(t, len(tab.RetiredToAnnounce(now)), 0, "other VMs receive the entry of the later instance")
	})
	t.Run("late updates about the earlier instance are ignored", func(t *testing.T) {
		tab, _ := newTable()
		tab.Put(second)
		assert.Assert(t, !tab.Put(first))
		tab.ApplyRetired([]ident.Server{first.ID}, false)
		tab.Replace([]Entry{first}, time.Time{}, now)
		assertUsable(t, tab, string(second.ID))
	})
	t.Run("a server that was draining starts again", func(t *testing.T) {
		tab, _ := newTable()
		e := first
		e.Draining = true
		tab.Put(e)
		assertUsable(t, tab)
		tab.Put(second)
		assertUsable(t, tab, string(second.ID))
	})
	t.Run("an entry that expired in an outage is written again by a later instance", func(t *testing.T) {
		tab, old := newTable()
		until := now.Add(ReregisterTime)
		tab.Remove("a", until, now)
		tab.Put(second)
		assert.Equal(t, len(tab.Expire(until)), 0)
		assertUsable(t, tab, string(second.ID))
		assert.Assert(t, isRetired(old))
	})
	t.Run("removal by name applies to any instance", func(t *testing.T) {
		tab, _ := newTable()
		tab.Put(second)
		tab.Remove("a", time.Time{}, now)
		assertUsable(t, tab)
	})
}

// TestDrains guards against a draining server being used again because of an outdated
// entry. Servers report their drain themselves, while their entries still show them as
// ready.
func TestDrains(t *testing.T) {
	now := time.Now()
	ready := func(id ident.Server) Entry { return Entry{ID: id, Service: "s"} }
	newTable := func() *Table {
		table := NewTable(func() {})
		table.Put(ready("a"))
		table.Put(ready("b"))
		return table
	}
	assertInUse := func(t *testing.T, table *Table, want int) {
		t.Helper()
		assert.Equal(t, len(table.View().ServersOf("s")), want)
	}
	t.Run("an entry that shows it as ready does not return it to service", func(t *testing.T) {
		table := newTable()
		leave := table.View().Server("a").Retired()
		assert.Assert(t, table.MarkDraining("a", now))
		assert.Assert(t, !table.MarkDraining("a", now), "the drain is already known")
		<-leave
		assertInUse(t, table, 1)
		table.Put(ready("a"))
		table.Replace([]Entry{ready("a"), ready("b")}, time.Time{}, now)
		assertInUse(t, table, 1)
		table.Remove("a", time.Time{}, now)
		table.Put(ready("a"))
		assertInUse(t, table, 1)
	})
	t.Run("an outdated entry does not override one that marked it as draining", func(t *testing.T) {
		table := newTable()
		table.Put(Entry{ID: "a", Service: "s", Draining: true})
		table.Remove("a", time.Time{}, now)
		table.Put(ready("a"))
		assertInUse(t, table, 1)
	})
	t.Run("a server whose entry expired returns to service", func(t *testing.T) {
		table := newTable()
		table.Remove("a", time.Time{}, now)
		table.Put(ready("a"))
		assertInUse(t, table, 2)
	})
	t.Run("a drain is announced until the entry confirms it", func(t *testing.T) {
		table := newTable()
		table.MarkDraining("a", now)
		later := now.Add(10 * retireAnnounceTime)
		assert.DeepEqual(t, table.DrainsToAnnounce(later), []ident.Server{"a"})
		table.Put(Entry{ID: "a", Service: "s", Draining: true})
		assert.Equal(t, len(table.DrainsToAnnounce(later)), 0)
	})
	t.Run("a reported drain is forwarded on request", func(t *testing.T) {
		table := newTable()
		assert.DeepEqual(t, table.MarkAllDraining([]ident.Server{"a"}, false, now), []ident.Server{"a"})
		assertInUse(t, table, 1)
		assert.Equal(t, len(table.DrainsToAnnounce(now)), 0)
		assert.Equal(t, len(table.MarkAllDraining([]ident.Server{"a"}, true, now)), 0)
		assert.DeepEqual(t, table.DrainsToAnnounce(now), []ident.Server{"a"})
	})
	t.Run("a drain reported before the server is known", func(t *testing.T) {
		table := newTable()
		table.MarkAllDraining([]ident.Server{"c"}, false, now)
		table.Put(ready("c"))
		assertInUse(t, table, 2)
	})
}
