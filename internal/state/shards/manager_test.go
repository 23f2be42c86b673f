package shards

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

// fakeStore is an in-memory store with injected faults.
type fakeStore struct {
	table *table.Table
	fail  func(call string) store.ErrorKind
	// onCall, if set, is called during each get and put, for a put after it has taken
	// effect and before its reply.
	onCall func(call string)
}

const noFault = store.ErrorKind(255)

func (s *fakeStore) faultOf(call string) error {
	if f := s.fail(call); f != noFault {
		return &store.Error{Kind: f, Err: errors.New(call)}
	}
	return nil
}

func (s *fakeStore) delay(call string) {
	if s.onCall != nil {
		s.onCall(call)
	}
}

func (s *fakeStore) Get(_ context.Context, path string) (store.Item, error) {
	s.delay("get")
	it, ok := s.table.Get(path, time.Now())
	if !ok {
		return store.Item{}, &store.Error{Kind: store.NotFound, Err: errors.New(path)}
	}
	return store.Item{Path: path, Revision: it.Revision, Value: it.Value}, s.faultOf("get")
}

func (s *fakeStore) Put(_ context.Context, path string, value []byte, want, lease uint64) (uint64, error) {
	fault := s.fail("put")
	if fault == store.Unavailable || fault == store.BudgetExhausted {
		return 0, &store.Error{Kind: fault, Err: errors.New("put")}
	}
	rev, ok := s.table.Put(path, value, want, lease, time.Now())
	if !ok {
		return 0, &store.Error{Kind: store.Conflict, Err: errors.New(path)}
	}
	s.delay("put")
	if fault != noFault {
		return 0, &store.Error{Kind: fault, Err: errors.New("put")}
	}
	return rev, nil
}

func (s *fakeStore) Delete(_ context.Context, path string, want uint64) error {
	if err := s.faultOf("delete"); err != nil {
		return err
	}
	if !s.table.Delete(path, want, time.Now()) {
		return &store.Error{Kind: store.Conflict, Err: errors.New(path)}
	}
	return nil
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.Lease, error) {
	return store.Lease{ID: s.table.Grant(ttl, time.Now()), StoreTime: time.Now()}, s.faultOf("grant")
}

func (s *fakeStore) Renew(_ context.Context, id uint64) (store.Lease, error) {
	if err := s.faultOf("renew"); err != nil {
		return store.Lease{}, err
	}
	if !s.table.Renew(id, time.Now()) {
		return store.Lease{}, &store.Error{Kind: store.NotFound, Err: errors.New("lease expired")}
	}
	return store.Lease{ID: id, StoreTime: time.Now()}, nil
}

func (s *fakeStore) Revoke(_ context.Context, id uint64) error {
	s.table.Revoke(id, time.Now())
	return nil
}

// cluster holds the managers of a test, provides their membership and carries handovers.
type cluster struct {
	live          []member.Member
	managers      map[ident.VM]*Manager
	handoversFail bool // handovers fail
}

func (c *cluster) View() *fleet.View { return &fleet.View{Live: c.live} }

func (c *cluster) Handover(ctx context.Context, to member.Member, shard int, rev uint64, start time.Time, claims []*proto.Claim) (bool, error) {
	if c.handoversFail {
		return false, errors.New("no reply")
	}
	return c.managers[to.Name].Accept(ctx, shard, rev, start, claims)
}

func newCluster(s *fakeStore, n int) *cluster {
	c := &cluster{managers: map[ident.VM]*Manager{}}
	for i := range n {
		c.add(s, i)
	}
	return c
}

func (c *cluster) add(s *fakeStore, i int) *Manager {
	name := ident.VM(fmt.Sprintf("vm-%d", i))
	c.live = append(c.live, member.Member{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1")})
	c.managers[name] = New(name, 10*time.Second, s, c, c, zap.NewNop())
	return c.managers[name]
}

func (c *cluster) runRounds(n int) {
	for range n {
		for _, m := range c.live {
			c.managers[m.Name].round(context.Background())
		}
		time.Sleep(roundInterval)
	}
}

// assertAllHeld fails the test unless the managers together hold Count shards.
func (c *cluster) assertAllHeld(t *testing.T) {
	t.Helper()
	total := 0
	for _, m := range c.managers {
		n, _ := m.Held()
		total += n
	}
	assert.Equal(t, total, Count)
}

// assertStoreNamesHolders fails the test unless the store names each holder at the
// revision that the holder knows.
func (c *cluster) assertStoreNamesHolders(t *testing.T, s *fakeStore) {
	t.Helper()
	for _, m := range c.managers {
		for shard, h := range m.held {
			it, ok := s.table.Get(shardPath(shard), time.Now())
			assert.Assert(t, ok && it.Revision == h.revision, "shard %d: %v", shard, it)
		}
	}
}

func noFaults(string) store.ErrorKind { return noFault }

// failOnly returns a fail function under which each call of one kind fails.
func failOnly(kind string, f store.ErrorKind) func(string) store.ErrorKind {
	return func(call string) store.ErrorKind {
		if call == kind {
			return f
		}
		return noFault
	}
}

func newFakeStore() *fakeStore {
	return &fakeStore{table: table.NewTable(), fail: noFaults}
}

func TestManagers(t *testing.T) {
	t.Run("distribute the shards", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(newFakeStore(), 3)
			c.runRounds(3)
			c.assertAllHeld(t)
		})
	})
	t.Run("hand over shards with their claims to a VM that joins", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 1)
			c.runRounds(4)
			old := c.managers["vm-0"]
			created := time.Now()
			for s := range Count {
				v, _ := old.Claim(s, "k", created, [32]byte{}, "r1")
				assert.Equal(t, v, term.Granted)
			}
			joined := c.add(st, 1)
			joined.round(context.Background())
			c.runRounds(3)
			c.assertAllHeld(t)
			n, claims := joined.Held()
			assert.Assert(t, n > Count/4 && claims == n, "%d shards, %d claims", n, claims)
			for s := range Count {
				for _, m := range c.managers {
					if v, _ := m.Claim(s, "k", created, [32]byte{}, "r2"); v != term.NotHolder {
						assert.Equal(t, v, term.InProgress)
					}
				}
			}
		})
	})
	t.Run("release a shard whose handover failed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 1)
			c.runRounds(4)
			c.add(st, 1)
			c.handoversFail = true
			st.fail = failOnly("delete", store.Unavailable)
			c.runRounds(3)
			st.fail = noFaults
			c.runRounds(12) // the handover is retried until handoverTimeout
			c.assertAllHeld(t)
		})
	})
	t.Run("do not acquire a shard that is yet to be released", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 1)
			c.runRounds(4)
			c.add(st, 1)
			c.handoversFail = true
			st.fail = failOnly("delete", store.Unavailable)
			c.runRounds(9) // shards are to be released, and remain in the store
			c.live = c.live[:1]
			c.runRounds(6)
			st.fail = noFaults
			c.runRounds(8)
			c.assertStoreNamesHolders(t, st)
		})
	})
	t.Run("hold a shard whose acquisition lost its reply", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			st.fail = failOnly("put", store.OutcomeUnknown)
			c := newCluster(st, 2)
			c.runRounds(8)
			c.assertAllHeld(t)
		})
	})
	t.Run("release a partly acquired shard whose assigned owner has changed", func(t *testing.T) {
		for call, lost := range map[string]store.ErrorKind{"renew": store.BudgetExhausted, "put": store.OutcomeUnknown} {
			synctest.Test(t, func(t *testing.T) {
				st := newFakeStore()
				c := newCluster(st, 1)
				st.fail = func(c string) store.ErrorKind {
					if c == call || c == "get" {
						return lost
					}
					return noFault
				}
				c.runRounds(1) // the only VM tries to acquire every shard
				st.fail = noFaults
				c.add(st, 1)
				c.runRounds(12)
				c.assertAllHeld(t)
			})
		}
	})
	t.Run("refuse claims once the lease may have expired", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 1)
			c.runRounds(4)
			m := c.managers["vm-0"]
			st.fail = func(string) store.ErrorKind { return store.Unavailable }
			time.Sleep(7 * time.Second)
			v, _ := m.Claim(0, "before", time.Now(), [32]byte{}, "r")
			assert.Equal(t, v, term.Granted, "an outage shorter than the lease has no effect")
			time.Sleep(4 * time.Second)
			v, _ = m.Claim(0, "after", time.Now(), [32]byte{}, "r")
			assert.Equal(t, v, term.NotHolder)
			st.fail = noFaults
			c.runRounds(8)
			c.assertAllHeld(t)
			v, _ = m.Claim(0, "before", time.Now(), [32]byte{}, "r2")
			assert.Equal(t, v, term.Granted, "the key was created in the new term")
		})
	})
	t.Run("a VM that shuts down hands over all shards", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(newFakeStore(), 3)
			c.runRounds(4)
			stopping := c.managers["vm-1"]
			c.live = append(c.live[:1:1], c.live[2:]...)
			stopping.HandOverAll(context.Background())
			n, _ := stopping.Held()
			assert.Equal(t, n, 0)
			c.assertAllHeld(t)
		})
	})
	t.Run("a VM that shuts down waits for the next holder's store budget", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 2)
			c.runRounds(4)
			stopping := c.managers["vm-1"]
			_, created := stopping.claimAll()
			used := 0
			st.fail = func(call string) store.ErrorKind {
				if call != "put" {
					return noFault
				}
				if used++; used%8 == 0 { // the token bucket is empty
					return store.BudgetExhausted
				}
				return noFault
			}
			c.live = c.live[:1]
			stopping.HandOverAll(context.Background())
			for s := range Count {
				v, _ := c.managers["vm-0"].Claim(s, "k", created, [32]byte{}, "again")
				assert.Assert(t, v == term.Granted || v == term.InProgress, "shard %d lost its claims: %d", s, v)
			}
		})
	})
	t.Run("a handover whose write lost its reply keeps the claims", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 2)
			c.runRounds(4)
			n, created := c.managers["vm-1"].claimAll()
			st.fail = failOnly("put", store.OutcomeUnknown)
			stopping := c.managers["vm-1"]
			c.live = c.live[:1]
			stopping.HandOverAll(context.Background())
			kept := 0
			for s := range Count {
				if v, _ := c.managers["vm-0"].Claim(s, "k", created, [32]byte{}, "again"); v == term.InProgress {
					kept++
				}
			}
			assert.Equal(t, kept, n)
		})
	})
	t.Run("a shard that is acquired while it is handed over", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 1)
			c.runRounds(4)
			old := c.managers["vm-0"]
			joined := c.add(st, 1)
			assert.NilError(t, joined.renew(context.Background()))
			shard := joined.assignedShards()[0]
			handedOver := make(chan struct{})
			st.onCall = func(call string) {
				switch call {
				case "get": // the acquisition has found that the shard is held
					st.onCall = func(call string) {
						if call == "put" {
							time.Sleep(2 * time.Second)
						}
					}
					time.AfterFunc(0, func() {
						old.startHandover(shard, time.Now().Add(handoverTimeout))
						old.handOverPending(context.Background())
						close(handedOver)
					})
					time.Sleep(10 * time.Millisecond)
				}
			}
			joined.acquire(context.Background(), shard)
			time.Sleep(3 * term.MaxClockSkew)
			created := time.Now()
			before, _ := joined.Claim(shard, "k", created, [32]byte{}, "r1")
			<-handedOver
			after, _ := joined.Claim(shard, "k", created, [32]byte{}, "r2")
			assert.Assert(t, before != term.Granted || after != term.Granted, "the key was allowed to run twice")
			v, _ := joined.Claim(shard, "new", time.Now(), [32]byte{}, "r3")
			assert.Equal(t, v, term.Granted, "the shard must be handed over in the end")
		})
	})
	t.Run("a shard that is offered again after its next handover started", func(t *testing.T) {
		for _, step := range []string{"handing over", "releasing"} {
			synctest.Test(t, func(t *testing.T) {
				st := newFakeStore()
				c := newCluster(st, 1)
				c.runRounds(4)
				joined := c.add(st, 1)
				assert.NilError(t, joined.renew(context.Background()))
				shard := joined.assignedShards()[0]
				revision := c.managers["vm-0"].held[shard].revision
				offer := func() bool {
					accepted, err := joined.Accept(context.Background(), shard, revision, time.Now().Add(-time.Hour), nil)
					return accepted && err == nil
				}
				assert.Assert(t, offer())
				created := time.Now()
				v, _ := joined.Claim(shard, "k", created, [32]byte{}, "r1")
				assert.Equal(t, v, term.Granted)
				assert.Assert(t, offer(), "an offer whose reply was lost is retried")
				joined.startHandover(shard, time.Now())
				if step == "releasing" {
					joined.finishHandover(shard, joined.handingOver[shard], false)
				}
				assert.Assert(t, !offer(), "the shard is already being handed over to another VM")
				v, _ = joined.Claim(shard, "k", created, [32]byte{}, "r2")
				assert.Equal(t, v, term.NotHolder)
			})
		}
	})
	t.Run("a shard that is released while it is handed over", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			st := newFakeStore()
			c := newCluster(st, 1)
			c.runRounds(4)
			joined := c.add(st, 1)
			assert.NilError(t, joined.renew(context.Background()))
			shard := joined.assignedShards()[0]
			joined.uncertain[shard] = true
			st.onCall = func(call string) {
				if call == "put" {
					time.Sleep(2 * time.Second)
				}
			}
			old := c.managers["vm-0"]
			accepted := make(chan struct{})
			time.AfterFunc(0, func() {
				defer close(accepted)
				_, _ = joined.Accept(context.Background(), shard, old.held[shard].revision, time.Now(), nil)
			})
			time.Sleep(10 * time.Millisecond)
			joined.resolve(context.Background(), shard)
			<-accepted
			joined.releaseAll(context.Background())
			_, err := joined.ownRevision(context.Background(), shard, joined.valuePrefix(joined.lease))
			assert.Equal(t, joined.held[shard] != nil, err == nil, "the store must name the holder: %v", err)
		})
	})
}

// claimAll claims one key in each shard that m holds, and returns the number of
// successful claims and the time at which the keys were created.
func (m *Manager) claimAll() (n int, created time.Time) {
	created = time.Now()
	for s := range Count {
		if v, _ := m.Claim(s, "k", created, [32]byte{}, "first"); v == term.Granted {
			n++
		}
	}
	return n, created
}

// assignedShards returns the shards whose assigned owner is this VM.
func (m *Manager) assignedShards() []int {
	var out []int
	for s := range Count {
		if owner, ok := AssignedOwner(s, m.fleet.View().Live); ok && owner.Name == m.vm {
			out = append(out, s)
		}
	}
	return out
}

func TestExpiryByEitherClock(t *testing.T) {
	now := time.Now()
	lease := expiry{at: now.Add(time.Second)}
	assert.Assert(t, lease.valid(now))
	assert.Assert(t, !lease.valid(now.Add(2*time.Second)))
	// While the VM was suspended, its wall clock advanced and its monotonic clock did not.
	suspended := expiry{at: now.Add(time.Second).Round(0).Add(-time.Hour)}
	assert.Assert(t, !suspended.valid(now))
}
