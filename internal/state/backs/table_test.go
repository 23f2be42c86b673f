package backs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

func server(id string) Entry { return Entry{ID: ident.Server(id), Service: "s", Slots: 6} }

// usable fails the test unless the servers that take work are just these.
func usable(t *testing.T, tab *Table, want ...string) {
	t.Helper()
	got := map[ident.Server]bool{}
	for _, s := range tab.View().Service("s") {
		got[s.ID] = true
	}
	assert.Equal(t, len(got), len(want), "%v", got)
	for _, id := range want {
		assert.Assert(t, got[ident.Server(id)], "%s takes no work", id)
	}
}

func left(s *Server) bool {
	select {
	case <-s.Leave():
		return true
	default:
		return false
	}
}

func TestTable(t *testing.T) {
	now := time.Now()
	told := 0
	full := func() *Table {
		told = 0
		tab := NewTable(func() { told++ })
		tab.Put(server("a"))
		tab.Put(server("b"))
		return tab
	}
	t.Run("a heartbeat changes nothing", func(t *testing.T) {
		assert.Assert(t, !full().Put(server("a")))
	})
	t.Run("a leaving server takes no work and never comes back", func(t *testing.T) {
		tab := full()
		s := tab.View().Server("a")
		e := server("a")
		e.Leaving = true
		tab.Put(e)
		tab.Put(server("a"))
		usable(t, tab, "b")
		assert.Assert(t, left(s))
		assert.Equal(t, told, 1)
		assert.DeepEqual(t, tab.Leaving(now), []ident.Server{"a"})
		assert.Equal(t, len(tab.Leaving(now.Add(time.Minute))), 0)
	})
	t.Run("a removed entry ends its server", func(t *testing.T) {
		tab := full()
		s := tab.View().Server("a")
		tab.Remove("a", time.Time{}, now)
		usable(t, tab, "b")
		assert.Assert(t, left(s))
	})
	t.Run("an entry that lapses in an outage says nothing for a while", func(t *testing.T) {
		tab := full()
		until := now.Add(ReturnTime)
		tab.Remove("a", until, now)
		usable(t, tab, "a", "b")
		assert.Equal(t, len(tab.Expire(until.Add(-1))), 0)
		assert.DeepEqual(t, tab.Expire(until), []ident.Server{"a"})
		usable(t, tab, "b")
		assert.Equal(t, told, 0, "a lapsed entry is no news for others")
	})
	t.Run("an entry that lapsed comes back", func(t *testing.T) {
		tab := full()
		until := now.Add(ReturnTime)
		tab.Replace([]Entry{server("b")}, until, now)
		tab.Put(server("a"))
		assert.Equal(t, len(tab.Expire(until)), 0)
		usable(t, tab, "a", "b")
	})
	t.Run("a list without outage removes what is missing", func(t *testing.T) {
		tab := full()
		tab.Replace([]Entry{server("b"), server("c")}, time.Time{}, now)
		usable(t, tab, "b", "c")
	})
	t.Run("a removal seen by another VM does not undo a later entry", func(t *testing.T) {
		other, tab := full(), full()
		other.Remove("a", time.Time{}, now)
		tab.Remove("a", now.Add(ReturnTime), now)
		tab.Put(server("a"))
		tab.Receive(other.Leaving(now), true)
		usable(t, tab, "a", "b")
	})
	t.Run("another VM's word", func(t *testing.T) {
		tab := full()
		assert.DeepEqual(t, tab.Receive([]ident.Server{"a", "unknown"}, false), []ident.Server{"a"})
		usable(t, tab, "b")
		assert.Equal(t, len(tab.Leaving(now)), 0, "hearsay is not told on")
		tab.Receive([]ident.Server{"b"}, true)
		assert.DeepEqual(t, tab.Leaving(now), []ident.Server{"b"}) // but by a hub
	})
}

// start is the entry of one start of the server a.
func start(ms int64) Entry {
	return Entry{ID: ident.NewServer("a", time.UnixMilli(ms)), Service: "s", Slots: 6}
}

func TestStartsUnderOneName(t *testing.T) {
	now := time.Now()
	first, second := start(1000), start(2000)
	full := func() (*Table, *Server) {
		tab := NewTable(func() {})
		tab.Put(first)
		return tab, tab.View().Server(first.ID)
	}
	t.Run("a later start ends the earlier one", func(t *testing.T) {
		tab, old := full()
		assert.Assert(t, tab.Put(second))
		usable(t, tab, string(second.ID))
		assert.Assert(t, left(old), "runs at the earlier start are over")
		assert.Assert(t, !left(tab.View().Server(second.ID)))
		assert.DeepEqual(t, tab.Leaving(now), []ident.Server{first.ID})
	})
	t.Run("news of the earlier start come late", func(t *testing.T) {
		tab, _ := full()
		tab.Put(second)
		assert.Assert(t, !tab.Put(first))
		tab.Receive([]ident.Server{first.ID}, false)
		tab.Replace([]Entry{first}, time.Time{}, now)
		usable(t, tab, string(second.ID))
	})
	t.Run("a server that was leaving starts again", func(t *testing.T) {
		tab, _ := full()
		e := first
		e.Leaving = true
		tab.Put(e)
		usable(t, tab)
		tab.Put(second)
		usable(t, tab, string(second.ID))
	})
	t.Run("an entry lapses in an outage and comes back with a later start", func(t *testing.T) {
		tab, old := full()
		until := now.Add(ReturnTime)
		tab.Remove("a", until, now)
		tab.Put(second)
		assert.Equal(t, len(tab.Expire(until)), 0)
		usable(t, tab, string(second.ID))
		assert.Assert(t, left(old))
	})
	t.Run("the entry is removed whatever the start", func(t *testing.T) {
		tab, _ := full()
		tab.Put(second)
		tab.Remove("a", time.Time{}, now)
		usable(t, tab)
	})
}

// TestDrains has servers announce themselves that they drain, while entries say for a
// while, or again, that they are ready.
func TestDrains(t *testing.T) {
	now := time.Now()
	ready := func(id ident.Server) Entry { return Entry{ID: id, Service: "s"} }
	setup := func() *Table {
		table := NewTable(func() {})
		table.Put(ready("a"))
		table.Put(ready("b"))
		return table
	}
	inUse := func(t *testing.T, table *Table, want int) {
		t.Helper()
		assert.Equal(t, len(table.View().Service("s")), want)
	}
	t.Run("its entry does not bring it back", func(t *testing.T) {
		table := setup()
		leave := table.View().Server("a").Leave()
		assert.Assert(t, table.Drain("a", now))
		assert.Assert(t, !table.Drain("a", now), "it is known")
		<-leave
		inUse(t, table, 1)
		table.Put(ready("a"))
		table.Replace([]Entry{ready("a"), ready("b")}, time.Time{}, now)
		inUse(t, table, 1)
		table.Remove("a", time.Time{}, now)
		table.Put(ready("a"))
		inUse(t, table, 1)
	})
	t.Run("nor does an older entry once a later one said so", func(t *testing.T) {
		table := setup()
		table.Put(Entry{ID: "a", Service: "s", Leaving: true})
		table.Remove("a", time.Time{}, now)
		table.Put(ready("a"))
		inUse(t, table, 1)
	})
	t.Run("one whose entry lapsed comes back", func(t *testing.T) {
		table := setup()
		table.Remove("a", time.Time{}, now)
		table.Put(ready("a"))
		inUse(t, table, 2)
	})
	t.Run("it is announced until its entry says so", func(t *testing.T) {
		table := setup()
		table.Drain("a", now)
		later := now.Add(10 * newsTime)
		assert.DeepEqual(t, table.Draining(later), []ident.Server{"a"})
		table.Put(Entry{ID: "a", Service: "s", Leaving: true})
		assert.Equal(t, len(table.Draining(later)), 0)
	})
	t.Run("what another VM reports is passed on if asked for", func(t *testing.T) {
		table := setup()
		assert.DeepEqual(t, table.Drains([]ident.Server{"a"}, false, now), []ident.Server{"a"})
		inUse(t, table, 1)
		assert.Equal(t, len(table.Draining(now)), 0)
		assert.Equal(t, len(table.Drains([]ident.Server{"a"}, true, now)), 0)
		assert.DeepEqual(t, table.Draining(now), []ident.Server{"a"})
	})
	t.Run("one that is not known yet", func(t *testing.T) {
		table := setup()
		table.Drains([]ident.Server{"c"}, false, now)
		table.Put(ready("c"))
		inUse(t, table, 2)
	})
}
