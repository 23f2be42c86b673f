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
	t.Run("another VM's word", func(t *testing.T) {
		tab := full()
		assert.DeepEqual(t, tab.Hear([]ident.Server{"a", "unknown"}, false), []ident.Server{"a"})
		usable(t, tab, "b")
		assert.Equal(t, len(tab.Leaving(now)), 0, "hearsay is not told on")
		tab.Hear([]ident.Server{"b"}, true)
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
		tab.Hear([]ident.Server{first.ID}, false)
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
