package sched

import (
	"context"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/proto"
	"umberladder/internal/route/infer"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
	"umberladder/internal/state/member"
)

const (
	requestTimeout = holdTime + 800*time.Millisecond
	avoidTime      = 2 * time.Second // how long a coordinator that did not respond gets no requests
	updateInterval = 50 * time.Millisecond
	// progressEvery is the number of update rounds per report of the progress of
	// running streams. Ends are reported in the next round.
	progressEvery = 10
	updateTimeout = time.Second
	// maxCoordinators is how many coordinators are tried in turn: the first may be
	// shutting down.
	maxCoordinators = 2
)

// Peers sends requests and updates to other VMs.
type Peers interface {
	Reserve(ctx context.Context, to member.Member, req *proto.SeatAsk) (*proto.SeatReply, error)
	SendUpdates(ctx context.Context, to member.Member, update *proto.SeatNews) error
}

// Client requests reservations for this VM's generations from the coordinators. It
// is safe for concurrent use.
type Client struct {
	vm       ident.VM
	fleet    Fleet
	settings Settings
	pools    func(ident.Model) *pool.Pool
	peers    Peers

	mu           sync.Mutex
	reservations map[ident.VM]map[string]*reservation // by coordinator and ticket
	avoidUntil   map[ident.VM]time.Time
}

// NewClient returns the Client of a VM.
func NewClient(vm ident.VM, f Fleet, s Settings, pools func(ident.Model) *pool.Pool, peers Peers) *Client {
	return &Client{
		vm:           vm,
		fleet:        f,
		settings:     s,
		pools:        pools,
		peers:        peers,
		reservations: map[ident.VM]map[string]*reservation{},
		avoidUntil:   map[ident.VM]time.Time{},
	}
}

// Placer returns the placer of a model; false if the settings have no such model.
func (c *Client) Placer(m ident.Model) (infer.Placer, bool) {
	p := c.pools(m)
	if p == nil {
		return nil, false
	}
	return &modelPlacer{client: c, model: m, pool: p}, true
}

// modelPlacer places the generations of one model.
type modelPlacer struct {
	client *Client
	model  ident.Model
	pool   *pool.Pool
}

// Model implements infer.Placer.
func (p *modelPlacer) Model() ident.Model { return p.model }

// Acquire implements infer.Placer.
func (p *modelPlacer) Acquire(ctx context.Context, req *pool.Request) (infer.Reservation, *refuse.Refusal) {
	for range maxCoordinators {
		coordinator, ok := CoordinatorOf(p.model, p.client.fleet.View().Live)
		if !ok || coordinator.Name == p.client.vm || !p.client.isAvailable(coordinator.Name) {
			break
		}
		if res, refusal, responded := p.acquireRemote(ctx, coordinator, req); responded {
			return res, refusal
		}
	}
	return p.acquireLocal(ctx, req)
}

func (p *modelPlacer) acquireLocal(ctx context.Context, req *pool.Request) (infer.Reservation, *refuse.Refusal) {
	res, refusal := p.pool.Acquire(ctx, req)
	if refusal != nil {
		return nil, refusal
	}
	return res, nil
}

// acquireRemote repeats the request until the coordinator decides. It returns false
// if the coordinator does not respond, does not coordinate the model, or chose an
// engine that this VM's settings do not have.
func (p *modelPlacer) acquireRemote(ctx context.Context, coordinator member.Member, req *pool.Request) (infer.Reservation, *refuse.Refusal, bool) {
	msg := p.newSeatAsk(req)
	for ctx.Err() == nil {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		reply, err := p.client.peers.Reserve(requestCtx, coordinator, msg)
		cancel()
		if err != nil {
			p.client.markUnresponsive(coordinator.Name, msg.GetTicket())
			return nil, nil, false //nolint:nilerr // the generation is then placed locally
		}
		switch State(reply.GetState()) {
		case Pending:
			continue
		case Refused:
			return nil, refuse.FromProto(reply.GetRefusal()), true
		case Placed:
			res := p.client.track(coordinator.Name, msg.GetTicket(), p.serverNamed(reply.GetServer()))
			if res == nil {
				return nil, nil, false
			}
			return res, nil, true
		default:
			return nil, nil, false
		}
	}
	p.client.markUnresponsive(coordinator.Name, msg.GetTicket())
	return nil, refuse.New(refuse.ClientStalled, "the request was cut off"), true
}

func (p *modelPlacer) newSeatAsk(req *pool.Request) *proto.SeatAsk {
	msg := &proto.SeatAsk{
		Ticket:    string(ident.NewRequest()),
		Vm:        string(p.client.vm),
		Model:     string(p.model),
		Workspace: string(req.Workspace),
		Service:   string(req.Service.Name),
		Class:     string(req.Class.Name),
		Prompt:    uint32(req.Prompt),
		Prefix:    req.Prefix,
	}
	for name := range req.Exclude {
		msg.Exclude = append(msg.Exclude, string(name))
	}
	return msg
}

// serverNamed returns the engine with the name given by the coordinator, from
// this VM's own settings.
func (p *modelPlacer) serverNamed(name string) *config.Server {
	for _, s := range p.pool.Servers() {
		if string(s.Name) == name {
			return &s
		}
	}
	return nil
}

// isAvailable reports whether a coordinator may be sent requests now.
func (c *Client) isAvailable(coordinator ident.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(c.avoidUntil[coordinator])
}

// markUnresponsive records that a coordinator did not respond, and has the ticket
// released in case the coordinator is still up.
func (c *Client) markUnresponsive(coordinator ident.VM, ticket string) {
	res := c.track(coordinator, ticket, &config.Server{})
	res.Release(pool.Cancelled, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[coordinator] = time.Now().Add(avoidTime)
}

// track starts reporting a reservation to the coordinator. It returns nil if
// server is nil: the settings have no such engine.
func (c *Client) track(coordinator ident.VM, ticket string, server *config.Server) *reservation {
	if server == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reservations[coordinator] == nil {
		c.reservations[coordinator] = map[string]*reservation{}
	}
	r := &reservation{server: *server}
	c.reservations[coordinator][ticket] = r
	return r
}

// Run reports this VM's reservations to their coordinators until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for coordinator, updates := range c.updates(round%progressEvery == 0) {
			c.sendUpdates(ctx, coordinator, updates)
		}
	}
}

// updates collects the updates for each coordinator: every end, and if all is
// set also the progress of the other reservations.
func (c *Client) updates(all bool) map[ident.VM]*proto.SeatNews {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[ident.VM]*proto.SeatNews{}
	for coordinator, reservations := range c.reservations {
		n := &proto.SeatNews{}
		for id, r := range reservations {
			state := r.state(id)
			if state.GetEnded() {
				delete(reservations, id)
			}
			if state.GetEnded() || all {
				n.Seats = append(n.Seats, state)
			}
		}
		if len(n.GetSeats()) > 0 {
			out[coordinator] = n
		}
	}
	return out
}

// sendUpdates sends the updates. If the report of an end is lost, the ticket
// expires at the coordinator.
func (c *Client) sendUpdates(ctx context.Context, coordinator ident.VM, n *proto.SeatNews) {
	for _, m := range c.fleet.View().Live {
		if m.Name != coordinator {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, updateTimeout)
		_ = c.peers.SendUpdates(ctx, m, n)
		cancel()
	}
}

// reservation is a reservation granted by a coordinator.
type reservation struct {
	server config.Server

	mu       sync.Mutex
	produced int
	ended    bool
	outcome  pool.Outcome
}

// Engine implements infer.Reservation.
func (r *reservation) Engine() config.Server { return r.server }

// Progress implements infer.Reservation.
func (r *reservation) Progress(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.produced = n
}

// Release implements infer.Reservation.
func (r *reservation) Release(end pool.Outcome, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.ended, r.outcome = true, end
	}
}

func (r *reservation) state(id string) *proto.SeatState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &proto.SeatState{Ticket: id, Produced: uint32(r.produced), Ended: r.ended, Ending: uint32(r.outcome)}
}
