package sched

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

// cluster is a set of VMs that place the generations of one model on the same
// engine.
type cluster struct {
	live         []member.Member
	coordinators map[ident.VM]*Coordinator
	clients      map[ident.VM]*Client
	pools        map[ident.VM]*pool.Pool
	snap         *config.Snapshot
	invariants   *invar.Checker
	unresponsive map[ident.VM]bool // does not respond to calls
	group        errgroup.Group
}

func (c *cluster) View() *fleet.View      { return &fleet.View{Live: c.live} }
func (c *cluster) Load() *config.Snapshot { return c.snap }

var errNoResponse = errors.New("no response")

func (c *cluster) Reserve(ctx context.Context, to member.Member, req *proto.SeatAsk) (*proto.SeatReply, error) {
	if c.unresponsive[to.Name] {
		<-ctx.Done()
		return nil, errNoResponse
	}
	return c.coordinators[to.Name].Reserve(ctx, req), nil
}

func (c *cluster) SendUpdates(_ context.Context, to member.Member, n *proto.SeatNews) error {
	if c.unresponsive[to.Name] {
		return errNoResponse
	}
	c.coordinators[to.Name].HandleUpdates(n)
	return nil
}

// newCluster starts n VMs and an engine with the given memory.
func newCluster(t *testing.T, n, memory int) *cluster {
	t.Helper()
	c := &cluster{
		coordinators: map[ident.VM]*Coordinator{},
		clients:      map[ident.VM]*Client{},
		pools:        map[ident.VM]*pool.Pool{},
		invariants:   &invar.Checker{},
		unresponsive: map[ident.VM]bool{},
	}
	workspace := fmt.Sprintf(`{"caller-keys":[%q],"services":[{"name":"s","kind":"model","model":"m","class":"standard"}]}`, strings.Repeat("ab", 32))
	snap := config.New()
	for path, body := range map[string]string{config.SystemPath: documents, "/workspaces/w": workspace} {
		var err error
		snap, err = snap.With(config.Document{Path: path, Version: 1, Body: []byte(body)})
		assert.NilError(t, err)
	}
	c.snap = snap
	for i := range n {
		name := ident.VM(fmt.Sprintf("vm-%d", i))
		c.live = append(c.live, member.Member{Name: name, Address: netip.MustParseAddrPort("127.0.0.1:1")})
		p := pool.New("m", place.PredictedLoad{}, func() int { return 1 }, c.invariants, rand.New(rand.NewPCG(uint64(i), 1)))
		p.Update(snap.System.Model("m").Servers)
		p.HandleReport("e1", engine.Load{MemorySize: memory, AsOf: time.Now().Add(time.Hour)}, time.Now())
		find := func(ident.Model) *pool.Pool { return p }
		c.pools[name] = p
		c.coordinators[name] = NewCoordinator(name, c, c, find, pool.NewRequest, &c.group)
		c.clients[name] = NewClient(name, c, c, find, c)
	}
	return c
}

func (c *cluster) run(ctx context.Context) {
	for _, m := range c.live {
		c.group.Go(func() error { return c.coordinators[m.Name].Run(ctx) })
		c.group.Go(func() error { return c.clients[m.Name].Run(ctx) })
	}
}

// coordinatorAndOther returns the coordinator and one other VM.
func (c *cluster) coordinatorAndOther() (coordinator, other ident.VM) {
	found, _ := CoordinatorOf("m", c.live)
	for _, m := range c.live {
		if m.Name != found.Name {
			return found.Name, m.Name
		}
	}
	return found.Name, ""
}

func (c *cluster) acquire(vm ident.VM) (interface {
	Release(pool.Outcome, time.Time)
	Progress(int)
}, *refuse.Refusal,
) {
	w := c.snap.Workspace("w")
	req := pool.NewRequest(w, w.Service("s"), c.snap.System.Class("standard"), c.snap.System)
	req.Prompt = 10
	p, _ := c.clients[vm].Placer("m")
	return p.Acquire(context.Background(), &req)
}

func testCluster(t *testing.T, memory int, fn func(t *testing.T, c *cluster, coordinator, other ident.VM)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, memory)
		ctx, cancel := context.WithCancel(context.Background())
		c.run(ctx)
		coordinator, other := c.coordinatorAndOther()
		defer func() {
			cancel()
			assert.NilError(t, c.group.Wait())
			check.Invariants(t, c.invariants)
		}()
		fn(t, c, coordinator, other)
	})
}

const ampleMemory = 1 << 20

// memoryForOne returns the memory that fits exactly one new stream of these
// tests.
func memoryForOne() int {
	share := length.New().Curve().Forecast(0, 10)
	memory := 10
	for !share.Within(float64(memory), length.NormalQuantile(config.DefaultOverflowStall)) {
		memory += 10
	}
	return memory
}

func TestCoordinator(t *testing.T) {
	t.Run("the coordinator keeps another VM's reservation until its end is reported", func(t *testing.T) {
		testCluster(t, ampleMemory, func(t *testing.T, c *cluster, coordinator, other ident.VM) {
			res, refusal := c.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, c.coordinators[coordinator].Tickets(), 1)
			for n := range 20 {
				res.Progress(n * 10)
				time.Sleep(time.Second)
			}
			assert.Equal(t, c.coordinators[coordinator].Tickets(), 1, "updates keep the ticket")
			res.Release(pool.Completed, time.Now())
			time.Sleep(time.Second)
			assert.Equal(t, c.coordinators[coordinator].Tickets(), 0)
		})
	})
	t.Run("a queued request is placed when capacity is released", func(t *testing.T) {
		testCluster(t, memoryForOne(), func(t *testing.T, c *cluster, _, other ident.VM) {
			first, refusal := c.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			time.AfterFunc(3*time.Second, func() { first.Release(pool.Completed, time.Now()) })
			start := time.Now()
			_, refusal = c.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Assert(t, time.Since(start) > 2*time.Second && time.Since(start) < 4*time.Second)
		})
	})
	t.Run("the coordinator's refusal is passed on unchanged", func(t *testing.T) {
		testCluster(t, 1, func(t *testing.T, c *cluster, _, other ident.VM) {
			_, refusal := c.acquire(other)
			check.Refusal(t, refusal, refuse.WaitExceeded, refuse.RanNo)
			assert.Equal(t, refusal.Rule.Path, "/system/classes/standard/max-wait")
			assert.Equal(t, refusal.Rule.Version, uint64(1))
			assert.Assert(t, refusal.RetryAfter > 0)
		})
	})
	t.Run("a VM places locally if the coordinator does not respond", func(t *testing.T) {
		testCluster(t, ampleMemory, func(t *testing.T, c *cluster, coordinator, other ident.VM) {
			c.unresponsive[coordinator] = true
			start := time.Now()
			_, refusal := c.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Assert(t, time.Since(start) < 2*time.Second)
			start = time.Now()
			_, refusal = c.acquire(other)
			assert.Assert(t, refusal == nil && time.Since(start) < 10*time.Millisecond, "the coordinator must not be asked again soon")
		})
	})
	t.Run("the reservations of a terminated VM are released", func(t *testing.T) {
		testCluster(t, memoryForOne(), func(t *testing.T, c *cluster, coordinator, other ident.VM) {
			for range 3 {
				c.coordinators[coordinator].Reserve(context.Background(), &proto.SeatAsk{Ticket: fmt.Sprint(c.coordinators[coordinator].Tickets()), Model: "m", Workspace: "w", Service: "s", Class: "standard", Prompt: 10})
			}
			assert.Equal(t, c.coordinators[coordinator].Tickets(), 3, "one placed and two queued, none of them updated")
			time.Sleep(ticketTTL + 2*sweepInterval)
			assert.Equal(t, c.coordinators[coordinator].Tickets(), 0)
			_, refusal := c.acquire(other)
			assert.Assert(t, refusal == nil, "%v", refusal)
		})
	})
	t.Run("a VM that is not the coordinator says so", func(t *testing.T) {
		testCluster(t, ampleMemory, func(t *testing.T, c *cluster, _, other ident.VM) {
			reply := c.coordinators[other].Reserve(context.Background(), &proto.SeatAsk{Ticket: "t", Model: "m"})
			assert.Equal(t, State(reply.GetState()), NotCoordinator)
		})
	})
}
