package follow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/ident"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/loop"
	"umberladder/internal/state/routes"
)

// store is the platform's store in virtual time.
type store struct {
	mu      sync.Mutex
	down    bool
	rev     Revision
	version uint64
	servers map[ident.Server]backs.Entry
	log     []Change
	from    Revision // oldest revision of the history
	calls   atomic.Int64
	changed chan struct{}
}

var (
	errDown    = errors.New("down")
	errHistory = errors.New("history gone")
)

func newStore() *store {
	return &store{version: 1, rev: 1, servers: make(map[ident.Server]backs.Entry), changed: make(chan struct{})}
}

func (s *store) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(e backs.Entry) {
	s.change(func() {
		s.servers[e.ID] = e
		s.log = append(s.log, Change{Rev: s.rev, Entry: e})
	})
}

func (s *store) remove(e backs.Entry) {
	s.change(func() {
		delete(s.servers, e.ID)
		s.log = append(s.log, Change{Rev: s.rev, Gone: true, Entry: backs.Entry{ID: e.ID}})
	})
}

// copied is what a copy of the store holds.
type copied struct {
	rev     Revision
	version uint64
	servers map[ident.Server]backs.Entry
}

func (s *store) copied() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{rev: s.rev, version: s.version, servers: maps.Clone(s.servers)}
}

// restore has the store come back from a copy.
func (s *store) restore(c copied) {
	s.change(func() {
		s.rev = NewRevision(s.rev.Era()+1, c.rev.Count())
		s.version, s.servers, s.log = c.version, maps.Clone(c.servers), nil
	})
}

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

func (s *store) Settings(context.Context) (*routes.Snapshot, Revision, error) {
	rev, version, err := s.state()
	if version == 0 {
		return nil, rev, err
	}
	return routes.New(routes.Parts{Version: version}), rev, err
}

func (s *store) Decode(data []byte) (*routes.Snapshot, error) {
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return routes.New(routes.Parts{Version: version}), nil
}

func (s *store) Servers(context.Context) ([]backs.Entry, Revision, error) {
	rev, _, err := s.state()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []backs.Entry
	for _, e := range s.servers {
		out = append(out, e)
	}
	return out, rev, err
}

// hold waits for a change after a revision.
func (s *store) hold(ctx context.Context, after Revision, wait time.Duration) (Revision, uint64, error) {
	end := time.After(wait)
	for {
		rev, version, err := s.state()
		s.mu.Lock()
		ch, gone := s.changed, after < s.from
		s.mu.Unlock()
		switch {
		case gone:
			return 0, 0, errHistory
		case rev.Era() > after.Era():
			return 0, 0, ErrEra
		case err != nil || rev > after:
			return rev, version, err
		}
		select {
		case <-ch:
		case <-end:
			return rev, version, nil
		case <-ctx.Done():
			return 0, 0, ctx.Err()
		}
	}
}

func (s *store) AwaitSettings(ctx context.Context, after Revision, wait time.Duration) (*routes.Snapshot, Revision, error) {
	rev, version, err := s.hold(ctx, after, wait)
	if err != nil || rev == after {
		return nil, rev, err
	}
	return routes.New(routes.Parts{Version: version}), rev, nil
}

func (s *store) AwaitServers(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	rev, _, err := s.hold(ctx, after, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Change
	for _, c := range s.log {
		if c.Rev > after {
			out = append(out, c)
		}
	}
	return out, rev, err
}

// vm follows a store.
type vm struct {
	book     *routes.Book
	table    *backs.Table
	settings *Settings
	servers  *Servers
	told     atomic.Bool
	news     atomic.Int64
	other    atomic.Pointer[News] // what another VM knows of the servers
	clock    awake.Clock
	slept    atomic.Int64 // how long the VM was suspended, which other clocks do not count
}

func (v *vm) ask(context.Context) (News, error) {
	if n := v.other.Load(); n != nil {
		return *n, nil
	}
	return News{}, ErrNobody
}

func follow(t *testing.T, s *store, f func(v *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.changed = make(chan struct{}) // of the bubble, so that its time goes on
		start := time.Now()
		v := &vm{}
		v.clock = func() awake.Instant {
			return awake.Instant(time.Since(start) + time.Hour + time.Duration(v.slept.Load()))
		}
		v.book = routes.NewBook(v.clock)
		v.table = backs.NewTable(func() {})
		told := v.told.Load
		first := func() bool { return true }
		v.settings = NewSettings(s, v.book, v.clock, told, first, func() { v.news.Add(1) }, zap.NewNop())
		v.servers = NewServers(s, v.table, v.clock, told, first, first, func() { v.news.Add(1) }, v.ask, zap.NewNop())
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

// packed returns a document as VMs share it.
func packed(t *testing.T, text string) []byte {
	t.Helper()
	b, err := routes.NewDocument([]byte(text)).Packed()
	assert.NilError(t, err)
	return b
}

func entry(n int) backs.Entry {
	return backs.Entry{ID: ident.Server(fmt.Sprint(n)), Service: "s", Slots: 1}
}

// knows fails the test unless so many servers take work.
func (v *vm) knows(t *testing.T, n int, what string) {
	t.Helper()
	assert.Equal(t, len(v.table.View().Service("s")), n, what)
}

func TestFollow(t *testing.T) {
	t.Run("changes are in force at once", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			s.put(entry(1))
			s.change(func() { s.version = 7 })
			time.Sleep(serversRest + time.Millisecond)
			v.knows(t, 1, "a server came")
			assert.Equal(t, v.news.Load(), int64(3), "there is something to tell others: the first settings, a server, newer settings")
			assert.Equal(t, v.book.Load().Version, uint64(7))
			e := entry(1)
			e.Leaving = true
			s.put(e)
			time.Sleep(serversRest + time.Millisecond)
			v.knows(t, 0, "it leaves")
		})
	})
	t.Run("the settings' age stays under their wait", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				assert.Assert(t, v.book.Age() <= settingsWait+100*time.Millisecond, "%s", v.book.Age())
			}
			s.setDown(true)
			time.Sleep(5 * time.Second)
			assert.Assert(t, v.book.Age() >= 5*time.Second, "nothing is known of a store that is down")
			s.setDown(false)
			time.Sleep(loop.LastPause + time.Millisecond)
			assert.Assert(t, v.book.Age() <= loop.LastPause)
		})
	})
	t.Run("entries that lapse in an outage stay until 2 s after it", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		s.put(entry(2))
		follow(t, s, func(v *vm) {
			s.setDown(true)
			time.Sleep(3 * time.Second)
			s.mu.Lock()
			s.servers = map[ident.Server]backs.Entry{}
			s.mu.Unlock()
			s.setDown(false)
			time.Sleep(loop.LastPause + 100*time.Millisecond)
			v.knows(t, 2, "the store has just come back")
			s.put(entry(1))
			time.Sleep(backs.ReturnTime)
			v.knows(t, 1, "one came back, one is gone")
		})
	})
	t.Run("entries that lapsed in an outage that this VM did not notice stay until 2 s after it", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		s.put(entry(2))
		follow(t, s, func(v *vm) {
			v.told.Store(true) // other VMs read the store for this one
			time.Sleep(time.Second)
			s.setDown(true)
			time.Sleep(4 * time.Second)
			s.setDown(false)
			s.remove(entry(1))
			s.remove(entry(2))
			v.told.Store(false)
			time.Sleep(serversRest)
			v.knows(t, 2, "the store has just come back")
			n, ok := v.servers.News(time.Now())
			assert.Assert(t, ok && len(n.Changes) == 2, "%+v", n)
			for _, c := range n.Changes {
				assert.Assert(t, c.Lapse > 0, "the change must tell other VMs that the entry may have lapsed: %+v", c)
			}
			s.put(entry(1))
			time.Sleep(backs.ReturnTime)
			v.knows(t, 1, "one came back, one is gone")
			s.remove(entry(1))
			time.Sleep(serversRest + time.Millisecond)
			v.knows(t, 0, "later removals take effect at once")
		})
	})
	t.Run("a lost history is read anew", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		follow(t, s, func(v *vm) {
			s.change(func() {
				s.from = s.rev
				s.servers = map[ident.Server]backs.Entry{"2": entry(2)}
			})
			time.Sleep(3 * time.Second)
			v.knows(t, 1, "the server that was missed")
			assert.Assert(t, v.table.View().Server("2") != nil)
		})
	})
}

// TestEra has the store come back from a copy, in a drill: what was written since is
// lost until operators and servers write it again.
func TestEra(t *testing.T) {
	drill := func(t *testing.T, f func(s *store, v *vm)) {
		s := newStore()
		s.put(entry(1))
		s.put(entry(2))
		follow(t, s, func(v *vm) {
			c := s.copied()
			s.remove(entry(1))
			s.put(entry(3))
			s.change(func() { s.version = 9 })
			time.Sleep(time.Second)
			assert.Equal(t, v.book.Load().Version, uint64(9))
			s.restore(c)
			f(s, v)
		})
	}
	t.Run("servers that had gone stay away, and those that live stay", func(t *testing.T) {
		drill(t, func(s *store, v *vm) {
			time.Sleep(time.Second)
			v.knows(t, 2, "the one that the copy lacks may write its entry again")
			assert.Assert(t, v.table.View().Server("1") == nil, "its entry of the copy says nothing")
			s.put(entry(2))
			s.put(entry(3))
			time.Sleep(backs.ReturnTime + time.Second)
			v.knows(t, 2, "both wrote theirs again")
		})
	})
	t.Run("a server that does not write its entry again is gone", func(t *testing.T) {
		drill(t, func(s *store, v *vm) {
			s.put(entry(2))
			time.Sleep(backs.ReturnTime + time.Second)
			v.knows(t, 1, "the other has ended")
		})
	})
	t.Run("a server that had gone and starts again is used", func(t *testing.T) {
		drill(t, func(s *store, v *vm) {
			time.Sleep(time.Second)
			s.put(entry(1))
			time.Sleep(time.Second)
			assert.Assert(t, v.table.View().Server("1") != nil)
		})
	})
	t.Run("settings do not go back, nor are old ones confirmed", func(t *testing.T) {
		drill(t, func(s *store, v *vm) {
			time.Sleep(backs.ReturnTime + 2*time.Second)
			assert.Equal(t, v.book.Load().Version, uint64(9))
			assert.Assert(t, v.book.Age() > backs.ReturnTime, "the store does not hold the newest")
			s.change(func() { s.version = 9 })
			time.Sleep(time.Second)
			assert.Assert(t, v.book.Age() <= settingsWait+100*time.Millisecond, "%s", v.book.Age())
		})
	})
	t.Run("settings that another version may follow are not confirmed at once", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			s.restore(s.copied()) // nothing was lost that this VM knows of
			time.Sleep(backs.ReturnTime - 100*time.Millisecond)
			assert.Assert(t, v.book.Age() >= backs.ReturnTime-200*time.Millisecond, "%s", v.book.Age())
			time.Sleep(time.Second)
			assert.Assert(t, v.book.Age() <= settingsWait+100*time.Millisecond, "%s", v.book.Age())
		})
	})
	t.Run("VMs that are told take the list of the new era", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			v.told.Store(true)
			time.Sleep(time.Second)
			rev := NewRevision(1, 1)
			assert.Assert(t, rev > v.servers.known(), "a later era's revisions are higher")
			v.other.Store(&News{Rev: rev, Changes: []Change{{Rev: rev, Entry: entry(5)}}})
			v.servers.Learn(News{Base: rev, Rev: rev}, time.Now())
			time.Sleep(time.Second)
			assert.Equal(t, v.servers.known(), rev)
			v.servers.Learn(News{Rev: NewRevision(0, 99), Changes: []Change{{Rev: NewRevision(0, 99), Entry: entry(6)}}}, time.Now())
			v.knows(t, 1, "what is told of the era before says nothing")
		})
	})
}

// TestWakes has a VM wake that was suspended for some seconds, before it has spoken
// with anybody: it does not take what it knew for new, nor tell it to others as new.
func TestWakes(t *testing.T) {
	const sleep = 4 * time.Second
	s := newStore()
	s.put(entry(1))
	follow(t, s, func(v *vm) {
		told := NewServers(s, backs.NewTable(func() {}), v.clock, func() bool { return true }, nil, nil, func() {}, nil, zap.NewNop())
		told.rev = 1
		v.slept.Store(int64(sleep))
		assert.Assert(t, v.book.Age() >= sleep, "%s", v.book.Age())
		assert.Assert(t, v.servers.Age() >= sleep, "%s", v.servers.Age())
		n, ok := v.servers.News(time.Now())
		assert.Assert(t, ok && n.Age >= sleep, "%s", n.Age)
		told.Learn(n, time.Now())
		assert.Assert(t, told.Age() >= sleep, "%s", told.Age())
		time.Sleep(2*settingsWait + 100*time.Millisecond)
		assert.Assert(t, v.book.Age() < sleep && v.servers.Age() < sleep, "the store has answered since")
	})
}

// TestNoSettings has a VM wait for the first settings, rather than read on and on.
func TestNoSettings(t *testing.T) {
	s := newStore()
	s.version = 0
	follow(t, s, func(v *vm) {
		before := s.calls.Load()
		time.Sleep(10 * time.Second)
		most := int64(2*10*time.Second/settingsWait) + 2 // both followers wait
		assert.Assert(t, s.calls.Load()-before <= 2*most, "%d calls", s.calls.Load()-before)
		assert.Assert(t, v.book.Load() == nil)
		s.change(func() { s.version = 3 })
		time.Sleep(time.Millisecond)
		assert.Equal(t, v.book.Load().Version, uint64(3))
	})
}

func TestTold(t *testing.T) {
	t.Run("a VM that is told asks nothing", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			v.told.Store(true)
			time.Sleep(2 * time.Second)
			calls := s.calls.Load()
			time.Sleep(10 * time.Second)
			assert.Equal(t, s.calls.Load(), calls)
		})
	})
	t.Run("news are applied once, with what they cover", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			v.told.Store(true)
			time.Sleep(2 * time.Second)
			base := v.servers.known()
			n := News{Base: base, Rev: base + 2, Changes: []Change{
				{Rev: base + 1, Entry: entry(1)}, {Rev: base + 2, Entry: entry(2)},
			}}
			v.servers.Learn(n, time.Now())
			v.knows(t, 2, "both came")
			n = News{Base: base, Rev: base + 3, Changes: append(n.Changes, Change{Rev: base + 3, Gone: true, Entry: backs.Entry{ID: "1"}})}
			v.servers.Learn(n, time.Now())
			v.knows(t, 1, "one left, and what was told before is not told anew")
			v.servers.Learn(News{Base: base, Rev: base + 2, Changes: n.Changes[:1]}, time.Now())
			v.knows(t, 1, "late news change nothing")
		})
	})
	t.Run("a store response does not override later changes reported by other VMs", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		follow(t, s, func(v *vm) {
			v.told.Store(true)
			time.Sleep(2 * time.Second)
			base := v.servers.known()
			written := Change{Rev: base + 2, Entry: entry(1)}
			removed := Change{Rev: base + 1, Gone: true, Entry: backs.Entry{ID: "1"}}
			v.servers.Learn(News{Base: base, Rev: base + 2, Changes: []Change{removed, written}}, time.Now())
			v.servers.applyChanges([]Change{removed}, base+1, v.clock())
			v.knows(t, 1, "an older change is ignored")
			v.servers.applyList(nil, base+1, v.clock())
			v.knows(t, 1, "an older list is ignored")
			assert.Equal(t, v.servers.known(), base+2)
		})
	})
	t.Run("missed news make it read", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			v.told.Store(true)
			time.Sleep(2 * time.Second)
			s.put(entry(5))
			v.servers.Learn(News{Base: 50, Rev: 60}, time.Now())
			v.told.Store(false)
			time.Sleep(time.Second)
			v.knows(t, 1, "read from the store")
		})
	})
	t.Run("missed news are taken from another VM", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			v.told.Store(true)
			time.Sleep(2 * time.Second)
			calls := s.calls.Load()
			v.other.Store(&News{Rev: 60, Changes: []Change{{Rev: 60, Entry: entry(5)}}})
			v.servers.Learn(News{Base: 50, Rev: 60}, time.Now())
			time.Sleep(time.Second)
			v.knows(t, 1, "taken from the other VM")
			assert.Equal(t, s.calls.Load(), calls, "the store was not asked")
			n, ok := v.servers.All()
			assert.Assert(t, ok && n.Rev == 60 && len(n.Changes) == 1, "%+v", n)
		})
	})
	t.Run("an entry that has lapsed for another VM ends here, too", func(t *testing.T) {
		s := newStore()
		s.put(entry(1))
		follow(t, s, func(v *vm) {
			s.setDown(true)
			time.Sleep(time.Second)
			s.mu.Lock()
			s.servers = map[ident.Server]backs.Entry{}
			s.mu.Unlock()
			s.setDown(false)
			time.Sleep(loop.LastPause + 100*time.Millisecond)
			n, ok := v.servers.All()
			assert.Assert(t, ok && len(n.Changes) == 1 && n.Changes[0].Lapse > 0, "%+v", n)
			v.told.Store(true)
			v.other.Store(&n)
			time.Sleep(time.Second)
			v.servers.Learn(News{Base: n.Rev + 5, Rev: n.Rev + 6}, time.Now())
			time.Sleep(200 * time.Millisecond)
			v.knows(t, 1, "taken from the other VM")
			time.Sleep(backs.ReturnTime)
			v.knows(t, 0, "gone with it")
		})
	})
	t.Run("a document of another VM is put in force", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			at := v.clock()
			assert.NilError(t, v.settings.Adopt(packed(t, "12"), at))
			assert.Equal(t, v.book.Load().Version, uint64(12))
			assert.Equal(t, v.book.Fresh(), at)
			assert.Assert(t, v.settings.Adopt(packed(t, "x"), at) != nil)
			assert.Equal(t, v.book.Load().Version, uint64(12), "what can't be read changes nothing")
		})
	})
	t.Run("a word of a version confirms or reads it", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			at := v.clock().Add(time.Minute)
			v.settings.Learn(context.Background(), 1, at)
			assert.Equal(t, v.book.Fresh(), at)
			s.mu.Lock()
			s.version = 9
			s.mu.Unlock()
			v.settings.Learn(context.Background(), 9, 0)
			assert.Equal(t, v.book.Load().Version, uint64(9))
			v.settings.Learn(context.Background(), 3, at.Add(time.Hour))
			assert.Equal(t, v.book.Fresh(), at, "an old version says nothing")
		})
	})
	t.Run("what is told covers what was seen", func(t *testing.T) {
		s := newStore()
		follow(t, s, func(v *vm) {
			s.put(entry(1))
			time.Sleep(serversRest + 10*time.Millisecond)
			n, ok := v.servers.News(time.Now())
			assert.Assert(t, ok)
			assert.Equal(t, len(n.Changes), 1)
			assert.Assert(t, n.Base < n.Changes[0].Rev && n.Changes[0].Rev <= n.Rev)
			time.Sleep(2 * newsTime)
			n, _ = v.servers.News(time.Now())
			assert.Equal(t, len(n.Changes), 0)
			s.setDown(true)
			time.Sleep(time.Second)
			_, ok = v.servers.News(time.Now())
			assert.Assert(t, !ok, "a VM that the store does not answer has no news")
		})
	})
}

// TestCallback has the table call back into the follower, as a VM does to see
// whether it is told, while other VMs ask it for all servers.
// After an outage the entries of 5,000 servers come back within two seconds. Told
// all at once they are larger than a datagram, and a VM whose message can't be sent
// falls silent for all others.
func TestManyChanges(t *testing.T) {
	s := newStore()
	follow(t, s, func(v *vm) {
		for n := range 5000 {
			s.put(entry(n))
		}
		time.Sleep(serversRest + time.Millisecond)
		v.knows(t, 5000, "all are known here")
		n, ok := v.servers.News(time.Now())
		assert.Assert(t, ok)
		assert.Equal(t, len(n.Changes), toldMost)
		assert.Equal(t, n.Base, n.Changes[0].Rev-1, "whoever lacks an earlier one takes the list")
		assert.Equal(t, n.Rev, n.Changes[toldMost-1].Rev)
	})
}

func TestCallback(t *testing.T) {
	var v *Servers
	table := backs.NewTable(func() { v.Age() })
	never := func() bool { return false }
	v = NewServers(newStore(), table, awake.Now, never, never, never, func() {}, nil, zap.NewNop())
	v.rev = 1
	var both, wait errgroup.Group
	both.Go(func() error {
		for range 20_000 {
			v.All()
		}
		return nil
	})
	both.Go(func() error {
		for i := range 20_000 {
			table.Put(entry(i % 10))
			table.Remove(entry(i%10).ID.Name(), time.Time{}, time.Now())
		}
		return nil
	})
	done := make(chan struct{})
	wait.Go(func() error {
		defer close(done)
		return both.Wait()
	})
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the follower and its table wait for one another")
	}
}
