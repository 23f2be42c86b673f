package cell

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/engine"
	"umberladder/internal/peer/proto"
	"umberladder/internal/policy/length"
	"umberladder/internal/policy/place"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/member"
	"umberladder/internal/test/check"
)

const documents = `{"classes":[{"name":"standard","rank":1,"max-wait":"10s"}],"models":[{"name":"m","servers":[
{"name":"e1","address":"127.0.0.1:1","failure-domain":"fd-a"}]}]}`

// town is a few VMs that decide for one model over the same engine.
type town struct {
	live  []member.Member
	homes map[ident.VM]*Home
	desks map[ident.VM]*Desk
	pools map[ident.VM]*pool.Pool
	snap  *config.Snapshot
	book  *invar.Book
	deaf  map[ident.VM]bool // answers no call
	group errgroup.Group
}

func (t *town) View() *fleet.View      { return &fleet.View{Live: t.live} }
func (t *town) Load() *config.Snapshot { return t.snap }

var errDeaf = errors.New("no answer")

func (t *town) Seat(ctx context.Context, to member.Member, ask *proto.SeatAsk) (*proto.SeatReply, error) {
	if t.deaf[to.Name] {
		<-ctx.Done()
		return nil, errDeaf
	}
	return t.homes[to.Name].Seat(ctx, ask), nil
}

func (t *town) News(_ context.Context, to member.Member, n *proto.SeatNews) error {
	if t.deaf[to.Name] {
		return errDeaf
	}
	t.homes[to.Name].News(n)
	return nil
}

// newTown starts n VMs before an engine with room for about the given number
// of new streams.
func newTown(t *testing.T, n, room int) *town {
	t.Helper()
	tw := &town{
		homes: map[ident.VM]*Home{},
		desks: map[ident.VM]*Desk{},
		pools: map[ident.VM]*pool.Pool{},
		book:  &invar.Book{},
		deaf:  map[ident.VM]bool{},
	}
	workspace := fmt.Sprintf(`{"caller-keys":[%q],"services":[{"name":"s","kind":"model","model":"m","class":"standard"}]}`, strings.Repeat("ab", 32))
	snap := config.New()
	for path, body := range map[string]string{config.SystemPath: documents, "/workspaces/w": workspace} {
		var err error
		snap, err = snap.With(config.Document{Path: path, Version: 1, Body: []byte(body)})
		assert.NilError(t, err)
	}
	tw.snap = snap
	for i := range n {
		name := ident.VM(fmt.Sprintf("vm-%d", i))
		tw.live = append(tw.live, member.Member{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1")})
		p := pool.New("m", place.Predicted{}, func() int { return 1 }, tw.book, rand.New(rand.NewPCG(uint64(i), 1)))
		p.Update(snap.System.Model("m").Servers)
		p.Report("e1", engine.Load{MemorySize: room, At: time.Now().Add(time.Hour)}, time.Now())
		find := func(ident.Model) *pool.Pool { return p }
		tw.pools[name] = p
		tw.homes[name] = NewHome(name, tw, tw, find, pool.NewAsk, &tw.group)
		tw.desks[name] = NewDesk(name, tw, tw, find, tw)
	}
	return tw
}

func (t *town) run(ctx context.Context) {
	for _, m := range t.live {
		t.group.Go(func() error { return t.homes[m.Name].Run(ctx) })
		t.group.Go(func() error { return t.desks[m.Name].Run(ctx) })
	}
}

// others returns the home and one VM that is not.
func (t *town) others() (home, other ident.VM) {
	h, _ := HomeOf("m", t.live)
	for _, m := range t.live {
		if m.Name != h.Name {
			return h.Name, m.Name
		}
	}
	return h.Name, ""
}

func (t *town) acquire(vm ident.VM) (interface {
	Release(pool.Ending, time.Time)
	Progress(int)
}, *refuse.Refusal,
) {
	w := t.snap.Workspace("w")
	ask := pool.NewAsk(w, w.Service("s"), t.snap.System.Class("standard"), t.snap.System)
	ask.Prompt = 10
	p, _ := t.desks[vm].Placer("m")
	return p.Acquire(context.Background(), &ask)
}

func trial(t *testing.T, room int, f func(t *testing.T, tw *town, home, other ident.VM)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tw := newTown(t, 3, room)
		ctx, cancel := context.WithCancel(context.Background())
		tw.run(ctx)
		home, other := tw.others()
		defer func() {
			cancel()
			assert.NilError(t, tw.group.Wait())
			check.Invariants(t, tw.book)
		}()
		f(t, tw, home, other)
	})
}

const plenty = 1 << 20

// forOne returns memory that just one new stream of these tests fits into.
func forOne() int {
	s := length.New().Curve().Share(0, 10)
	room := 10
	for !s.Within(float64(room), length.Z(config.DefaultOverflowStall)) {
		room += 10
	}
	return room
}

func TestCell(t *testing.T) {
	t.Run("the home seats for another VM, until it is told of the end", func(t *testing.T) {
		trial(t, plenty, func(t *testing.T, tw *town, home, other ident.VM) {
			s, refusal := tw.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, tw.homes[home].Tickets(), 1)
			for n := range 20 {
				s.Progress(n * 10)
				time.Sleep(time.Second)
			}
			assert.Equal(t, tw.homes[home].Tickets(), 1, "news keep it")
			s.Release(pool.Whole, time.Now())
			time.Sleep(time.Second)
			assert.Equal(t, tw.homes[home].Tickets(), 0)
		})
	})
	t.Run("a queued ask is seated when there is room", func(t *testing.T) {
		trial(t, forOne(), func(t *testing.T, tw *town, _, other ident.VM) {
			first, refusal := tw.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			time.AfterFunc(3*time.Second, func() { first.Release(pool.Whole, time.Now()) })
			start := time.Now()
			_, refusal = tw.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Assert(t, time.Since(start) > 2*time.Second && time.Since(start) < 4*time.Second)
		})
	})
	t.Run("the home's refusal is passed on whole", func(t *testing.T) {
		trial(t, 1, func(t *testing.T, tw *town, _, other ident.VM) {
			_, refusal := tw.acquire(other)
			check.Refusal(t, refusal, refuse.WaitedOut, refuse.RanNo)
			assert.Equal(t, refusal.Rule.Path, "/system/classes/standard/max-wait")
			assert.Equal(t, refusal.Rule.Version, uint64(1))
			assert.Assert(t, refusal.RetryAfter > 0)
		})
	})
	t.Run("a home that does not answer is done without", func(t *testing.T) {
		trial(t, plenty, func(t *testing.T, tw *town, home, other ident.VM) {
			tw.deaf[home] = true
			start := time.Now()
			_, refusal := tw.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Assert(t, time.Since(start) < 2*time.Second)
			start = time.Now()
			_, refusal = tw.acquire(other)
			assert.Assert(t, refusal == nil && time.Since(start) < 10*time.Millisecond, "and not asked for a while")
		})
	})
	t.Run("the seats of a VM that died are given back", func(t *testing.T) {
		trial(t, forOne(), func(t *testing.T, tw *town, home, other ident.VM) {
			for range 3 {
				tw.homes[home].Seat(context.Background(), &proto.SeatAsk{Ticket: fmt.Sprint(tw.homes[home].Tickets()), Model: "m", Workspace: "w", Service: "s", Class: "standard", Prompt: 10})
			}
			assert.Equal(t, tw.homes[home].Tickets(), 3, "one seated, two queued, and nobody there")
			time.Sleep(forgotten + 2*sweepEvery)
			assert.Equal(t, tw.homes[home].Tickets(), 0)
			_, refusal := tw.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
		})
	})
	t.Run("a VM that is not the home says so", func(t *testing.T) {
		trial(t, plenty, func(t *testing.T, tw *town, _, other ident.VM) {
			r := tw.homes[other].Seat(context.Background(), &proto.SeatAsk{Ticket: "t", Model: "m"})
			assert.Equal(t, State(r.GetState()), NotHome)
		})
	})
}
