package placer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/srvtab"
)

const (
	service  = ident.Service("engines")
	memory   = 20_000
	netDelay = time.Millisecond // one way between two VMs
)

// vm is one VM with its own view of the same engines.
type vm struct {
	name         ident.VM
	addr         netip.AddrPort
	tracker      *alloc.Tracker
	servers      *srvtab.Table
	coordinator  *coord.Coordinator
	placer       *Placer
	health       *health.Tracker
	unresponsive atomic.Bool
	late         time.Duration // how long it takes to receive a request
	mu           sync.Mutex    // serialises reports, so that they arrive in order of seq
	seq          uint64
}

// fleet is a set of VMs that use the same engines, in virtual time. The first
// VM is the coordinator of all services.
type fleet struct {
	vms   []*vm
	group errgroup.Group
}

// transport implements Transport over the fleet's network.
type transport struct {
	fleet *fleet
	from  *vm
}

func (t transport) SendRequest(to netip.AddrPort, r coord.Request) {
	t.fleet.group.Go(func() error {
		time.Sleep(netDelay)
		for _, v := range t.fleet.vms {
			if v.addr == to && !v.unresponsive.Load() {
				time.Sleep(v.late)
				v.coordinator.Submit(r, t.respond, time.Now())
			}
		}
		return nil
	})
}

func (t transport) respond(resp coord.Response) {
	t.fleet.group.Go(func() error {
		time.Sleep(netDelay)
		t.from.placer.HandleResponse(resp)
		return nil
	})
}

func newFleet(ctx context.Context, vms, engines int) *fleet {
	f := &fleet{}
	order := func(self *vm) func(ident.Service, time.Time) []hubs.CoordinatorCandidate {
		return func(ident.Service, time.Time) []hubs.CoordinatorCandidate {
			var out []hubs.CoordinatorCandidate
			for _, v := range f.vms[:2] {
				candidate := hubs.CoordinatorCandidate{VM: v.name, Addr: v.addr}
				if v == self {
					candidate.Addr = netip.AddrPort{}
				}
				out = append(out, candidate)
			}
			return out
		}
	}
	for i := range vms {
		v := &vm{
			name:    ident.VM(fmt.Sprintf("vm-%d", i)),
			addr:    netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+i)),
			tracker: alloc.New(), servers: srvtab.NewTable(func() {}), health: health.New(),
		}
		for e := range engines {
			v.servers.Put(srvtab.Entry{ID: engine(e), Service: service, Domain: "a", Slots: 24, Version: "v1"})
		}
		c := pick.NewChooser(v.servers, v.tracker, v.health, rates.New(nil, nil))
		v.coordinator = coord.New(c)
		v.placer = New(v.name, 0, c, v.coordinator, order(v), transport{f, v}, func(string) {}, zap.NewNop())
		f.vms = append(f.vms, v)
		f.group.Go(func() error {
			v.coordinator.Run(ctx)
			return nil
		})
	}
	f.group.Go(func() error {
		for ctx.Err() == nil {
			for _, v := range f.vms {
				f.reportLoads(v)
			}
			time.Sleep(500 * time.Millisecond)
		}
		return nil
	})
	return f
}

func engine(n int) ident.Server { return ident.Server(fmt.Sprintf("e%d", n)) }

// reportLoads sends a VM's loads to the first two VMs.
func (f *fleet) reportLoads(v *vm) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seq++
	for _, to := range f.vms[:2] {
		if to != v {
			to.tracker.UpdatePeer(v.name, 1, v.seq, 0, v.tracker.Local(), time.Now())
		}
	}
}

// newCall returns a placement request of typical size.
func newCall() pick.Request {
	return pick.Request{Service: service, Rank: 1, Need: 3300, Prefill: 3000, EngineMemory: memory, From: "a", TargetWait: 600 * time.Millisecond, MaxWait: 900 * time.Millisecond}
}

// placeAndHold places a run and holds its reservation for d, or forever if
// d < 0.
func (f *fleet) placeAndHold(v *vm, r pick.Request, d time.Duration) (pick.Placement, error) {
	placement, err := v.placer.Place(context.Background(), r)
	if err != nil {
		return placement, err
	}
	res := v.tracker.Reserve(placement.Server.ID, alloc.Load{Calls: 1, Tokens: r.Need})
	f.reportLoads(v)
	if d >= 0 {
		time.AfterFunc(d, func() {
			res.Release()
			f.reportLoads(v)
		})
	}
	return placement, nil
}

func testFleet(t *testing.T, vms, engines int, fn func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, vms, engines)
		defer func() {
			cancel()
			assert.NilError(t, f.group.Wait())
		}()
		fn(t, f)
	})
}

// fillEngine reserves all capacity of an engine for d.
func (f *fleet) fillEngine(t *testing.T, d time.Duration) {
	t.Helper()
	for range memory / newCall().Need {
		_, err := f.placeAndHold(f.vms[1], newCall(), d)
		assert.NilError(t, err)
	}
}

// assertNoCapacity fails the test unless err is a NoCapacityError.
func assertNoCapacity(t *testing.T, err error) *pick.NoCapacityError {
	t.Helper()
	var noCapacity *pick.NoCapacityError
	assert.Assert(t, errors.As(err, &noCapacity), "%v", err)
	return noCapacity
}

// TestConcurrentPlacements guards against VMs that all place calls at once and
// overcommit an engine.
func TestConcurrentPlacements(t *testing.T) {
	testFleet(t, 20, 10, func(t *testing.T, f *fleet) {
		var mu sync.Mutex
		runs := map[ident.Server]int{}
		var g errgroup.Group
		for i := range 60 {
			g.Go(func() error {
				placement, err := f.placeAndHold(f.vms[i%len(f.vms)], newCall(), -1)
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				runs[placement.Server.ID]++
				return nil
			})
		}
		assert.NilError(t, g.Wait())
		for id, n := range runs {
			assert.Assert(t, n*newCall().Need <= memory, "%d at %s", n, id)
		}
	})
}

func TestWaiting(t *testing.T) {
	t.Run("released capacity is granted at once", func(t *testing.T) {
		testFleet(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, 300*time.Millisecond)
			start := time.Now()
			_, err := f.placeAndHold(f.vms[2], newCall(), 0)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < 310*time.Millisecond, "%s", time.Since(start))
		})
	})
	t.Run("a call that cannot start in time is refused at once when the wait can be estimated", func(t *testing.T) {
		testFleet(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, -1)
			var g errgroup.Group
			for range 40 {
				g.Go(func() error {
					_, err := f.placeAndHold(f.vms[2], newCall(), 0)
					assertNoCapacity(t, err)
					return nil
				})
			}
			time.Sleep(newCall().TargetWait + 50*time.Millisecond)
			start := time.Now()
			_, err := f.placeAndHold(f.vms[2], newCall(), 0)
			assert.Assert(t, assertNoCapacity(t, err).RetryAfter >= coord.MinRetryAfter)
			assert.Assert(t, time.Since(start) < 10*time.Millisecond, "%s", time.Since(start))
			assert.NilError(t, g.Wait())
		})
	})
	t.Run("urgent calls precede others, and migrations precede urgent calls", func(t *testing.T) {
		testFleet(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, 300*time.Millisecond)
			var mu sync.Mutex
			var started []string
			var g errgroup.Group
			for _, name := range []string{"long", "urgent", "migration"} {
				r := newCall()
				r.Need = 15_000 // only one fits at a time
				switch name {
				case "urgent":
					r.Rank = 0
				case "migration":
					r.Purpose, r.Prefill = pick.Migration, 0
				}
				g.Go(func() error {
					_, err := f.placeAndHold(f.vms[2], r, 50*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					started = append(started, name)
					return err
				})
				time.Sleep(10 * time.Millisecond)
			}
			assert.NilError(t, g.Wait())
			assert.DeepEqual(t, started, []string{"migration", "urgent", "long"})
		})
	})
	t.Run("a rank that changes takes effect while the call is queued", func(t *testing.T) {
		testFleet(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, 400*time.Millisecond)
			var started []string
			var g errgroup.Group
			raised := time.Now().Add(50 * time.Millisecond)
			var mu sync.Mutex
			for _, name := range []string{"first", "second"} {
				r := newCall()
				r.Need = 15_000 // only one fits at a time
				if name == "second" {
					r.CurrentRank = func() int {
						if time.Now().Before(raised) {
							return 1
						}
						return 0
					}
				}
				g.Go(func() error {
					_, err := f.placeAndHold(f.vms[2], r, 50*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					started = append(started, name)
					return err
				})
				time.Sleep(10 * time.Millisecond)
			}
			assert.NilError(t, g.Wait())
			assert.DeepEqual(t, started, []string{"second", "first"})
		})
	})
	t.Run("a repeated call yields to calls that can start in time", func(t *testing.T) {
		testFleet(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, 1200*time.Millisecond)
			repeated := newCall()
			repeated.RetryKey = 7
			_, err := f.placeAndHold(f.vms[2], repeated, 0)
			assertNoCapacity(t, err)
			var mu sync.Mutex
			var started []string
			var g errgroup.Group
			for name, r := range map[string]pick.Request{"repeated": repeated, "new": newCall()} {
				r.Need, r.TargetWait, r.MaxWait = 15_000, 2*time.Second, 3*time.Second
				g.Go(func() error {
					_, err := f.placeAndHold(f.vms[2], r, 50*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					started = append(started, name)
					return err
				})
			}
			assert.NilError(t, g.Wait())
			assert.DeepEqual(t, started, []string{"new", "repeated"})
		})
	})
	t.Run("a wait ends at its limit, also behind other queued calls", func(t *testing.T) {
		testFleet(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, 50*time.Millisecond)
			var g errgroup.Group
			for range 300 {
				g.Go(func() error {
					r := newCall()
					r.MaxWait = 2 * time.Second
					start := time.Now()
					_, err := f.placeAndHold(f.vms[2], r, 600*time.Millisecond)
					if err != nil {
						assertNoCapacity(t, err)
					}
					assert.Assert(t, time.Since(start) <= r.MaxWait+20*time.Millisecond, "%s", time.Since(start))
					return nil
				})
				time.Sleep(20 * time.Millisecond)
			}
			assert.NilError(t, g.Wait())
		})
	})
	t.Run("a cancelled request does not block the queue", func(t *testing.T) {
		testFleet(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, 300*time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			_, err := f.vms[2].placer.Place(ctx, newCall())
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			_, err = f.placeAndHold(f.vms[1], newCall(), 0)
			assert.NilError(t, err)
		})
	})
	t.Run("an engine with a large prefill backlog gets no more calls", func(t *testing.T) {
		testFleet(t, 2, 1, func(t *testing.T, f *fleet) {
			f.vms[1].tracker.Reserve(engine(0), alloc.Load{Tokens: 6000, Backlog: 6000})
			f.reportLoads(f.vms[1])
			_, err := f.placeAndHold(f.vms[1], newCall(), 0)
			assertNoCapacity(t, err)
		})
	})
}

func TestBackup(t *testing.T) {
	backup := func(t *testing.T, f *fleet) *srvtab.Server {
		t.Helper()
		r := newCall()
		r.Backup = true
		placement, err := f.placeAndHold(f.vms[1], r, -1)
		assert.NilError(t, err)
		return placement.Backup
	}
	t.Run("on another engine", func(t *testing.T) {
		testFleet(t, 2, 2, func(t *testing.T, f *fleet) {
			r := newCall()
			r.Backup = true
			placement, err := f.placeAndHold(f.vms[1], r, -1)
			assert.NilError(t, err)
			assert.Assert(t, placement.Backup != nil && placement.Backup != placement.Server)
		})
	})
	t.Run("none while calls fill the engines", func(t *testing.T) {
		testFleet(t, 2, 2, func(t *testing.T, f *fleet) {
			f.vms[1].tracker.Reserve(engine(0), alloc.Load{Tokens: 13_000})
			f.vms[1].tracker.Reserve(engine(1), alloc.Load{Tokens: 13_000})
			f.reportLoads(f.vms[1])
			assert.Assert(t, backup(t, f) == nil)
		})
	})
}

// TestCopiesByRisk checks that half-full engines keep KV cache copies only if
// engines have recently been lost without notice. Otherwise the copies would
// take the capacity that streams need when their engines are retired.
func TestCopiesByRisk(t *testing.T) {
	placeOne := func(t *testing.T, unreachable bool) pick.Placement {
		t.Helper()
		var placement pick.Placement
		testFleet(t, 2, 4, func(t *testing.T, f *fleet) {
			for e := range 4 {
				f.vms[1].tracker.Reserve(engine(e), alloc.Load{Tokens: memory * 2 / 5})
			}
			f.reportLoads(f.vms[1])
			r := newCall()
			r.Backup = true
			if unreachable {
				r.Unreachable = []ident.Server{engine(3)}
			}
			var err error
			placement, err = f.placeAndHold(f.vms[1], r, -1)
			assert.NilError(t, err)
		})
		return placement
	}
	t.Run("engines announce their end", func(t *testing.T) {
		assert.Assert(t, placeOne(t, false).Backup == nil)
	})
	t.Run("an engine was lost without notice", func(t *testing.T) {
		assert.Assert(t, placeOne(t, true).Backup != nil)
	})
}

// TestDeadEngine guards against repeated attempts at an engine that terminated
// unnoticed: while the others are full, it alone appears to have capacity.
func TestDeadEngine(t *testing.T) {
	testFleet(t, 10, 3, func(t *testing.T, f *fleet) {
		for i := range 2 {
			f.vms[1].tracker.Reserve(engine(1+i), alloc.Load{Tokens: memory})
		}
		f.reportLoads(f.vms[1])
		attempts := 0
		for i := range 30 {
			r := newCall()
			r.MaxWait = 0
			placement, err := f.vms[i%10].placer.Place(context.Background(), r)
			for err == nil && placement.Server.ID == engine(0) {
				attempts++
				r.Exclude = []ident.Server{engine(0)}
				r.Unreachable = r.Exclude
				placement, err = f.vms[i%10].placer.Place(context.Background(), r)
			}
			assertNoCapacity(t, err)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, attempts <= 3, "%d attempts at a terminated engine", attempts)
	})
}

// TestUnhealthyServers guards against a VM that places brief runs by itself, beside those that the
// coordinator grants, because all servers have failed some of its calls: brittle servers then get
// more than they have room for, and fail more.
func TestUnhealthyServers(t *testing.T) {
	testFleet(t, 4, 2, func(t *testing.T, f *fleet) {
		v := f.vms[3]
		for e := range 2 {
			for range 3 {
				v.health.Failure(engine(e), time.Now())
			}
		}
		for _, brief := range []bool{true, false} {
			r := newCall()
			r.Brief = brief
			placement, err := f.placeAndHold(v, r, -1)
			assert.NilError(t, err)
			assert.Equal(t, placement.Grant != 0, brief)
		}
	})
}

func TestCoordinatorLost(t *testing.T) {
	t.Run("the next VM decides, and is asked first the next time", func(t *testing.T) {
		testFleet(t, 4, 1, func(t *testing.T, f *fleet) {
			f.vms[0].unresponsive.Store(true)
			for _, limit := range []time.Duration{firstTimeout + 10*time.Millisecond, 10 * time.Millisecond} {
				start := time.Now()
				_, err := f.placeAndHold(f.vms[3], newCall(), -1)
				assert.NilError(t, err)
				assert.Assert(t, time.Since(start) < limit, "%s", time.Since(start))
			}
		})
	})
	t.Run("only a brief call waits for a coordinator that is late", func(t *testing.T) {
		// Two coordinators at a time grant the same places, and brittle servers fail.
		testFleet(t, 4, 1, func(t *testing.T, f *fleet) {
			f.vms[0].late = 100 * time.Millisecond
			for i, want := range []time.Duration{f.vms[0].late, firstTimeout} {
				r := newCall()
				r.Brief = i == 0
				start := time.Now()
				_, err := f.placeAndHold(f.vms[3], r, -1)
				assert.NilError(t, err)
				assert.Equal(t, time.Since(start), want+2*netDelay, "brief: %t", r.Brief)
			}
		})
	})
	t.Run("a VM places runs itself if neither responds", func(t *testing.T) {
		testFleet(t, 4, 1, func(t *testing.T, f *fleet) {
			f.vms[0].unresponsive.Store(true)
			f.vms[1].unresponsive.Store(true)
			start := time.Now()
			_, err := f.placeAndHold(f.vms[3], newCall(), -1)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < 2*firstTimeout+10*time.Millisecond)
		})
	})
	t.Run("a coordinator that stops responding while a call is queued", func(t *testing.T) {
		testFleet(t, 4, 1, func(t *testing.T, f *fleet) {
			f.fillEngine(t, 250*time.Millisecond)
			time.AfterFunc(50*time.Millisecond, func() { f.vms[0].unresponsive.Store(true) })
			r := newCall()
			r.MaxWait = 2 * time.Second
			_, err := f.placeAndHold(f.vms[3], r, -1)
			assert.NilError(t, err)
		})
	})
	t.Run("no engine", func(t *testing.T) {
		testFleet(t, 2, 0, func(t *testing.T, f *fleet) {
			_, err := f.placeAndHold(f.vms[1], newCall(), -1)
			assert.ErrorIs(t, err, pick.ErrNoServer)
		})
	})
	t.Run("a granted server that the requesting VM knows to be retired is declined", func(t *testing.T) {
		testFleet(t, 3, 2, func(t *testing.T, f *fleet) {
			f.vms[2].servers.Put(srvtab.Entry{ID: engine(0), Service: service, Domain: "a", Slots: 24, Draining: true})
			for range 4 {
				placement, err := f.placeAndHold(f.vms[2], newCall(), -1)
				assert.NilError(t, err)
				assert.Equal(t, placement.Server.ID, engine(1))
			}
		})
	})
}

// TestRetiredEngine retires an engine with six runs in 1.8 s whose link
// transfers one KV cache in 0.25 s. If the transfers share the link, none
// completes in time.
func TestRetiredEngine(t *testing.T) {
	const (
		copyTime = 250 * time.Millisecond
		notice   = 1800 * time.Millisecond
	)
	migration := newCall()
	migration.Purpose, migration.Prefill, migration.TargetWait, migration.MaxWait = pick.Migration, 0, 0, 2*time.Second
	migration.Source, migration.Exclude = engine(0), []ident.Server{engine(0)}
	t.Run("its runs migrate one after the other", func(t *testing.T) {
		testFleet(t, 6, 4, func(t *testing.T, f *fleet) {
			var g errgroup.Group
			var copies, maxCopies, migrated atomic.Int64
			start := time.Now()
			for _, v := range f.vms {
				g.Go(func() error {
					if _, err := f.placeAndHold(v, migration, -1); err != nil {
						return err
					}
					maxCopies.Store(max(maxCopies.Load(), copies.Add(1)))
					link := v.tracker.Reserve(engine(0), alloc.Load{CopiesOut: 1})
					f.reportLoads(v)
					time.Sleep(copyTime)
					copies.Add(-1)
					link.Release()
					f.reportLoads(v)
					if time.Since(start) < notice {
						migrated.Add(1)
					}
					return nil
				})
			}
			assert.NilError(t, g.Wait())
			assert.Equal(t, maxCopies.Load(), int64(1), "caches share the link")
			assert.Equal(t, migrated.Load(), int64(6))
		})
	})
	t.Run("a migration that waits for the link does not block those of other engines", func(t *testing.T) {
		testFleet(t, 3, 4, func(t *testing.T, f *fleet) {
			f.vms[1].tracker.Reserve(engine(0), alloc.Load{CopiesOut: 1})
			f.reportLoads(f.vms[1])
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			g.Go(func() error {
				_, err := f.vms[1].placer.Place(ctx, migration)
				return err
			})
			time.Sleep(50 * time.Millisecond)
			other := migration
			other.Source, other.Exclude = engine(1), []ident.Server{engine(1)}
			start := time.Now()
			_, err := f.placeAndHold(f.vms[2], other, -1)
			assert.NilError(t, err)
			_, err = f.placeAndHold(f.vms[2], newCall(), -1)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < firstTimeout, "waited for %s", time.Since(start))
			cancel()
			assert.ErrorIs(t, g.Wait(), context.Canceled)
		})
	})
}

// TestNoServers guards against calls that wait for coordinators that do not respond, although
// no server of their service accepts work.
func TestNoServers(t *testing.T) {
	testFleet(t, 3, 0, func(t *testing.T, f *fleet) {
		f.vms[0].unresponsive.Store(true)
		f.vms[1].unresponsive.Store(true)
		start := time.Now()
		_, err := f.vms[2].placer.Place(t.Context(), newCall())
		assert.ErrorIs(t, err, pick.ErrNoServer)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// TestFullVersion guards against calls that wait, although engines have room, behind a stream
// that can go on only at engines of a version of the software that are all full.
func TestFullVersion(t *testing.T) {
	testFleet(t, 3, 2, func(t *testing.T, f *fleet) {
		for _, v := range f.vms {
			v.servers.Put(srvtab.Entry{ID: engine(1), Service: service, Domain: "a", Slots: 24, Version: "v2"})
		}
		for range memory / newCall().Need {
			r := newCall()
			r.Version = "v1"
			_, err := f.placeAndHold(f.vms[1], r, 500*time.Millisecond)
			assert.NilError(t, err)
		}
		var g errgroup.Group
		for name, r := range map[string]pick.Request{"migration": {Purpose: pick.Migration}, "resumed": {}} {
			g.Go(func() error {
				call := newCall()
				call.Purpose, call.Version = r.Purpose, "v1"
				start := time.Now()
				placement, err := f.placeAndHold(f.vms[2], call, -1)
				assert.NilError(t, err, name)
				assert.Equal(t, placement.Server.ID, engine(0), name)
				assert.Assert(t, time.Since(start) < 550*time.Millisecond, "%s waited for %s", name, time.Since(start))
				return nil
			})
		}
		time.Sleep(50 * time.Millisecond)
		for range 3 {
			start, call := time.Now(), newCall()
			call.Prefill = 0 // so that the engine's prefill does not delay the next call
			placement, err := f.placeAndHold(f.vms[2], call, 0)
			assert.NilError(t, err)
			assert.Equal(t, placement.Server.ID, engine(1))
			assert.Assert(t, time.Since(start) < 50*time.Millisecond, "waited for %s", time.Since(start))
		}
		assert.NilError(t, g.Wait())
	})
}
