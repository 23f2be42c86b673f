package cell

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

// State is what a home answers to an ask.
type State uint32

// The states of an ask.
const (
	Pending State = iota // queued: ask again with the same ticket
	Seated
	Refused
	NotHome // ask another, or decide alone
)

const (
	homeKey = "cell/"
	// hold is how long an ask waits at the home before it is asked again.
	hold = 700 * time.Millisecond
	// forgotten is when a ticket that is neither asked for nor told of is
	// given up: its VM is dead, or cut off and deciding alone.
	forgotten  = 5 * time.Second
	sweepEvery = time.Second
)

// HomeOf returns the VM that decides for a model.
func HomeOf(m ident.Model, live []member.Member) (member.Member, bool) {
	return member.Home(homeKey+string(m), live)
}

// Fleet tells the membership.
type Fleet interface {
	View() *fleet.View
}

// Settings is where the snapshot in force is read.
type Settings interface {
	Load() *config.Snapshot
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Home decides for the models whose home this VM is. It is safe for use by
// several goroutines.
type Home struct {
	vm       ident.VM
	fleet    Fleet
	settings Settings
	pools    func(ident.Model) *pool.Pool
	asks     func(w *config.Workspace, s *config.Service, c *config.Class, sys *config.System) pool.Ask
	group    Group

	mu      sync.Mutex
	tickets map[string]*ticket
}

// ticket is one ask of another VM, and then its generation's seat.
type ticket struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when seat or refusal is set

	mu      sync.Mutex
	last    time.Time // when the VM was last heard of it
	seat    *pool.Seat
	refusal *refuse.Refusal
	dropped bool // nobody wants it any more: a seat that still comes is given back
}

// NewHome makes a home. asks describes a generation of a service and class.
func NewHome(vm ident.VM, f Fleet, s Settings, pools func(ident.Model) *pool.Pool,
	asks func(*config.Workspace, *config.Service, *config.Class, *config.System) pool.Ask, g Group,
) *Home {
	return &Home{vm: vm, fleet: f, settings: s, pools: pools, asks: asks, group: g, tickets: map[string]*ticket{}}
}

// Seat answers an ask, after at most hold.
func (h *Home) Seat(ctx context.Context, a *proto.SeatAsk) *proto.SeatReply {
	home, ok := HomeOf(ident.Model(a.GetModel()), h.fleet.View().Live)
	if !ok || home.Name != h.vm {
		return &proto.SeatReply{State: uint32(NotHome)}
	}
	t := h.find(a)
	if t == nil {
		return &proto.SeatReply{State: uint32(NotHome)}
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-t.done:
		return t.reply()
	case <-timer.C:
	case <-ctx.Done():
	}
	return &proto.SeatReply{State: uint32(Pending)}
}

// find returns the ticket of an ask, and begins a new one.
func (h *Home) find(a *proto.SeatAsk) *ticket {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.tickets[a.GetTicket()]; t != nil {
		t.heard()
		return t
	}
	p := h.pools(ident.Model(a.GetModel()))
	ask, ok := h.ask(a)
	if p == nil || !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &ticket{cancel: cancel, done: make(chan struct{}), last: time.Now()}
	h.tickets[a.GetTicket()] = t
	h.group.Go(func() error {
		seat, refusal := p.Acquire(ctx, &ask)
		t.settle(seat, refusal)
		return nil
	})
	return t
}

// ask rebuilds what the asking VM's request is, from this VM's settings.
func (h *Home) ask(a *proto.SeatAsk) (pool.Ask, bool) {
	snap := h.settings.Load()
	w := snap.Workspace(ident.Workspace(a.GetWorkspace()))
	if w == nil || snap.System == nil {
		return pool.Ask{}, false
	}
	s, c := w.Service(ident.Service(a.GetService())), snap.System.Class(ident.Class(a.GetClass()))
	if s == nil || c == nil {
		return pool.Ask{}, false
	}
	ask := h.asks(w, s, c, snap.System)
	ask.Prompt, ask.Prefix = int(a.GetPrompt()), a.GetPrefix()
	ask.Exclude = map[ident.Server]struct{}{}
	for _, name := range a.GetExclude() {
		ask.Exclude[ident.Server(name)] = struct{}{}
	}
	return ask, true
}

func (t *ticket) heard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = time.Now()
}

func (t *ticket) settle(s *pool.Seat, r *refuse.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seat, t.refusal = s, r
	if t.dropped && s != nil {
		s.Release(pool.CutOff, time.Now())
	}
	close(t.done)
}

func (t *ticket) reply() *proto.SeatReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.refusal != nil {
		return &proto.SeatReply{State: uint32(Refused), Refusal: refuse.Encode(t.refusal)}
	}
	return &proto.SeatReply{State: uint32(Seated), Server: string(t.seat.At().Name)}
}

// News takes how seated generations come along.
func (h *Home) News(n *proto.SeatNews) {
	for _, s := range n.GetSeats() {
		h.mu.Lock()
		t := h.tickets[s.GetTicket()]
		if t != nil && s.GetEnded() {
			delete(h.tickets, s.GetTicket())
		}
		h.mu.Unlock()
		if t != nil {
			t.news(s)
		}
	}
}

func (t *ticket) news(s *proto.SeatState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = time.Now()
	if t.seat != nil {
		t.seat.Progress(int(s.GetProduced()))
	}
	if s.GetEnded() {
		t.drop(pool.Ending(min(s.GetEnding(), uint32(pool.Refused))), time.Now())
	}
}

// drop gives the ticket back. The caller holds mu.
func (t *ticket) drop(end pool.Ending, now time.Time) {
	t.dropped = true
	t.cancel()
	if t.seat != nil {
		t.seat.Release(end, now)
	}
}

// Run gives up forgotten tickets until ctx ends.
func (h *Home) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			h.sweep(time.Now().Add(forgotten))
			return nil
		case now := <-tick.C:
			h.sweep(now)
		}
	}
}

func (h *Home) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, t := range h.tickets {
		if t.forget(now) {
			delete(h.tickets, id)
		}
	}
}

// forget gives the ticket up if its VM has not been heard of it for long.
func (t *ticket) forget(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last) < forgotten {
		return false
	}
	t.drop(pool.CutOff, now)
	return true
}

// Tickets returns how many asks of other VMs are open or seated here.
func (h *Home) Tickets() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.tickets)
}
