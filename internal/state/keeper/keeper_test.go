package keeper

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	table "umberladder/internal/fake/store"
	"umberladder/internal/peer/proto"
	"umberladder/internal/peer/store"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/member"
	"umberladder/internal/state/term"
)

// memory is a store in memory whose calls fail as a test says.
type memory struct {
	table *table.Table
	fail  func(call string) store.Fault
	// slow, if set, is called once a call took effect and before its reply.
	slow func(call string)
}

const fine = store.Fault(255)

func (m *memory) failed(call string) error {
	if f := m.fail(call); f != fine {
		return &store.Error{Fault: f, Err: errors.New(call)}
	}
	return nil
}

func (m *memory) wait(call string) {
	if m.slow != nil {
		m.slow(call)
	}
}

func (m *memory) Get(_ context.Context, path string) (store.Item, error) {
	m.wait("get")
	it, ok := m.table.Get(path, time.Now())
	if !ok {
		return store.Item{}, &store.Error{Fault: store.Missing, Err: errors.New(path)}
	}
	return store.Item{Path: path, Revision: it.Revision, Value: it.Value}, m.failed("get")
}

func (m *memory) Put(_ context.Context, path string, value []byte, want, lease uint64) (uint64, error) {
	fault := m.fail("put")
	if fault == store.Down || fault == store.Budget {
		return 0, &store.Error{Fault: fault, Err: errors.New("put")}
	}
	rev, ok := m.table.Put(path, value, want, lease, time.Now())
	if !ok {
		return 0, &store.Error{Fault: store.Conflict, Err: errors.New(path)}
	}
	m.wait("put")
	if fault != fine {
		return 0, &store.Error{Fault: fault, Err: errors.New("put")}
	}
	return rev, nil
}

func (m *memory) Delete(_ context.Context, path string, want uint64) error {
	if err := m.failed("delete"); err != nil {
		return err
	}
	if !m.table.Delete(path, want, time.Now()) {
		return &store.Error{Fault: store.Conflict, Err: errors.New(path)}
	}
	return nil
}

func (m *memory) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	return store.Lease{ID: m.table.Grant(ttl, time.Now()), Now: time.Now()}, m.failed("grant")
}

func (m *memory) Renew(_ context.Context, id uint64) (store.Lease, error) {
	if err := m.failed("renew"); err != nil {
		return store.Lease{}, err
	}
	if !m.table.Renew(id, time.Now()) {
		return store.Lease{}, &store.Error{Fault: store.Missing, Err: errors.New("lapsed")}
	}
	return store.Lease{ID: id, Now: time.Now()}, nil
}

func (m *memory) Revoke(_ context.Context, id uint64) error {
	m.table.Revoke(id, time.Now())
	return nil
}

// town is the membership of all keepers in a test, and carries handovers.
type town struct {
	live    []member.Member
	keepers map[ident.VM]*Keeper
	broken  bool // handovers fail
}

func (t *town) View() *fleet.View { return &fleet.View{Live: t.live} }

func (t *town) Handover(ctx context.Context, to member.Member, shard int, rev uint64, start time.Time, claims []*proto.Claim) (bool, error) {
	if t.broken {
		return false, errors.New("no answer")
	}
	return t.keepers[to.Name].Accept(ctx, shard, rev, start, claims)
}

func newTown(m *memory, n int) *town {
	t := &town{keepers: map[ident.VM]*Keeper{}}
	for i := range n {
		t.add(m, i)
	}
	return t
}

func (t *town) add(m *memory, i int) *Keeper {
	name := ident.VM(fmt.Sprintf("vm-%d", i))
	t.live = append(t.live, member.Member{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1")})
	t.keepers[name] = New(name, 10*time.Second, m, t, t, zap.NewNop())
	return t.keepers[name]
}

func (t *town) rounds(n int) {
	for range n {
		for _, m := range t.live {
			t.keepers[m.Name].round(context.Background())
		}
		time.Sleep(keepEvery)
	}
}

// held fails unless every shard has one holder.
func (t *town) held(tt *testing.T) {
	tt.Helper()
	sum := 0
	for _, k := range t.keepers {
		n, _ := k.Held()
		sum += n
	}
	assert.Equal(tt, sum, Shards)
}

// named fails unless the store names each holder at the revision it knows.
func (t *town) named(tt *testing.T, m *memory) {
	tt.Helper()
	for _, k := range t.keepers {
		for shard, h := range k.held {
			it, ok := m.table.Get(shardPath(shard), time.Now())
			assert.Assert(tt, ok && it.Revision == h.revision, "shard %d: %v", shard, it)
		}
	}
}

func healthy(string) store.Fault { return fine }

// only has each call of one kind fail.
func only(kind string, f store.Fault) func(string) store.Fault {
	return func(call string) store.Fault {
		if call == kind {
			return f
		}
		return fine
	}
}

func newMemory() *memory {
	return &memory{table: table.NewTable(), fail: healthy}
}

func TestKeepers(t *testing.T) {
	t.Run("share the shards out", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTown(newMemory(), 3)
			town.rounds(3)
			town.held(t)
		})
	})
	t.Run("hand on to a VM that joins, with the claims", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 1)
			town.rounds(4)
			old := town.keepers["vm-0"]
			minted := time.Now()
			for s := range Shards {
				v, _ := old.Claim(s, "k", minted, [32]byte{}, "r1")
				assert.Equal(t, v, term.Run)
			}
			joined := town.add(m, 1)
			joined.round(context.Background())
			town.rounds(3)
			town.held(t)
			n, claims := joined.Held()
			assert.Assert(t, n > Shards/4 && claims == n, "%d shards, %d claims", n, claims)
			for s := range Shards {
				for _, k := range town.keepers {
					if v, _ := k.Claim(s, "k", minted, [32]byte{}, "r2"); v != term.NotHolder {
						assert.Equal(t, v, term.Running)
					}
				}
			}
		})
	})
	t.Run("free a shard whose handover failed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 1)
			town.rounds(4)
			town.add(m, 1)
			town.broken = true
			m.fail = only("delete", store.Down)
			town.rounds(3)
			m.fail = healthy
			town.rounds(12) // handing on is tried for a while before
			town.held(t)
		})
	})
	t.Run("take no shard back while it is still to be freed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 1)
			town.rounds(4)
			town.add(m, 1)
			town.broken = true
			m.fail = only("delete", store.Down)
			town.rounds(9) // shards are given up, and stay in the store
			town.live = town.live[:1]
			town.rounds(6)
			m.fail = healthy
			town.rounds(8)
			town.named(t, m)
		})
	})
	t.Run("keep a shard whose taking lost its reply", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			m.fail = only("put", store.Unknown)
			town := newTown(m, 2)
			town.rounds(8)
			town.held(t)
		})
	})
	t.Run("free a shard that was taken in part before its home changed", func(t *testing.T) {
		for call, lost := range map[string]store.Fault{"renew": store.Budget, "put": store.Unknown} {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				town := newTown(m, 1)
				m.fail = func(c string) store.Fault {
					if c == call || c == "get" {
						return lost
					}
					return fine
				}
				town.rounds(1) // alone, it takes every shard for its own
				m.fail = healthy
				town.add(m, 1)
				town.rounds(12)
				town.held(t)
			})
		}
	})
	t.Run("let no key run once the lease may have lapsed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 1)
			town.rounds(4)
			k := town.keepers["vm-0"]
			m.fail = func(string) store.Fault { return store.Down }
			time.Sleep(7 * time.Second)
			v, _ := k.Claim(0, "before", time.Now(), [32]byte{}, "r")
			assert.Equal(t, v, term.Run, "an outage shorter than the lease stops nothing")
			time.Sleep(4 * time.Second)
			v, _ = k.Claim(0, "after", time.Now(), [32]byte{}, "r")
			assert.Equal(t, v, term.NotHolder)
			m.fail = healthy
			town.rounds(8)
			town.held(t)
			v, _ = k.Claim(0, "before", time.Now(), [32]byte{}, "r2")
			assert.Equal(t, v, term.Run, "minted in the new term")
		})
	})
	t.Run("a VM that leaves hands everything on", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTown(newMemory(), 3)
			town.rounds(4)
			leaver := town.keepers["vm-1"]
			town.live = append(town.live[:1:1], town.live[2:]...)
			leaver.Leave(context.Background())
			n, _ := leaver.Held()
			assert.Equal(t, n, 0)
			town.held(t)
		})
	})
	t.Run("a VM that leaves waits for the next holder's store budget", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 2)
			town.rounds(4)
			leaver := town.keepers["vm-1"]
			_, minted := leaver.claimAll()
			used := 0
			m.fail = func(call string) store.Fault {
				if call != "put" {
					return fine
				}
				if used++; used%8 == 0 { // the bucket is empty
					return store.Budget
				}
				return fine
			}
			town.live = town.live[:1]
			leaver.Leave(context.Background())
			for s := range Shards {
				v, _ := town.keepers["vm-0"].Claim(s, "k", minted, [32]byte{}, "again")
				assert.Assert(t, v == term.Run || v == term.Running, "shard %d lost its claims: %d", s, v)
			}
		})
	})
	t.Run("a handover whose write lost its reply keeps the claims", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 2)
			town.rounds(4)
			n, minted := town.keepers["vm-1"].claimAll()
			m.fail = only("put", store.Unknown)
			leaver := town.keepers["vm-1"]
			town.live = town.live[:1]
			leaver.Leave(context.Background())
			kept := 0
			for s := range Shards {
				if v, _ := town.keepers["vm-0"].Claim(s, "k", minted, [32]byte{}, "again"); v == term.Running {
					kept++
				}
			}
			assert.Equal(t, kept, n)
		})
	})
	t.Run("a shard that is taken while it is handed on", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 1)
			town.rounds(4)
			old := town.keepers["vm-0"]
			joined := town.add(m, 1)
			assert.NilError(t, joined.renew(context.Background()))
			shard := joined.homes()[0]
			handed := make(chan struct{})
			m.slow = func(call string) {
				switch call {
				case "get": // the taking found the shard held
					m.slow = func(call string) {
						if call == "put" {
							time.Sleep(2 * time.Second)
						}
					}
					time.AfterFunc(0, func() {
						old.pass(shard, time.Now().Add(handTime))
						old.handOn(context.Background())
						close(handed)
					})
					time.Sleep(10 * time.Millisecond)
				}
			}
			joined.take(context.Background(), shard)
			time.Sleep(3 * term.Margin)
			minted := time.Now()
			before, _ := joined.Claim(shard, "k", minted, [32]byte{}, "r1")
			<-handed
			after, _ := joined.Claim(shard, "k", minted, [32]byte{}, "r2")
			assert.Assert(t, before != term.Run || after != term.Run, "the key was let run twice")
			v, _ := joined.Claim(shard, "new", time.Now(), [32]byte{}, "r3")
			assert.Equal(t, v, term.Run, "the shard was handed on in the end")
		})
	})
	t.Run("a shard that is offered again after it was handed further", func(t *testing.T) {
		for _, step := range []string{"handing", "freeing"} {
			synctest.Test(t, func(t *testing.T) {
				m := newMemory()
				town := newTown(m, 1)
				town.rounds(4)
				joined := town.add(m, 1)
				assert.NilError(t, joined.renew(context.Background()))
				shard := joined.homes()[0]
				revision := town.keepers["vm-0"].held[shard].revision
				offer := func() bool {
					taken, err := joined.Accept(context.Background(), shard, revision, time.Now().Add(-time.Hour), nil)
					return taken && err == nil
				}
				assert.Assert(t, offer())
				minted := time.Now()
				v, _ := joined.Claim(shard, "k", minted, [32]byte{}, "r1")
				assert.Equal(t, v, term.Run)
				assert.Assert(t, offer(), "the reply was lost, so it is offered again")
				joined.pass(shard, time.Now())
				if step == "freeing" {
					joined.end(shard, joined.handing[shard], false)
				}
				assert.Assert(t, !offer(), "it is being handed further")
				v, _ = joined.Claim(shard, "k", minted, [32]byte{}, "r2")
				assert.Equal(t, v, term.NotHolder)
			})
		}
	})
	t.Run("a shard that is freed while it is handed on", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			town := newTown(m, 1)
			town.rounds(4)
			joined := town.add(m, 1)
			assert.NilError(t, joined.renew(context.Background()))
			shard := joined.homes()[0]
			joined.doubt[shard] = true
			m.slow = func(call string) {
				if call == "put" {
					time.Sleep(2 * time.Second)
				}
			}
			old := town.keepers["vm-0"]
			accepted := make(chan struct{})
			time.AfterFunc(0, func() {
				defer close(accepted)
				_, _ = joined.Accept(context.Background(), shard, old.held[shard].revision, time.Now(), nil)
			})
			time.Sleep(10 * time.Millisecond)
			joined.settle(context.Background(), shard)
			<-accepted
			joined.free(context.Background())
			_, err := joined.mine(context.Background(), shard, joined.mark(joined.lease))
			assert.Equal(t, joined.held[shard] != nil, err == nil, "the store names the holder: %v", err)
		})
	})
}

// claimAll lets one key of each shard that k holds run, and returns how many
// and when they were minted.
func (k *Keeper) claimAll() (n int, minted time.Time) {
	minted = time.Now()
	for s := range Shards {
		if v, _ := k.Claim(s, "k", minted, [32]byte{}, "first"); v == term.Run {
			n++
		}
	}
	return n, minted
}

// homes returns the shards whose home this VM is.
func (k *Keeper) homes() []int {
	var out []int
	for s := range Shards {
		if home, ok := HomeOf(s, k.fleet.View().Live); ok && home.Name == k.vm {
			out = append(out, s)
		}
	}
	return out
}

func TestLapseByEitherClock(t *testing.T) {
	now := time.Now()
	l := lapse{at: now.Add(time.Second)}
	assert.Assert(t, l.holds(now))
	assert.Assert(t, !l.holds(now.Add(2*time.Second)))
	// A VM that was suspended: its wall clock went on, the other stood still.
	suspended := lapse{at: now.Add(time.Second).Round(0).Add(-time.Hour)}
	assert.Assert(t, !suspended.holds(now))
}
