package cell

import (
	"context"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/proto"
	"umberladder/internal/route/gener"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
	"umberladder/internal/state/member"
)

const (
	askTime   = hold + 800*time.Millisecond
	downTime  = 2 * time.Second // how long a home that did not answer is not asked
	newsEvery = 50 * time.Millisecond
	// tellEvery is how many rounds of news pass between two tellings of how
	// far running streams are; endings are told in the next round.
	tellEvery = 10
	newsTime  = time.Second
	// homesAsked is how many homes in turn are asked: one may be leaving.
	homesAsked = 2
)

// Asker asks other VMs.
type Asker interface {
	Seat(ctx context.Context, to member.Member, ask *proto.SeatAsk) (*proto.SeatReply, error)
	News(ctx context.Context, to member.Member, news *proto.SeatNews) error
}

// Desk asks the homes for this VM's generations. It is safe for use by several
// goroutines.
type Desk struct {
	vm       ident.VM
	fleet    Fleet
	settings Settings
	pools    func(ident.Model) *pool.Pool
	asker    Asker

	mu    sync.Mutex
	seats map[ident.VM]map[string]*seat // by home and ticket
	down  map[ident.VM]time.Time
}

// NewDesk makes the desk of a VM.
func NewDesk(vm ident.VM, f Fleet, s Settings, pools func(ident.Model) *pool.Pool, a Asker) *Desk {
	return &Desk{
		vm:       vm,
		fleet:    f,
		settings: s,
		pools:    pools,
		asker:    a,
		seats:    map[ident.VM]map[string]*seat{},
		down:     map[ident.VM]time.Time{},
	}
}

// Placer returns what finds places for a model; false if the settings know no
// such model.
func (d *Desk) Placer(m ident.Model) (gener.Placer, bool) {
	p := d.pools(m)
	if p == nil {
		return nil, false
	}
	return &placer{desk: d, model: m, pool: p}, true
}

// placer finds places for one model.
type placer struct {
	desk  *Desk
	model ident.Model
	pool  *pool.Pool
}

// Model implements gener.Placer.
func (p *placer) Model() ident.Model { return p.model }

// Acquire implements gener.Placer.
func (p *placer) Acquire(ctx context.Context, ask *pool.Ask) (gener.Seat, *refuse.Refusal) {
	for range homesAsked {
		home, ok := HomeOf(p.model, p.desk.fleet.View().Live)
		if !ok || home.Name == p.desk.vm || !p.desk.asks(home.Name) {
			break
		}
		if s, refusal, answered := p.remote(ctx, home, ask); answered {
			return s, refusal
		}
	}
	return p.local(ctx, ask)
}

func (p *placer) local(ctx context.Context, ask *pool.Ask) (gener.Seat, *refuse.Refusal) {
	s, refusal := p.pool.Acquire(ctx, ask)
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

// remote asks the home until it decides; answered is false if it does not.
func (p *placer) remote(ctx context.Context, home member.Member, ask *pool.Ask) (gener.Seat, *refuse.Refusal, bool) {
	wire := p.wire(ask)
	for ctx.Err() == nil {
		one, cancel := context.WithTimeout(ctx, askTime)
		reply, err := p.desk.asker.Seat(one, home, wire)
		cancel()
		if err != nil {
			p.desk.unanswered(home.Name, wire.GetTicket())
			return nil, nil, false //nolint:nilerr // a home that does not answer is done without
		}
		switch State(reply.GetState()) {
		case Pending:
			continue
		case Refused:
			return nil, refuse.FromWire(reply.GetRefusal()), true
		case Seated:
			s := p.desk.sit(home.Name, wire.GetTicket(), p.server(reply.GetServer()))
			if s == nil {
				return nil, nil, false
			}
			return s, nil, true
		default:
			return nil, nil, false
		}
	}
	p.desk.unanswered(home.Name, wire.GetTicket())
	return nil, refuse.New(refuse.CallerStalled, "the request was cut off"), true
}

func (p *placer) wire(ask *pool.Ask) *proto.SeatAsk {
	w := &proto.SeatAsk{
		Ticket:    string(ident.NewRequest()),
		Vm:        string(p.desk.vm),
		Model:     string(p.model),
		Workspace: string(ask.Learn),
		Service:   string(ask.Service.Name),
		Class:     string(ask.Class.Name),
		Prompt:    uint32(ask.Prompt),
		Prefix:    ask.Prefix,
	}
	for name := range ask.Exclude {
		w.Exclude = append(w.Exclude, string(name))
	}
	return w
}

// server finds an engine by the name that the home gave, in this VM's own
// settings.
func (p *placer) server(name string) *config.Server {
	for _, s := range p.pool.Servers() {
		if string(s.Name) == name {
			return &s
		}
	}
	return nil
}

// asks reports whether a home should be asked now.
func (d *Desk) asks(home ident.VM) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().After(d.down[home])
}

// unanswered notes a home that did not answer, and tells it, if it lives, that
// the ticket is not wanted any more.
func (d *Desk) unanswered(home ident.VM, ticket string) {
	s := d.sit(home, ticket, &config.Server{})
	s.Release(pool.CutOff, time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down[home] = time.Now().Add(downTime)
}

// sit begins to tell the home of a seat; nil if there is no such engine.
func (d *Desk) sit(home ident.VM, ticket string, server *config.Server) *seat {
	if server == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.seats[home] == nil {
		d.seats[home] = map[string]*seat{}
	}
	s := &seat{server: *server}
	d.seats[home][ticket] = s
	return s
}

// Run tells the homes of this VM's seats until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	tick := time.NewTicker(newsEvery)
	defer tick.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for home, news := range d.news(round%tellEvery == 0) {
			d.tell(ctx, home, news)
		}
	}
}

// news gathers what each home should hear: every ending, and with all also how
// far the others are.
func (d *Desk) news(all bool) map[ident.VM]*proto.SeatNews {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[ident.VM]*proto.SeatNews{}
	for home, seats := range d.seats {
		n := &proto.SeatNews{}
		for id, s := range seats {
			w := s.state(id)
			if w.GetEnded() {
				delete(seats, id)
			}
			if w.GetEnded() || all {
				n.Seats = append(n.Seats, w)
			}
		}
		if len(n.GetSeats()) > 0 {
			out[home] = n
		}
	}
	return out
}

// tell sends the news. An ending that does not arrive is made up for by the
// home's own sweep.
func (d *Desk) tell(ctx context.Context, home ident.VM, n *proto.SeatNews) {
	for _, m := range d.fleet.View().Live {
		if m.Name != home {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, newsTime)
		_ = d.asker.News(ctx, m, n)
		cancel()
	}
}

// seat is a place that a home gave.
type seat struct {
	server config.Server

	mu       sync.Mutex
	produced int
	ended    bool
	ending   pool.Ending
}

// At implements gener.Seat.
func (s *seat) At() config.Server { return s.server }

// Progress implements gener.Seat.
func (s *seat) Progress(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.produced = n
}

// Release implements gener.Seat.
func (s *seat) Release(end pool.Ending, _ time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended, s.ending = true, end
	}
}

func (s *seat) state(id string) *proto.SeatState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &proto.SeatState{Ticket: id, Produced: uint32(s.produced), Ended: s.ended, Ending: uint32(s.ending)}
}
