package follow

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/srvtab"
	"umberladder/internal/state/watch"
)

// streamLifetime is how long ago the streams of these tests may have begun.
const streamLifetime = 20 * time.Second

// versioned returns the entry of a server that runs a version of its software.
func versioned(id ident.Server, v ident.Version) srvtab.Entry {
	return srvtab.Entry{ID: id, Service: "s", Slots: 1, Version: v}
}

// visit has a server of version v2 come and go.
func (s *store) visit() {
	s.put(versioned("visitor", "v2"))
	s.remove(versioned("visitor", "v2"))
}

// assertVersions checks which versions servers have run within streamLifetime to the VM's knowledge,
// and whether it takes them for all.
func (v *vm) assertVersions(t *testing.T, known bool, want ...ident.Version) {
	t.Helper()
	got, ok := v.table.View().VersionsSince("s", time.Now().Add(-streamLifetime))
	slices.Sort(got)
	assert.DeepEqual(t, got, want)
	assert.Equal(t, ok, known, "versions %v are taken for all", got)
}

// TestUnseenVersions guards against a VM that takes the versions it knows for all, although a server
// of another version may have come and gone without its knowledge: a stream that this one began
// would go on at a wrong version. It guards against the other error, too: a VM that has seen all
// changes, or got what it has missed, must not refuse such streams.
func TestUnseenVersions(t *testing.T) {
	run := func(name string, fn func(t *testing.T, s *store, v *vm)) {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.put(versioned("a", "v1"))
			runFollowers(t, s, func(v *vm) {
				time.Sleep(2 * streamLifetime)
				fn(t, s, v)
			})
		})
	}
	// missUpdates has the VM miss the changes up to a revision and notice it.
	missUpdates := func(v *vm, rev Revision) {
		v.servers.ApplyUpdate(Update{Base: rev, Rev: rev}, time.Now())
		time.Sleep(gapTimeout + 200*time.Millisecond)
	}
	run("all changes were seen", func(t *testing.T, s *store, v *vm) {
		v.assertVersions(t, true, "v1")
		s.visit()
		time.Sleep(time.Second)
		v.assertVersions(t, true, "v1", "v2")
	})
	run("the list is copied from a VM that knows no more", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(time.Second)
		v.peerData.Store(&Update{Rev: 60, Changes: []Change{{Rev: 60, Entry: versioned("a", "v1")}}})
		missUpdates(v, 60)
		v.assertVersions(t, false, "v1")
		time.Sleep(2 * streamLifetime)
		v.assertVersions(t, true, "v1")
	})
	run("the list is copied from a VM that has seen all changes", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(time.Second)
		v.peerData.Store(&Update{
			Rev: 60, Changes: []Change{{Rev: 60, Entry: versioned("a", "v1")}},
			History: srvtab.History{Complete: time.Minute, Gone: []srvtab.GoneVersion{{Service: "s", Version: "v2", Ago: time.Second}}},
		})
		missUpdates(v, 60)
		v.assertVersions(t, true, "v1", "v2")
	})
	run("the list is copied from a VM that has seen the changes since before the gap", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(time.Second)
		v.peerData.Store(&Update{Rev: 60, Changes: []Change{{Rev: 60, Entry: versioned("a", "v1")}}, History: srvtab.History{Complete: 5 * time.Second}})
		missUpdates(v, 60)
		v.assertVersions(t, true, "v1")
	})
	run("the list is copied from a VM that joined in the gap", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(2 * time.Second)
		v.peerData.Store(&Update{Rev: 60, Changes: []Change{{Rev: 60, Entry: versioned("a", "v1")}}, History: srvtab.History{Complete: time.Second / 2}})
		missUpdates(v, 60)
		v.assertVersions(t, false, "v1")
	})
	run("the list is read again after the watch failed", func(t *testing.T, s *store, v *vm) {
		s.setDown(true)
		time.Sleep(time.Second)
		s.visit()
		s.setDown(false)
		time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
		v.assertVersions(t, true, "v1", "v2")
	})
	run("nothing came and went while the watch failed", func(t *testing.T, s *store, v *vm) {
		s.setDown(true)
		time.Sleep(5 * time.Second)
		s.setDown(false)
		time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
		v.assertVersions(t, true, "v1")
	})
	run("the store has dropped its history meanwhile", func(t *testing.T, s *store, v *vm) {
		s.setDown(true)
		time.Sleep(time.Second)
		s.visit()
		s.dropHistory()
		s.setDown(false)
		time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
		v.assertVersions(t, false, "v1")
		time.Sleep(2 * streamLifetime)
		v.assertVersions(t, true, "v1")
	})
	run("the store was restored from a copy", func(t *testing.T, s *store, v *vm) {
		c := s.backup()
		s.setDown(true)
		time.Sleep(time.Second)
		s.put(versioned("visitor", "v2"))
		s.restore(c)
		s.setDown(false)
		time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
		v.assertVersions(t, false, "v1")
	})
	run("changes come from a VM that has read a list", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(time.Second)
		rev := v.servers.Revision()
		b := Change{Rev: rev + 9, Entry: versioned("b", "v1")}
		v.servers.ApplyUpdate(Update{Base: rev, Rev: rev + 9, Unseen: rev + 9, Changes: []Change{b}}, time.Now())
		v.assertVersions(t, false, "v1")
		u, ok := v.servers.ChangesSince(rev, time.Now())
		assert.Assert(t, ok && u.Unseen == rev+9, "not passed on: %+v", u)
		u, ok = v.servers.ChangesSince(rev+9, time.Now())
		assert.Assert(t, ok && u.Unseen == 0, "a VM that knows the list has no gap: %+v", u)
	})
	run("changes come from a VM that had read a list before", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(time.Second)
		rev := v.servers.Revision()
		v.servers.ApplyUpdate(Update{Base: rev - 1, Rev: rev + 1, Unseen: rev, Changes: []Change{{Rev: rev + 1, Entry: versioned("b", "v1")}}}, time.Now())
		v.assertVersions(t, true, "v1")
	})
	run("changes are missing that another VM knows", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(time.Second)
		assert.Assert(t, v.servers.VersionsAge() < time.Minute)
		rev := v.servers.Revision()
		v.servers.ApplyUpdate(Update{Base: rev + 1, Rev: rev + 2}, time.Now())
		assert.Assert(t, v.servers.VersionsAge() > time.Hour)
		v.servers.ApplyUpdate(Update{Base: rev, Rev: rev + 2}, time.Now())
		assert.Assert(t, v.servers.VersionsAge() < time.Minute)
	})
}

// TestHistoryOfSnapshot guards against VMs that join and know nothing of the versions of the time
// before, although the VM from which they copied the servers does.
func TestHistoryOfSnapshot(t *testing.T) {
	s := newStore()
	s.put(versioned("a", "v1"))
	runFollowers(t, s, func(v *vm) {
		time.Sleep(streamLifetime)
		s.visit()
		time.Sleep(time.Second)
		u, ok := v.servers.Snapshot()
		assert.Assert(t, ok)
		assert.Assert(t, u.History.Complete >= streamLifetime, "%s", u.History.Complete)
		assert.Equal(t, len(u.History.Gone), 1)
		g := u.History.Gone[0]
		assert.Assert(t, g.Service == "s" && g.Version == "v2" && g.Ago <= time.Second, "%+v", g)
	})
}
