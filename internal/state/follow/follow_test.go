package follow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
	"umberladder/internal/state/watch"
)

// testHeartbeat is the interval at which servers write their entries.
const testHeartbeat = 1200 * time.Millisecond

// store is a fake of the platform's store that runs in virtual time.
type store struct {
	mu        sync.Mutex
	down      bool
	rev       Revision
	version   uint64
	servers   map[ident.Server]srvtab.Entry
	changes   []Change
	domains   map[ident.FailureDomain]bool
	orders    []domainOrder // starts and ends of evacuations
	oldest    Revision      // oldest revision in the history
	calls     atomic.Int64
	listReads atomic.Int64 // complete lists of servers
	maxEvents int          // changes in one response; zero: unlimited
	changed   chan struct{}
}

var (
	errDown    = errors.New("down")
	errHistory = errors.New("history gone")
)

func newStore() *store {
	return &store{version: 1, rev: 1, servers: make(map[ident.Server]srvtab.Entry), changed: make(chan struct{})}
}

func (s *store) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(e srvtab.Entry) {
	s.change(func() {
		s.servers[e.ID] = e
		s.changes = append(s.changes, Change{Rev: s.rev, Entry: e})
	})
}

func (s *store) remove(e srvtab.Entry) {
	s.change(func() {
		delete(s.servers, e.ID)
		s.changes = append(s.changes, Change{Rev: s.rev, Gone: true, Entry: srvtab.Entry{ID: e.ID}})
	})
}

// backup is the content of a backup copy of the store.
type backup struct {
	rev     Revision
	version uint64
	servers map[ident.Server]srvtab.Entry
}

func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{rev: s.rev, version: s.version, servers: maps.Clone(s.servers)}
}

// restore replaces the store's content with a backup copy, in a new era.
func (s *store) restore(c backup) {
	s.change(func() {
		s.rev = NewRevision(s.rev.Era()+1, c.rev.Count())
		s.version, s.servers, s.changes = c.version, maps.Clone(c.servers), nil
	})
}

// dropHistory drops the history of changes.
func (s *store) dropHistory() { s.change(func() { s.oldest, s.changes = s.rev, nil }) }

func (s *store) setDown(down bool) { s.change(func() { s.down = down }) }

func (s *store) state() (Revision, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Add(1)
	if s.down {
		return 0, 0, errDown
	}
	return s.rev, s.version, nil
}

func (s *store) Settings(context.Context) (OperatorState, Revision, error) {
	rev, version, err := s.state()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := OperatorState{Evacuated: slices.Collect(maps.Keys(s.domains))}
	if version != 0 {
		state.Settings = routes.New(routes.Parts{Version: version})
	}
	return state, rev, err
}

// domainOrder is the start or the end of an evacuation at a revision.
type domainOrder struct {
	DomainChange
	rev Revision
}

// evacuate starts or ends the evacuation of a failure domain.
func (s *store) evacuate(d ident.FailureDomain, evacuated bool) {
	s.change(func() {
		if s.domains == nil {
			s.domains = make(map[ident.FailureDomain]bool)
		}
		delete(s.domains, d)
		if evacuated {
			s.domains[d] = true
		}
		s.orders = append(s.orders, domainOrder{DomainChange: DomainChange{Domain: d, Evacuated: evacuated}, rev: s.rev})
	})
}

func (s *store) Decode(data []byte) (*routes.Snapshot, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return routes.New(routes.Parts{Version: version}), nil
}

func (s *store) Servers(context.Context) ([]srvtab.Entry, Revision, error) {
	s.listReads.Add(1)
	rev, _, err := s.state()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []srvtab.Entry
	for _, e := range s.servers {
		out = append(out, e)
	}
	return out, rev, err
}

// awaitChange waits for a change after a revision, for the duration of wait.
func (s *store) awaitChange(ctx context.Context, after Revision, wait time.Duration) (Revision, uint64, error) {
	end := time.After(wait)
	for {
		rev, version, err := s.state()
		s.mu.Lock()
		changed, compacted := s.changed, after < s.oldest
		s.mu.Unlock()
		switch {
		case compacted:
			return 0, 0, errHistory
		case rev.Era() > after.Era():
			return 0, 0, ErrNewEra
		case err != nil || rev > after:
			return rev, version, err
		}
		select {
		case <-changed:
		case <-end:
			return rev, version, nil
		case <-ctx.Done():
			return 0, 0, ctx.Err()
		}
	}
}

func (s *store) AwaitSettings(ctx context.Context, after Revision, wait time.Duration) (OperatorChanges, Revision, error) {
	rev, version, err := s.awaitChange(ctx, after, wait)
	if err != nil || rev == after {
		return OperatorChanges{}, rev, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := OperatorChanges{Settings: routes.New(routes.Parts{Version: version})}
	for _, o := range s.orders {
		if o.rev > after {
			changes.Domains = append(changes.Domains, o.DomainChange)
		}
	}
	return changes, rev, nil
}

func (s *store) AwaitServers(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	rev, _, err := s.awaitChange(ctx, after, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for _, c := range s.changes {
		if c.Rev > after {
			out = append(out, c)
		}
	}
	if s.maxEvents > 0 && len(out) > s.maxEvents {
		out = out[:s.maxEvents]
		rev = out[len(out)-1].Rev
	}
	return out, rev, err
}

// vm is a VM whose followers track a store.
type vm struct {
	current         *routes.Current
	table           *srvtab.Table
	settings        *SettingsFollower
	servers         *ServerFollower
	receivesUpdates atomic.Bool
	changes         atomic.Int64
	peerData        atomic.Pointer[Update] // servers that another VM provides; nil: there is none
	peersBusy       atomic.Bool            // other VMs have servers and are busy sending them
	clock           uptime.Clock
	suspended       atomic.Int64 // suspended time, which only clock includes
}

func (v *vm) fetch(context.Context) (Update, error) {
	if u := v.peerData.Load(); u != nil {
		return *u, nil
	}
	if v.peersBusy.Load() {
		return Update{}, ErrPeersBusy
	}
	return Update{}, ErrNoPeer
}

func runFollowers(t *testing.T, s *store, f func(v *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.changed = make(chan struct{}) // must belong to the synctest bubble, so that its virtual time advances
		start := time.Now()
		v := &vm{}
		v.clock = func() uptime.Instant {
			return uptime.Instant(time.Since(start) + time.Hour + time.Duration(v.suspended.Load()))
		}
		v.current = routes.NewCurrent(v.clock)
		v.table = srvtab.NewTable(func() {})
		receivesUpdates := v.receivesUpdates.Load
		always := func() bool { return true }
		v.settings = NewSettingsFollower(s, v.current, v.table, v.clock, receivesUpdates, always, func() { v.changes.Add(1) }, zap.NewNop())
		v.servers = NewServerFollower(s, v.table, testHeartbeat, v.clock, receivesUpdates, always, always, func() { v.changes.Add(1) }, v.fetch, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var g errgroup.Group
		for _, run := range []func(context.Context){v.settings.Run, v.servers.Run, v.servers.Expire} {
			g.Go(func() error {
				run(ctx)
				return nil
			})
		}
		time.Sleep(time.Second)
		f(v)
		cancel()
		_ = g.Wait()
	})
}

// compressed returns a document in the form in which VMs share it.
func compressed(t *testing.T, text string) []byte {
	t.Helper()
	b, err := routes.NewDocument([]byte(text)).Compressed()
	assert.NilError(t, err)
	return b
}

func entry(n int) srvtab.Entry {
	return srvtab.Entry{ID: ident.Server(fmt.Sprint(n)), Service: "s", Slots: 1}
}

// assertUsable fails the test unless exactly n servers accept new work.
func (v *vm) assertUsable(t *testing.T, n int, what string) {
	t.Helper()
	assert.Equal(t, len(v.table.View().ServersOf("s")), n, what)
}

func TestFollow(t *testing.T) {
	t.Run("changes take effect immediately", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			s.put(entry(1))
			s.change(func() { s.version = 7 })
			time.Sleep(leadBatchDelay + time.Millisecond)
			v.assertUsable(t, 1, "the server is added")
			assert.Equal(t, v.changes.Load(), int64(3), "three changes to send: the first settings, a server, newer settings")
			assert.Equal(t, v.current.Load().Version, uint64(7))
			e := entry(1)
			e.Draining = true
			s.put(e)
			time.Sleep(leadBatchDelay + time.Millisecond)
			v.assertUsable(t, 0, "the server is draining")
		})
	})
	t.Run("the settings' age stays below the duration of a wait", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				assert.Assert(t, v.current.Age() <= settingsWait+100*time.Millisecond, "%s", v.current.Age())
			}
			s.setDown(true)
			time.Sleep(5 * time.Second)
			assert.Assert(t, v.current.Age() >= 5*time.Second, "a store that is down confirms no settings")
			s.setDown(false)
			time.Sleep(watch.MaxBackoff + time.Millisecond)
			assert.Assert(t, v.current.Age() <= watch.MaxBackoff)
		})
	})
	t.Run("entries that expire in an outage stay until 2 s after it", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		s.put(entry(2))
		runFollowers(t, s, func(v *vm) {
			s.setDown(true)
			time.Sleep(3 * time.Second)
			s.mu.Lock()
			s.servers = map[ident.Server]srvtab.Entry{}
			s.mu.Unlock()
			s.setDown(false)
			time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
			v.assertUsable(t, 2, "the store has just recovered")
			s.put(entry(1))
			time.Sleep(srvtab.ReregisterTime)
			v.assertUsable(t, 1, "one entry was written again, the other server is gone")
		})
	})
	t.Run("entries that expired in an unnoticed outage stay until 2 s after it", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		s.put(entry(2))
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true) // other VMs read the store for this one
			time.Sleep(time.Second)
			s.setDown(true)
			time.Sleep(4 * time.Second)
			s.setDown(false)
			s.remove(entry(1))
			s.remove(entry(2))
			v.receivesUpdates.Store(false)
			time.Sleep(leadBatchDelay)
			v.assertUsable(t, 2, "the store has just recovered")
			u, ok := v.servers.RecentChanges(time.Now())
			assert.Assert(t, ok && len(u.Changes) == 2, "%+v", u)
			for _, c := range u.Changes {
				assert.Assert(t, c.Grace > 0, "the change must tell other VMs that the entry may have expired: %+v", c)
			}
			s.put(entry(1))
			time.Sleep(srvtab.ReregisterTime)
			v.assertUsable(t, 1, "one entry was written again, the other server is gone")
			s.remove(entry(1))
			time.Sleep(leadBatchDelay + time.Millisecond)
			v.assertUsable(t, 0, "later removals take effect immediately")
		})
	})
	t.Run("a removal after an outage in which no entry can expire takes effect immediately", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		s.put(entry(2))
		runFollowers(t, s, func(v *vm) {
			s.setDown(true)
			time.Sleep(800 * time.Millisecond)
			s.remove(entry(1))
			s.setDown(false)
			time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
			v.assertUsable(t, 1, "the entry was removed in the outage")
			s.remove(entry(2))
			time.Sleep(leadBatchDelay + time.Millisecond)
			v.assertUsable(t, 0, "the entry was removed after the outage")
		})
	})
	t.Run("everything is read again if the store's history was compacted", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		runFollowers(t, s, func(v *vm) {
			s.change(func() {
				s.oldest = s.rev
				s.servers = map[ident.Server]srvtab.Entry{"2": entry(2)}
			})
			time.Sleep(3 * time.Second)
			v.assertUsable(t, 1, "the server whose change was missed")
			assert.Assert(t, v.table.View().Server("2") != nil)
		})
	})
}

// TestEra guards against outdated data taking effect after the store is restored from a
// backup copy. Changes made after the copy are lost until operators and servers write
// them again.
func TestEra(t *testing.T) {
	withRestore := func(t *testing.T, f func(s *store, v *vm)) {
		s := newStore()
		s.put(entry(1))
		s.put(entry(2))
		runFollowers(t, s, func(v *vm) {
			c := s.backup()
			s.remove(entry(1))
			s.put(entry(3))
			s.change(func() { s.version = 9 })
			time.Sleep(time.Second)
			assert.Equal(t, v.current.Load().Version, uint64(9))
			s.restore(c)
			f(s, v)
		})
	}
	t.Run("servers that had ended are not used, and running servers stay", func(t *testing.T) {
		withRestore(t, func(s *store, v *vm) {
			time.Sleep(time.Second)
			v.assertUsable(t, 2, "the server missing from the copy may write its entry again")
			assert.Assert(t, v.table.View().Server("1") == nil, "its entry in the copy is outdated")
			s.put(entry(2))
			s.put(entry(3))
			time.Sleep(srvtab.ReregisterTime + time.Second)
			v.assertUsable(t, 2, "both wrote their entries again")
		})
	})
	t.Run("a server that does not write its entry again is gone", func(t *testing.T) {
		withRestore(t, func(s *store, v *vm) {
			s.put(entry(2))
			time.Sleep(srvtab.ReregisterTime + time.Second)
			v.assertUsable(t, 1, "the other server has ended")
		})
	})
	t.Run("a server that had ended and starts again is used", func(t *testing.T) {
		withRestore(t, func(s *store, v *vm) {
			time.Sleep(time.Second)
			s.put(entry(1))
			time.Sleep(time.Second)
			assert.Assert(t, v.table.View().Server("1") != nil)
		})
	})
	t.Run("settings are neither reverted nor confirmed by an older version", func(t *testing.T) {
		withRestore(t, func(s *store, v *vm) {
			time.Sleep(srvtab.ReregisterTime + 2*time.Second)
			assert.Equal(t, v.current.Load().Version, uint64(9))
			assert.Assert(t, v.current.Age() > srvtab.ReregisterTime, "the store does not hold the latest settings")
			s.change(func() { s.version = 9 })
			time.Sleep(time.Second)
			assert.Assert(t, v.current.Age() <= settingsWait+100*time.Millisecond, "%s", v.current.Age())
		})
	})
	t.Run("settings are not confirmed while a lost version may be written again", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			s.restore(s.backup()) // nothing that this VM knows was lost
			time.Sleep(srvtab.ReregisterTime - 100*time.Millisecond)
			assert.Assert(t, v.current.Age() >= srvtab.ReregisterTime-200*time.Millisecond, "%s", v.current.Age())
			time.Sleep(time.Second)
			assert.Assert(t, v.current.Age() <= settingsWait+100*time.Millisecond, "%s", v.current.Age())
		})
	})
	t.Run("VMs that receive updates copy the list of the new era", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true)
			time.Sleep(time.Second)
			rev := NewRevision(1, 1)
			assert.Assert(t, rev > v.servers.Revision(), "revisions of a later era are higher")
			v.peerData.Store(&Update{Rev: rev, Changes: []Change{{Rev: rev, Entry: entry(5)}}})
			v.servers.ApplyUpdate(Update{Base: rev, Rev: rev}, time.Now())
			time.Sleep(time.Second)
			assert.Equal(t, v.servers.Revision(), rev)
			v.servers.ApplyUpdate(Update{Rev: NewRevision(0, 99), Changes: []Change{{Rev: NewRevision(0, 99), Entry: entry(6)}}}, time.Now())
			v.assertUsable(t, 1, "updates of an earlier era are ignored")
		})
	})
}

// TestResumeAfterSuspension guards against outdated data being treated as current after a
// suspension. A VM resumes after some seconds and has not yet communicated with the store
// or other VMs; the age of its data, also in its updates, must include the suspension.
func TestResumeAfterSuspension(t *testing.T) {
	const suspension = 4 * time.Second
	s := newStore()
	s.put(entry(1))
	runFollowers(t, s, func(v *vm) {
		follower := NewServerFollower(s, srvtab.NewTable(func() {}), testHeartbeat, v.clock, func() bool { return true }, nil, nil, func() {}, nil, zap.NewNop())
		follower.rev = 1
		v.suspended.Store(int64(suspension))
		assert.Assert(t, v.current.Age() >= suspension, "%s", v.current.Age())
		assert.Assert(t, v.servers.Age() >= suspension, "%s", v.servers.Age())
		u, ok := v.servers.RecentChanges(time.Now())
		assert.Assert(t, ok && u.Age >= suspension, "%s", u.Age)
		follower.ApplyUpdate(u, time.Now())
		assert.Assert(t, follower.Age() >= suspension, "%s", follower.Age())
		time.Sleep(2*settingsWait + 100*time.Millisecond)
		assert.Assert(t, v.current.Age() < suspension && v.servers.Age() < suspension, "the store has responded since")
	})
}

// TestNoSettings guards against a VM reading the store continuously while it holds no
// settings. The VM must wait for the first settings instead.
func TestNoSettings(t *testing.T) {
	s := newStore()
	s.version = 0
	runFollowers(t, s, func(v *vm) {
		before := s.calls.Load()
		time.Sleep(10 * time.Second)
		maxCalls := int64(2*10*time.Second/settingsWait) + 2 // both followers wait
		assert.Assert(t, s.calls.Load()-before <= 2*maxCalls, "%d calls", s.calls.Load()-before)
		assert.Assert(t, v.current.Load() == nil)
		s.change(func() { s.version = 3 })
		time.Sleep(time.Millisecond)
		assert.Equal(t, v.current.Load().Version, uint64(3))
	})
}

func TestUpdatesFromPeers(t *testing.T) {
	t.Run("a VM that receives updates does not call the store", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true)
			time.Sleep(2 * time.Second)
			calls := s.calls.Load()
			time.Sleep(10 * time.Second)
			assert.Equal(t, s.calls.Load(), calls)
		})
	})
	t.Run("each change of overlapping updates is applied once", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true)
			time.Sleep(2 * time.Second)
			base := v.servers.Revision()
			u := Update{Base: base, Rev: base + 2, Changes: []Change{
				{Rev: base + 1, Entry: entry(1)}, {Rev: base + 2, Entry: entry(2)},
			}}
			v.servers.ApplyUpdate(u, time.Now())
			v.assertUsable(t, 2, "both servers are added")
			u = Update{Base: base, Rev: base + 3, Changes: append(u.Changes, Change{Rev: base + 3, Gone: true, Entry: srvtab.Entry{ID: "1"}})}
			v.servers.ApplyUpdate(u, time.Now())
			v.assertUsable(t, 1, "one server is removed, and known changes are not applied again")
			v.servers.ApplyUpdate(Update{Base: base, Rev: base + 2, Changes: u.Changes[:1]}, time.Now())
			v.assertUsable(t, 1, "a late update is ignored")
		})
	})
	t.Run("a store response does not override later changes reported by other VMs", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true)
			time.Sleep(2 * time.Second)
			base := v.servers.Revision()
			written := Change{Rev: base + 2, Entry: entry(1)}
			removed := Change{Rev: base + 1, Gone: true, Entry: srvtab.Entry{ID: "1"}}
			v.servers.ApplyUpdate(Update{Base: base, Rev: base + 2, Changes: []Change{removed, written}}, time.Now())
			v.servers.applyChanges([]Change{removed}, base+1, v.clock())
			v.assertUsable(t, 1, "an older change is ignored")
			v.servers.applyList(nil, base+1, v.clock(), missed{})
			v.assertUsable(t, 1, "an older list is ignored")
			assert.Equal(t, v.servers.Revision(), base+2)
		})
	})
	t.Run("after a gap in the updates the store is read", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true)
			time.Sleep(2 * time.Second)
			s.put(entry(5))
			v.servers.ApplyUpdate(Update{Base: 50, Rev: 60}, time.Now())
			v.receivesUpdates.Store(false)
			time.Sleep(time.Second)
			v.assertUsable(t, 1, "read from the store")
		})
	})
	t.Run("a gap in one VM's updates is closed by another VM", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true)
			time.Sleep(2 * time.Second)
			base := v.servers.Revision()
			v.peerData.Store(&Update{Rev: base + 60, Changes: []Change{{Rev: base + 60, Entry: entry(9)}}})
			for n := range Revision(10) { // a VM that has copied the list at base+5, and one that has all changes
				v.servers.ApplyUpdate(Update{Base: base + 5, Rev: base + 10}, time.Now())
				time.Sleep(gapTimeout / 2)
				v.servers.ApplyUpdate(Update{Base: base, Rev: base + 5 + n, Changes: []Change{{Rev: base + 1, Entry: entry(5)}}}, time.Now())
				time.Sleep(gapTimeout / 2)
			}
			v.assertUsable(t, 1, "the list is not copied")
			assert.Assert(t, v.table.View().Server(entry(5).ID) != nil)
			assert.Equal(t, v.servers.Revision(), base+14)
		})
	})
	t.Run("a gap is closed by the VM's own watch of the store", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.servers.ApplyUpdate(Update{Base: v.servers.Revision() + 1, Rev: v.servers.Revision() + 1}, time.Now())
			s.put(entry(5))
			s.put(entry(6))
			time.Sleep(2 * gapTimeout)
			reads := s.listReads.Load()
			v.receivesUpdates.Store(true)
			time.Sleep(2 * time.Second)
			assert.Equal(t, s.listReads.Load(), reads, "the list is not read again")
			assert.Assert(t, v.servers.Revision() != 0)
		})
	})
	t.Run("after a gap in the updates the list is copied from another VM", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			v.receivesUpdates.Store(true)
			time.Sleep(2 * time.Second)
			calls := s.calls.Load()
			v.peerData.Store(&Update{Rev: 60, Changes: []Change{{Rev: 60, Entry: entry(5)}}})
			v.servers.ApplyUpdate(Update{Base: 50, Rev: 60}, time.Now())
			time.Sleep(time.Second)
			v.assertUsable(t, 1, "copied from the other VM")
			assert.Equal(t, s.calls.Load(), calls, "the store was not called")
			u, ok := v.servers.Snapshot()
			assert.Assert(t, ok && u.Rev == 60 && len(u.Changes) == 1, "%+v", u)
		})
	})
	t.Run("a VM that knows no servers waits for busy VMs", func(t *testing.T) {
		for _, busy := range []bool{true, false} {
			s := newStore()
			s.put(entry(1))
			runFollowers(t, s, func(v *vm) {
				v.receivesUpdates.Store(true)
				time.Sleep(2 * time.Second)
				v.peersBusy.Store(busy)
				reads := s.listReads.Load()
				v.servers.ApplyUpdate(Update{Base: 50, Rev: 60}, time.Now())
				time.Sleep(8 * time.Second)
				assert.Equal(t, s.listReads.Load() == reads, busy, "reads of the store")
				time.Sleep(watch.ReadTimeout)
				v.assertUsable(t, 1, "read from the store in the end")
				assert.Assert(t, s.listReads.Load() > reads)
			})
		}
	})
	t.Run("an entry that has lapsed for another VM ends here, too", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		runFollowers(t, s, func(v *vm) {
			s.setDown(true)
			time.Sleep(3 * time.Second)
			s.mu.Lock()
			s.servers = map[ident.Server]srvtab.Entry{}
			s.mu.Unlock()
			s.setDown(false)
			time.Sleep(watch.MaxBackoff + 100*time.Millisecond)
			u, ok := v.servers.Snapshot()
			assert.Assert(t, ok && len(u.Changes) == 1 && u.Changes[0].Grace > 0, "%+v", u)
			v.receivesUpdates.Store(true)
			v.peerData.Store(&u)
			time.Sleep(time.Second)
			v.servers.ApplyUpdate(Update{Base: u.Rev + 5, Rev: u.Rev + 6}, time.Now())
			time.Sleep(gapTimeout + 200*time.Millisecond)
			v.assertUsable(t, 1, "copied from the other VM")
			time.Sleep(srvtab.ReregisterTime)
			v.assertUsable(t, 0, "dropped when the other VM's grace period ends")
		})
	})
	t.Run("a document from another VM is put in force", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			at := v.clock()
			assert.NilError(t, v.settings.ApplyCompressed(compressed(t, "12"), at))
			assert.Equal(t, v.current.Load().Version, uint64(12))
			assert.Equal(t, v.current.FreshAt(), at)
			assert.Assert(t, v.settings.ApplyCompressed(compressed(t, "x"), at) != nil)
			assert.Equal(t, v.current.Load().Version, uint64(12), "an invalid document changes nothing")
		})
	})
	t.Run("a reported version confirms the settings or causes a read", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			at := v.clock().Add(time.Minute)
			v.settings.HandleVersion(context.Background(), 1, at)
			assert.Equal(t, v.current.FreshAt(), at)
			s.mu.Lock()
			s.version = 9
			s.mu.Unlock()
			v.settings.HandleVersion(context.Background(), 9, 0)
			assert.Equal(t, v.current.Load().Version, uint64(9))
			v.settings.HandleVersion(context.Background(), 3, at.Add(time.Hour))
			assert.Equal(t, v.current.FreshAt(), at, "an old version is ignored")
		})
	})
	t.Run("updates contain the changes read from the store", func(t *testing.T) {
		s := newStore()
		runFollowers(t, s, func(v *vm) {
			s.put(entry(1))
			time.Sleep(leadBatchDelay + 10*time.Millisecond)
			u, ok := v.servers.RecentChanges(time.Now())
			assert.Assert(t, ok)
			assert.Equal(t, len(u.Changes), 1)
			assert.Assert(t, u.Base < u.Changes[0].Rev && u.Changes[0].Rev <= u.Rev)
			time.Sleep(2 * changeRetention)
			u, _ = v.servers.RecentChanges(time.Now())
			assert.Equal(t, len(u.Changes), 0)
			s.setDown(true)
			time.Sleep(time.Second)
			_, ok = v.servers.RecentChanges(time.Now())
			assert.Assert(t, !ok, "a VM that can't reach the store sends no updates")
		})
	})
}

// TestManyChanges guards against updates that exceed a datagram. After an outage 5,000
// servers write their entries again within two seconds; an update with all of these
// changes can't be sent, and other VMs receive nothing from the VM.
func TestManyChanges(t *testing.T) {
	s := newStore()
	runFollowers(t, s, func(v *vm) {
		for n := range 5000 {
			s.put(entry(n))
		}
		time.Sleep(leadBatchDelay + time.Millisecond)
		v.assertUsable(t, 5000, "this VM knows all servers")
		u, ok := v.servers.RecentChanges(time.Now())
		assert.Assert(t, ok)
		assert.Equal(t, len(u.Changes), maxChanges)
		assert.Equal(t, u.Base, u.Changes[0].Rev-1, "VMs that lack earlier changes request the list")
		assert.Equal(t, u.Rev, u.Changes[maxChanges-1].Rev)
	})
}

// TestCallback guards against a deadlock between a follower and its table. The table calls
// the follower under its own lock, as it does to decide whether to announce a change, while
// other VMs request all servers from the follower.
func TestCallback(t *testing.T) {
	var v *ServerFollower
	table := srvtab.NewTable(func() { v.Age() })
	never := func() bool { return false }
	v = NewServerFollower(newStore(), table, testHeartbeat, uptime.Now, never, never, never, func() {}, nil, zap.NewNop())
	v.rev = 1
	var callers, waiter errgroup.Group
	callers.Go(func() error {
		for range 20_000 {
			v.Snapshot()
		}
		return nil
	})
	callers.Go(func() error {
		for i := range 20_000 {
			table.Put(entry(i % 10))
			table.Remove(entry(i%10).ID.Name(), time.Time{}, time.Now())
		}
		return nil
	})
	done := make(chan struct{})
	waiter.Go(func() error {
		defer close(done)
		return callers.Wait()
	})
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("deadlock between the follower and its table")
	}
}
