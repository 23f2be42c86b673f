package follow

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
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

// restartInPlace has a server start again, with each of the versions in turn: its entry is written
// over the one of the instance before.
func (s *store) restartInPlace(name string, versions ...ident.Version) {
	for _, v := range versions {
		time.Sleep(time.Millisecond) // start times differ
		e := versioned(ident.NewServer(name, time.Now()), v)
		s.change(func() {
			maps.DeleteFunc(s.servers, func(id ident.Server, _ srvtab.Entry) bool { return id.Name() == name })
			s.servers[e.ID] = e
			s.changes = append(s.changes, Change{Rev: s.rev, Entry: e})
		})
	}
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
	run("a server started again in place with another version, and again with the first", func(t *testing.T, s *store, v *vm) {
		s.restartInPlace("a", "v2", "v1")
		time.Sleep(time.Second)
		v.assertVersions(t, true, "v1", "v2")
	})
	run("a server started again in place with another version, and again with the first, while the watch failed", func(t *testing.T, s *store, v *vm) {
		s.setDown(true)
		time.Sleep(time.Second)
		s.restartInPlace("a", "v2", "v1")
		s.setDown(false)
		time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
		v.assertVersions(t, true, "v1", "v2")
	})
	run("a server started again in place with its version while the watch failed", func(t *testing.T, s *store, v *vm) {
		s.setDown(true)
		time.Sleep(time.Second)
		s.restartInPlace("a", "v1", "v1")
		s.setDown(false)
		time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
		v.assertVersions(t, true, "v1")
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
	run("the store sends the changes in several responses after the watch failed", func(t *testing.T, s *store, v *vm) {
		s.change(func() { s.maxEvents = 1 })
		s.setDown(true)
		time.Sleep(time.Second)
		s.put(versioned("b", "v1"))
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
	run("changes are missing until the list is copied", func(t *testing.T, _ *store, v *vm) {
		v.receivesUpdates.Store(true)
		time.Sleep(time.Second)
		rev := v.servers.Revision()
		v.servers.ApplyUpdate(Update{Base: rev, Rev: rev}, time.Now())
		v.servers.ApplyUpdate(Update{Base: rev + 1, Rev: rev + 2}, time.Now())
		time.Sleep(gapTimeout + 150*time.Millisecond)
		assert.Equal(t, v.servers.Revision(), Revision(0), "the list is requested")
		assert.Assert(t, v.servers.VersionsAge() > time.Hour, "%s", v.servers.VersionsAge())
		v.peerData.Store(&Update{Rev: rev, Changes: []Change{{Rev: rev, Entry: versioned("a", "v1")}}})
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, v.servers.Revision(), rev, "copied from a VM that lacks the changes, too")
		assert.Assert(t, v.servers.VersionsAge() > time.Hour, "%s", v.servers.VersionsAge())
		v.servers.ApplyUpdate(Update{Base: rev, Rev: rev + 2}, time.Now())
		assert.Assert(t, v.servers.VersionsAge() < time.Minute)
	})
}

// TestVersionsOfJoiningVM guards against a VM that joins just after a version came and went, and
// takes the versions in the list that it copies for all. If the other VM has seen them come and go,
// the joining one must know all versions at once, so that it refuses no stream without need.
func TestVersionsOfJoiningVM(t *testing.T) {
	for name, tc := range map[string]struct {
		visited bool
		seenFor time.Duration // for how long the other VM has known all versions
		known   bool
		want    []ident.Version
	}{
		"another version came and went":                {visited: true, seenFor: 2 * streamLifetime, known: true, want: []ident.Version{"v1", "v2"}},
		"there was one version":                        {seenFor: 2 * streamLifetime, known: true, want: []ident.Version{"v1"}},
		"the other VM started after a version's visit": {seenFor: streamLifetime / 2, want: []ident.Version{"v1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			s.put(versioned("a", "v1"))
			runFollowers(t, s, func(v *vm) {
				time.Sleep(tc.seenFor)
				if tc.visited {
					s.visit()
				}
				time.Sleep(time.Second)
				u, ok := v.servers.Snapshot()
				assert.Assert(t, ok)
				joining := &vm{table: srvtab.NewTable(func() {}), clock: v.clock}
				joining.peerData.Store(&u)
				never := func() bool { return false }
				joining.servers = NewServerFollower(s, joining.table, testHeartbeat, v.clock, never, never, never, func() {}, joining.fetch, zap.NewNop())
				assert.Assert(t, joining.servers.copyFromPeer(context.Background()))
				joining.assertVersions(t, tc.known, tc.want...)
			})
		})
	}
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
