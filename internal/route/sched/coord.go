package sched

import (
	"context"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/proto"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/member"
)

// State is the state of a request at the coordinator.
type State uint32

// The states of a request.
const (
	Pending State = iota // queued; repeat the request with the same ticket
	Placed
	Refused
	NotCoordinator // ask the current coordinator, or place locally
)

const (
	// hashPrefix precedes the model's name in the rendezvous hash. It must be the
	// same on all VMs.
	hashPrefix = "cell/"
	// holdTime is how long the coordinator holds a request before it responds with
	// Pending.
	holdTime = 700 * time.Millisecond
	// ticketTTL is how long a ticket is kept without a request or an update. After
	// that its VM is down, or isolated and placing locally.
	ticketTTL     = 5 * time.Second
	sweepInterval = time.Second
)

// CoordinatorOf returns the VM that places the generations of a model.
func CoordinatorOf(m ident.Model, live []member.Member) (member.Member, bool) {
	return member.Owner(hashPrefix+string(m), live)
}

// Fleet provides the membership.
type Fleet interface {
	View() *fleet.View
}

// Settings provides the snapshot in force.
type Settings interface {
	Load() *config.Snapshot
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Coordinator places the generations of the models that this VM coordinates. It
// is safe for concurrent use.
type Coordinator struct {
	vm         ident.VM
	fleet      Fleet
	settings   Settings
	pools      func(ident.Model) *pool.Pool
	newRequest func(w *config.Workspace, s *config.Service, c *config.Class, sys *config.System) pool.Request
	group      Group

	mu      sync.Mutex
	tickets map[string]*ticket
}

// ticket is a request of another VM, and then the reservation of its generation.
type ticket struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when reservation or refusal is set

	mu          sync.Mutex
	lastSeen    time.Time // when the VM last sent a request or an update
	reservation *pool.Reservation
	refusal     *refuse.Refusal
	released    bool // the VM no longer needs it: a reservation made from now on is released
}

// NewCoordinator returns a Coordinator. newRequest returns the request for a
// generation of a service and class.
func NewCoordinator(vm ident.VM, f Fleet, s Settings, pools func(ident.Model) *pool.Pool,
	newRequest func(*config.Workspace, *config.Service, *config.Class, *config.System) pool.Request, g Group,
) *Coordinator {
	return &Coordinator{vm: vm, fleet: f, settings: s, pools: pools, newRequest: newRequest, group: g, tickets: map[string]*ticket{}}
}

// Reserve responds to a request after at most holdTime.
func (c *Coordinator) Reserve(ctx context.Context, msg *proto.SeatAsk) *proto.SeatReply {
	coordinator, ok := CoordinatorOf(ident.Model(msg.GetModel()), c.fleet.View().Live)
	if !ok || coordinator.Name != c.vm {
		return &proto.SeatReply{State: uint32(NotCoordinator)}
	}
	t := c.ticketFor(msg)
	if t == nil {
		return &proto.SeatReply{State: uint32(NotCoordinator)}
	}
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-t.done:
		return t.reply()
	case <-timer.C:
	case <-ctx.Done():
	}
	return &proto.SeatReply{State: uint32(Pending)}
}

// ticketFor returns the ticket of a request, or creates it.
func (c *Coordinator) ticketFor(msg *proto.SeatAsk) *ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tickets[msg.GetTicket()]; t != nil {
		t.touch()
		return t
	}
	p := c.pools(ident.Model(msg.GetModel()))
	req, ok := c.requestOf(msg)
	if p == nil || !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &ticket{cancel: cancel, done: make(chan struct{}), lastSeen: time.Now()}
	c.tickets[msg.GetTicket()] = t
	c.group.Go(func() error {
		res, refusal := p.Acquire(ctx, &req)
		t.resolve(res, refusal)
		return nil
	})
	return t
}

// requestOf rebuilds the other VM's request from this VM's settings.
func (c *Coordinator) requestOf(msg *proto.SeatAsk) (pool.Request, bool) {
	snap := c.settings.Load()
	workspace := snap.Workspace(ident.Workspace(msg.GetWorkspace()))
	if workspace == nil || snap.System == nil {
		return pool.Request{}, false
	}
	service, class := workspace.Service(ident.Service(msg.GetService())), snap.System.Class(ident.Class(msg.GetClass()))
	if service == nil || class == nil {
		return pool.Request{}, false
	}
	req := c.newRequest(workspace, service, class, snap.System)
	req.Prompt, req.Prefix = int(msg.GetPrompt()), msg.GetPrefix()
	req.Exclude = map[ident.Server]struct{}{}
	for _, name := range msg.GetExclude() {
		req.Exclude[ident.Server(name)] = struct{}{}
	}
	return req, true
}

func (t *ticket) touch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSeen = time.Now()
}

func (t *ticket) resolve(res *pool.Reservation, refusal *refuse.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reservation, t.refusal = res, refusal
	if t.released && res != nil {
		res.Release(pool.Cancelled, time.Now())
	}
	close(t.done)
}

func (t *ticket) reply() *proto.SeatReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusal != nil {
		return &proto.SeatReply{State: uint32(Refused), Refusal: refuse.ToProto(t.refusal)}
	}
	return &proto.SeatReply{State: uint32(Placed), Server: string(t.reservation.Engine().Name)}
}

// HandleUpdates handles updates on placed generations.
func (c *Coordinator) HandleUpdates(n *proto.SeatNews) {
	for _, s := range n.GetSeats() {
		c.mu.Lock()
		t := c.tickets[s.GetTicket()]
		if t != nil && s.GetEnded() {
			delete(c.tickets, s.GetTicket())
		}
		c.mu.Unlock()
		if t != nil {
			t.update(s)
		}
	}
}

func (t *ticket) update(s *proto.SeatState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSeen = time.Now()
	if t.reservation != nil {
		t.reservation.Progress(int(s.GetProduced()))
	}
	if s.GetEnded() {
		t.release(pool.Outcome(min(s.GetEnding(), uint32(pool.Rejected))), time.Now())
	}
}

// release releases the ticket's reservation. The caller holds mu.
func (t *ticket) release(end pool.Outcome, now time.Time) {
	t.released = true
	t.cancel()
	if t.reservation != nil {
		t.reservation.Release(end, now)
	}
}

// Run removes expired tickets until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.sweep(time.Now().Add(ticketTTL))
			return nil
		case now := <-tick.C:
			c.sweep(now)
		}
	}
}

func (c *Coordinator) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, t := range c.tickets {
		if t.expire(now) {
			delete(c.tickets, id)
		}
	}
}

// expire releases the ticket if its VM has not sent anything for ticketTTL.
func (t *ticket) expire(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastSeen) < ticketTTL {
		return false
	}
	t.release(pool.Cancelled, now)
	return true
}

// Tickets returns the number of queued and placed requests of other VMs.
func (c *Coordinator) Tickets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.tickets)
}
