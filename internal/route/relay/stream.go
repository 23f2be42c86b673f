package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/assign"
	"umberladder/internal/route/events"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

// waitShare is the part of the latency target that a stream may wait for room.
const waitShare = 0.5

// flight is one stream on its way.
type flight struct {
	*task
	tried    map[ident.Server]bool
	server   *backs.Server
	seat     *seats.Seat
	guard    *guard
	leg      *events.Leg
	lastID   string
	unsent   int // engines that could not be connected to
	ran      refuse.Ran
	begun    bool         // the head was written to the client
	made     atomic.Int64 // tokens, as far as events tell; moves read it beside the events
	told     int          // tokens when the stream's size was last told
	legged   bool         // the present leg has brought an event
	stopping bool         // the run is being stopped, so that its end may be no end
	lastAt   time.Time
}

func (t *task) stream(ctx context.Context) *refuse.Refusal {
	f := &flight{task: t, tried: make(map[ident.Server]bool), lastID: t.call.After}
	defer f.release()
	refusal := f.start(ctx)
	if refusal != nil {
		return truthful(refusal)
	}
	if f.leg == nil {
		// The server's answer was no stream and is delivered whole.
		return nil
	}
	refusal = f.pump(ctx)
	if refusal != nil && f.begun {
		t.reply.Abort()
	}
	return refusal
}

func (f *flight) release() {
	if f.leg != nil {
		f.leg.Close()
	}
	f.seat.Release()
	f.dropGuard()
}

// need returns the memory that the stream takes now and soon, in tokens.
func (f *flight) need() int {
	p := f.call.Prompt
	if p == nil {
		return 1
	}
	return p.Tokens + min(int(f.made.Load())+ahead, p.Limit)
}

// start sends the call until an engine has begun to answer it.
func (f *flight) start(ctx context.Context) *refuse.Refusal {
	for {
		s, refusal := f.place(ctx)
		if refusal != nil {
			return refusal.With(f.ran)
		}
		f.tried[s.ID] = true
		a, err := f.open(ctx, s, port.Copy{})
		if err != nil {
			if refusal := f.unanswered(ctx, s, err); refusal != nil {
				return refusal
			}
			continue
		}
		f.record.Sent++
		if a.Status == http.StatusOK && !a.NotRun {
			f.attach(a)
			return f.head(a)
		}
		refusal, done := f.declined(s, a)
		if done {
			return refusal
		}
	}
}

// unanswered judges a sending without an answer; nil has another engine tried.
func (f *flight) unanswered(ctx context.Context, s *backs.Server, err error) *refuse.Refusal {
	f.seat.Release()
	f.dropGuard()
	if !isUnsent(err) {
		f.record.Sent++
		f.ran = refuse.RanMaybe
	}
	f.log("no answer", zap.String("server", string(s.ID)), zap.Bool("unsent", isUnsent(err)), zap.Error(err))
	switch {
	case ctx.Err() != nil:
		return f.over(ctx, f.ran)
	case isUnsent(err):
		if f.unsent++; f.unsent < maxUnsent {
			return nil
		}
		return refuse.New(refuse.NoServer, "no server of service %s could be reached", f.service.Name).With(f.ran).After(roomRetry)
	case f.again():
		return nil
	}
	return refuse.New(refuse.ServerDied, "server %s broke off: %v", s.ID, err).With(refuse.RanMaybe)
}

// declined judges an answer that is no stream.
func (f *flight) declined(s *backs.Server, a *port.Answer) (*refuse.Refusal, bool) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBody))
	_ = a.Body.Close()
	f.seat.Release()
	f.dropGuard()
	f.log("server declined", zap.String("server", string(s.ID)), zap.Int("status", a.Status), zap.Bool("not-run", a.NotRun))
	if a.NotRun {
		if f.again() {
			return nil, false
		}
		return refuse.New(refuse.ServerRefused, "server %s did not take the call, with status %d", s.ID, a.Status).With(f.ran).After(roomRetry), true
	}
	f.ran = refuse.RanMaybe
	if err != nil {
		return refuse.New(refuse.ServerDied, "server %s failed with status %d and broke off", s.ID, a.Status).With(f.ran), true
	}
	if a.Status >= http.StatusInternalServerError && f.again() {
		return nil, false
	}
	return f.deliver(&whole{status: a.Status, fields: a.Fields, body: body}), true
}

// again reports whether the call may be sent once more from its start or from
// the last event.
func (f *flight) again() bool {
	if f.record.Sent >= f.route.Attempts {
		return false
	}
	if f.ran != refuse.RanNo && !f.route.Resumable {
		return false
	}
	return f.relay.Budget.Spend(f.service.Name, time.Now())
}

// open sends the call to an engine.
func (f *flight) open(ctx context.Context, s *backs.Server, from port.Copy) (*port.Answer, error) {
	f.server = s
	f.record.Server = s.ID
	send := port.Send{Call: f.call, Server: s, Workspace: f.workspace, Left: f.left(), Copy: from, After: f.lastID}
	if f.guard != nil {
		send.Backup = f.guard.at.Addr
	}
	a, err := f.relay.Backend.Send(ctx, send)
	if err != nil {
		f.relay.Health.Failure(s.ID, time.Now())
	}
	return a, err
}

func (f *flight) head(a *port.Answer) *refuse.Refusal {
	f.begun = true
	f.record.Status = a.Status
	if err := f.reply.Start(a.Status, a.Fields); err != nil {
		return refuse.New(refuse.CallerLeft, "the answer could not be written: %v", err).With(refuse.RanPartial)
	}
	return nil
}

// place takes a seat at an engine with room; it waits a little for one.
func (f *flight) place(ctx context.Context) (*backs.Server, *refuse.Refusal) {
	wait := time.NewTimer(max(0, min(time.Duration(waitShare*float64(f.route.Target))-time.Since(f.call.Arrived), f.left())))
	defer wait.Stop()
	if e := f.service.Engine; e != nil && f.call.Prompt != nil && f.call.Prompt.Tokens > e.Memory {
		return nil, refuse.New(refuse.TooLarge, "the prompt of %d tokens is larger than an engine's memory of %d", f.call.Prompt.Tokens, e.Memory)
	}
	start := time.Now()
	for {
		changed := f.relay.Seats.Changed()
		s, known := f.pick(f.tried, assign.Full, assign.FarCall, f.relay.Config.Domain)
		if s != nil {
			f.record.Queued += time.Since(start)
			f.seat = f.relay.Seats.Take(s.ID, f.load(true))
			f.pickGuard(s)
			return s, nil
		}
		if !known {
			return nil, refuse.New(refuse.NoServer, "no server of service %s takes work", f.service.Name).After(roomRetry)
		}
		select {
		case <-ctx.Done():
			return nil, f.over(ctx, f.ran)
		case <-changed:
		case <-wait.C:
			return nil, refuse.New(refuse.NoRoom, "no engine of service %s has room for %d tokens", f.service.Name, f.need()).After(roomRetry)
		}
	}
}

func (f *flight) load(reading bool) seats.Load {
	l := seats.Load{Seats: 1, Tokens: f.need()}
	if reading && f.call.Prompt != nil {
		l.Backlog = f.call.Prompt.Tokens
	}
	return l
}

// pick chooses an engine with room, by its distance from a failure domain; known
// reports whether there is an engine at all.
func (f *flight) pick(skip map[ident.Server]bool, share, far float64, from ident.Domain) (s *backs.Server, known bool) {
	now := time.Now()
	list := f.relay.Servers.View().Service(f.service.Name)
	loads := f.relay.Seats.All(now)
	servers := make([]assign.Server, len(list))
	for i, s := range list {
		l := loads[s.ID]
		servers[i] = assign.Server{
			Slots:   s.Slots,
			Memory:  f.memory(),
			Seats:   l.Seats,
			Tokens:  l.Tokens,
			Backlog: l.Backlog,
			Copies:  copies(l, far),
			Far:     s.Domain != from,
			Weight:  f.relay.Health.Weight(s.ID, now),
			Skip:    skip[s.ID],
		}
		known = known || !skip[s.ID]
	}
	if i := assign.Choose(f.need(), share, far, servers, random()); i >= 0 {
		return list[i], true
	}
	return nil, known
}

// copies returns the caches under way that a copy has to wait for; a new call
// does not.
func copies(l seats.Load, far float64) int {
	if far == assign.FarCopy {
		return l.Copies
	}
	return 0
}

func (f *flight) memory() int {
	if f.service.Engine == nil || f.service.Engine.Memory <= 0 {
		return 1 << 30
	}
	return f.service.Engine.Memory
}
