package desk

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
	"umberladder/internal/route/homes"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/hubs"
)

const (
	service = ident.Service("engines")
	memory  = 20_000
	flight  = time.Millisecond // one way between two VMs
)

// vm is one VM with its own knowledge of the same engines.
type vm struct {
	name    ident.VM
	addr    netip.AddrPort
	seats   *seats.Book
	servers *backs.Table
	home    *homes.Home
	desk    *Desk
	deaf    atomic.Bool
	mu      sync.Mutex // orders what is told
	seq     uint64
}

// fleet is some VMs before some engines, in virtual time. The first VM is the
// home of all services.
type fleet struct {
	vms   []*vm
	group errgroup.Group
}

// post carries asks over the fleet's network.
type post struct {
	f    *fleet
	from *vm
}

func (p post) Ask(to netip.AddrPort, a homes.Ask) {
	p.f.group.Go(func() error {
		time.Sleep(flight)
		for _, v := range p.f.vms {
			if v.addr == to && !v.deaf.Load() {
				v.home.Take(a, p.answer, time.Now())
			}
		}
		return nil
	})
}

func (p post) answer(a homes.Answer) {
	p.f.group.Go(func() error {
		time.Sleep(flight)
		p.from.desk.Answered(a)
		return nil
	})
}

func newFleet(ctx context.Context, vms, engines int) *fleet {
	f := &fleet{}
	order := func(self *vm) func(ident.Service, time.Time) []hubs.Rank {
		return func(ident.Service, time.Time) []hubs.Rank {
			var out []hubs.Rank
			for _, v := range f.vms[:2] {
				p := hubs.Rank{VM: v.name, Addr: v.addr}
				if v == self {
					p.Addr = netip.AddrPort{}
				}
				out = append(out, p)
			}
			return out
		}
	}
	for i := range vms {
		v := &vm{
			name:  ident.VM(fmt.Sprintf("vm-%d", i)),
			addr:  netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+i)),
			seats: seats.New(), servers: backs.NewTable(func() {}),
		}
		for e := range engines {
			v.servers.Put(backs.Entry{ID: engine(e), Service: service, Domain: "a", Slots: 24})
		}
		c := pick.NewChooser(v.servers, v.seats, health.New(), rates.New(nil, nil))
		v.home = homes.NewHome(c)
		v.desk = New(v.name, 0, c, v.home, order(v), post{f, v}, func(string) {}, zap.NewNop())
		f.vms = append(f.vms, v)
		f.group.Go(func() error {
			v.home.Run(ctx)
			return nil
		})
	}
	f.group.Go(func() error {
		for ctx.Err() == nil {
			for _, v := range f.vms {
				f.tell(v)
			}
			time.Sleep(500 * time.Millisecond)
		}
		return nil
	})
	return f
}

func engine(n int) ident.Server { return ident.Server(fmt.Sprintf("e%d", n)) }

// tell has a VM tell its loads to the first two.
func (f *fleet) tell(v *vm) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seq++
	for _, to := range f.vms[:2] {
		if to != v {
			to.seats.Hear(v.name, 1, v.seq, 0, v.seats.Own(), time.Now())
		}
	}
}

// want is a call of usual size.
func want() pick.Want {
	return pick.Want{Service: service, Rank: 1, Need: 3300, Read: 3000, Memory: memory, From: "a", Due: 600 * time.Millisecond, Wait: 900 * time.Millisecond}
}

// take places a want of a VM and keeps its seat for d; d < 0: for good.
func (f *fleet) take(v *vm, w pick.Want, d time.Duration) (pick.Spot, error) {
	spot, err := v.desk.Place(context.Background(), w)
	if err != nil {
		return spot, err
	}
	seat := v.seats.Take(spot.Server.ID, seats.Load{Seats: 1, Tokens: w.Need})
	f.tell(v)
	if d >= 0 {
		time.AfterFunc(d, func() {
			seat.Release()
			f.tell(v)
		})
	}
	return spot, nil
}

func trial(t *testing.T, vms, engines int, do func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, vms, engines)
		defer func() {
			cancel()
			assert.NilError(t, f.group.Wait())
		}()
		do(t, f)
	})
}

// fill takes all room of one engine for d.
func (f *fleet) fill(t *testing.T, d time.Duration) {
	t.Helper()
	for range memory / want().Need {
		_, err := f.take(f.vms[1], want(), d)
		assert.NilError(t, err)
	}
}

// full fails the test unless the error says that there is no room.
func full(t *testing.T, err error) *pick.NoRoomError {
	t.Helper()
	var e *pick.NoRoomError
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}

// TestHerd replays calls that all VMs place at once: none of the engines is
// filled over.
func TestHerd(t *testing.T) {
	trial(t, 20, 10, func(t *testing.T, f *fleet) {
		var mu sync.Mutex
		at := map[ident.Server]int{}
		var g errgroup.Group
		for i := range 60 {
			g.Go(func() error {
				spot, err := f.take(f.vms[i%len(f.vms)], want(), -1)
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				at[spot.Server.ID]++
				return nil
			})
		}
		assert.NilError(t, g.Wait())
		for id, n := range at {
			assert.Assert(t, n*want().Need <= memory, "%d at %s", n, id)
		}
	})
}

func TestWaiting(t *testing.T) {
	t.Run("room that comes free is given at once", func(t *testing.T) {
		trial(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fill(t, 300*time.Millisecond)
			start := time.Now()
			_, err := f.take(f.vms[2], want(), 0)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < 310*time.Millisecond, "%s", time.Since(start))
		})
	})
	t.Run("who would wait in vain is refused at once, once that is known", func(t *testing.T) {
		trial(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fill(t, -1)
			var g errgroup.Group
			for range 40 {
				g.Go(func() error {
					_, err := f.take(f.vms[2], want(), 0)
					full(t, err)
					return nil
				})
			}
			time.Sleep(want().Due + 50*time.Millisecond)
			start := time.Now()
			_, err := f.take(f.vms[2], want(), 0)
			assert.Assert(t, full(t, err).Retry >= homes.LeastRetry)
			assert.Assert(t, time.Since(start) < 10*time.Millisecond, "%s", time.Since(start))
			assert.NilError(t, g.Wait())
		})
	})
	t.Run("urgent calls go first, and moves before them", func(t *testing.T) {
		trial(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fill(t, 300*time.Millisecond)
			var mu sync.Mutex
			var order []string
			var g errgroup.Group
			for _, who := range []string{"long", "urgent", "move"} {
				w := want()
				w.Need = 15_000 // one at a time
				switch who {
				case "urgent":
					w.Rank = 0
				case "move":
					w.Use, w.Read = pick.Move, 0
				}
				g.Go(func() error {
					_, err := f.take(f.vms[2], w, 50*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					order = append(order, who)
					return err
				})
				time.Sleep(10 * time.Millisecond)
			}
			assert.NilError(t, g.Wait())
			assert.DeepEqual(t, order, []string{"move", "urgent", "long"})
		})
	})
	t.Run("a request that comes back leaves room to those that can begin in time", func(t *testing.T) {
		trial(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fill(t, 1200*time.Millisecond)
			old := want()
			old.Mark = 7
			_, err := f.take(f.vms[2], old, 0)
			full(t, err)
			var mu sync.Mutex
			var order []string
			var g errgroup.Group
			for who, w := range map[string]pick.Want{"back": old, "new": want()} {
				w.Need, w.Due, w.Wait = 15_000, 2*time.Second, 3*time.Second
				g.Go(func() error {
					_, err := f.take(f.vms[2], w, 50*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					order = append(order, who)
					return err
				})
			}
			assert.NilError(t, g.Wait())
			assert.DeepEqual(t, order, []string{"new", "back"})
		})
	})
	t.Run("a wait ends in time, also behind others that wait", func(t *testing.T) {
		trial(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fill(t, 50*time.Millisecond)
			var g errgroup.Group
			for range 300 {
				g.Go(func() error {
					w := want()
					w.Wait = 2 * time.Second
					start := time.Now()
					_, err := f.take(f.vms[2], w, 600*time.Millisecond)
					if err != nil {
						full(t, err)
					}
					assert.Assert(t, time.Since(start) <= w.Wait+20*time.Millisecond, "%s", time.Since(start))
					return nil
				})
				time.Sleep(20 * time.Millisecond)
			}
			assert.NilError(t, g.Wait())
		})
	})
	t.Run("a VM that went away holds nobody up", func(t *testing.T) {
		trial(t, 3, 1, func(t *testing.T, f *fleet) {
			f.fill(t, 300*time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			_, err := f.vms[2].desk.Place(ctx, want())
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			_, err = f.take(f.vms[1], want(), 0)
			assert.NilError(t, err)
		})
	})
	t.Run("an engine with much to read gets no more", func(t *testing.T) {
		trial(t, 2, 1, func(t *testing.T, f *fleet) {
			f.vms[1].seats.Take(engine(0), seats.Load{Tokens: 6000, Backlog: 6000})
			f.tell(f.vms[1])
			_, err := f.take(f.vms[1], want(), 0)
			full(t, err)
		})
	})
}

func TestBackup(t *testing.T) {
	backup := func(t *testing.T, f *fleet) *backs.Server {
		t.Helper()
		w := want()
		w.Backup = true
		spot, err := f.take(f.vms[1], w, -1)
		assert.NilError(t, err)
		return spot.Backup
	}
	t.Run("at another engine", func(t *testing.T) {
		trial(t, 2, 2, func(t *testing.T, f *fleet) {
			w := want()
			w.Backup = true
			spot, err := f.take(f.vms[1], w, -1)
			assert.NilError(t, err)
			assert.Assert(t, spot.Backup != nil && spot.Backup != spot.Server)
		})
	})
	t.Run("none while engines are filled by calls", func(t *testing.T) {
		trial(t, 2, 2, func(t *testing.T, f *fleet) {
			f.vms[1].seats.Take(engine(0), seats.Load{Tokens: 13_000})
			f.vms[1].seats.Take(engine(1), seats.Load{Tokens: 13_000})
			f.tell(f.vms[1])
			assert.Assert(t, backup(t, f) == nil)
		})
	})
}

// TestCopiesByRisk replays engines that are half full: copies would take the room
// that streams need when their engines leave, unless engines are lost without
// notice.
func TestCopiesByRisk(t *testing.T) {
	place := func(t *testing.T, lost bool) pick.Spot {
		t.Helper()
		var spot pick.Spot
		trial(t, 2, 4, func(t *testing.T, f *fleet) {
			for e := range 4 {
				f.vms[1].seats.Take(engine(e), seats.Load{Tokens: memory * 2 / 5})
			}
			f.tell(f.vms[1])
			w := want()
			w.Backup = true
			if lost {
				w.Failed = []ident.Server{engine(3)}
			}
			var err error
			spot, err = f.take(f.vms[1], w, -1)
			assert.NilError(t, err)
		})
		return spot
	}
	t.Run("engines give notice", func(t *testing.T) {
		assert.Assert(t, place(t, false).Backup == nil)
	})
	t.Run("an engine was lost without notice", func(t *testing.T) {
		assert.Assert(t, place(t, true).Backup != nil)
	})
}

// TestDeadEngine replays an engine that died unnoticed while the others are
// full: it alone has room.
func TestDeadEngine(t *testing.T) {
	trial(t, 10, 3, func(t *testing.T, f *fleet) {
		for i := range 2 {
			f.vms[1].seats.Take(engine(1+i), seats.Load{Tokens: memory})
		}
		f.tell(f.vms[1])
		sent := 0
		for i := range 30 {
			w := want()
			w.Wait = 0
			spot, err := f.vms[i%10].desk.Place(context.Background(), w)
			for err == nil && spot.Server.ID == engine(0) {
				sent++
				w.Skip = []ident.Server{engine(0)}
				w.Failed = w.Skip
				spot, err = f.vms[i%10].desk.Place(context.Background(), w)
			}
			full(t, err)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, sent <= 3, "%d sendings to a dead engine", sent)
	})
}

func TestHomeLost(t *testing.T) {
	t.Run("the next VM decides, and is asked at once the next time", func(t *testing.T) {
		trial(t, 4, 1, func(t *testing.T, f *fleet) {
			f.vms[0].deaf.Store(true)
			for _, limit := range []time.Duration{firstWait + 10*time.Millisecond, 10 * time.Millisecond} {
				start := time.Now()
				_, err := f.take(f.vms[3], want(), -1)
				assert.NilError(t, err)
				assert.Assert(t, time.Since(start) < limit, "%s", time.Since(start))
			}
		})
	})
	t.Run("without either a VM decides alone", func(t *testing.T) {
		trial(t, 4, 1, func(t *testing.T, f *fleet) {
			f.vms[0].deaf.Store(true)
			f.vms[1].deaf.Store(true)
			start := time.Now()
			_, err := f.take(f.vms[3], want(), -1)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < 2*firstWait+10*time.Millisecond)
		})
	})
	t.Run("a home that falls silent while a call waits", func(t *testing.T) {
		trial(t, 4, 1, func(t *testing.T, f *fleet) {
			f.fill(t, 250*time.Millisecond)
			time.AfterFunc(50*time.Millisecond, func() { f.vms[0].deaf.Store(true) })
			w := want()
			w.Wait = 2 * time.Second
			_, err := f.take(f.vms[3], w, -1)
			assert.NilError(t, err)
		})
	})
	t.Run("no engine at all", func(t *testing.T) {
		trial(t, 2, 0, func(t *testing.T, f *fleet) {
			_, err := f.take(f.vms[1], want(), -1)
			assert.ErrorIs(t, err, pick.ErrNoServer)
		})
	})
	t.Run("a server that the asker knows to leave is given back", func(t *testing.T) {
		trial(t, 3, 2, func(t *testing.T, f *fleet) {
			f.vms[2].servers.Put(backs.Entry{ID: engine(0), Service: service, Domain: "a", Slots: 24, Leaving: true})
			for range 4 {
				spot, err := f.take(f.vms[2], want(), -1)
				assert.NilError(t, err)
				assert.Equal(t, spot.Server.ID, engine(1))
			}
		})
	})
}

// TestLeavingEngine replays an engine of six runs that leaves in 1.8 s, and
// whose link carries one cache in 0.25 s. Of caches that share the link none
// has arrived in time.
func TestLeavingEngine(t *testing.T) {
	const (
		copying = 250 * time.Millisecond
		notice  = 1800 * time.Millisecond
	)
	move := want()
	move.Use, move.Read, move.Due, move.Wait = pick.Move, 0, 0, 2*time.Second
	move.Source, move.Skip = engine(0), []ident.Server{engine(0)}
	t.Run("its runs move one after the other", func(t *testing.T) {
		trial(t, 6, 4, func(t *testing.T, f *fleet) {
			var g errgroup.Group
			var under, most, moved atomic.Int64
			start := time.Now()
			for _, v := range f.vms {
				g.Go(func() error {
					if _, err := f.take(v, move, -1); err != nil {
						return err
					}
					most.Store(max(most.Load(), under.Add(1)))
					link := v.seats.Take(engine(0), seats.Load{Sends: 1})
					f.tell(v)
					time.Sleep(copying)
					under.Add(-1)
					link.Release()
					f.tell(v)
					if time.Since(start) < notice {
						moved.Add(1)
					}
					return nil
				})
			}
			assert.NilError(t, g.Wait())
			assert.Equal(t, most.Load(), int64(1), "caches share the link")
			assert.Equal(t, moved.Load(), int64(6))
		})
	})
	t.Run("one that waits for the link holds up no other engine's", func(t *testing.T) {
		trial(t, 3, 4, func(t *testing.T, f *fleet) {
			f.vms[1].seats.Take(engine(0), seats.Load{Sends: 1})
			f.tell(f.vms[1])
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			g.Go(func() error {
				_, err := f.vms[1].desk.Place(ctx, move)
				return err
			})
			time.Sleep(50 * time.Millisecond)
			other := move
			other.Source, other.Skip = engine(1), []ident.Server{engine(1)}
			start := time.Now()
			_, err := f.take(f.vms[2], other, -1)
			assert.NilError(t, err)
			_, err = f.take(f.vms[2], want(), -1)
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < firstWait, "waited for %s", time.Since(start))
			cancel()
			assert.ErrorIs(t, g.Wait(), context.Canceled)
		})
	})
}
