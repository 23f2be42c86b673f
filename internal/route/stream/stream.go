package stream

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/room"
	"umberladder/internal/route/events"
	"umberladder/internal/route/mover"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/route/task"
	"umberladder/internal/route/whole"
	"umberladder/internal/state/backs"
)

// flight is one stream on its way.
type flight struct {
	*task.Task
	tried    map[ident.Server]bool
	failed   []ident.Server // that could not be connected to since the last placement
	server   *backs.Server
	seat     *seats.Seat
	guard    *guard
	mover    *mover.Mover
	leg      *events.Leg
	lastID   string
	unsent   int // engines that could not be connected to
	ran      refuse.Ran
	begun    bool         // the head was written to the client
	made     atomic.Int64 // tokens, as far as events tell; moves read it beside the events
	told     int          // tokens when the stream's size was last told
	legged   bool         // the present leg has brought an event
	firstAt  time.Time    // when it brought the first one
	proven   bool         // an engine has run the call for youngTime
	stopping bool         // the run is being stopped, so that its end may be no end
	lastAt   time.Time
	stay     context.CancelFunc // ends the move under way; nil: there was none
}

// Serve serves a call whose answer is a stream of events.
func Serve(ctx context.Context, t *task.Task) *refuse.Refusal {
	f := &flight{
		Task: t, tried: make(map[ident.Server]bool), lastID: t.Call.After,
		mover: mover.New(t.Backend, t.Group, t.Call.ID, t.Note),
	}
	defer f.release()
	refusal := f.start(ctx)
	if refusal != nil {
		return task.Truthful(refusal)
	}
	if f.leg == nil {
		// The server's answer was no stream and is delivered whole.
		return nil
	}
	refusal = f.pump(ctx)
	if refusal != nil && f.begun {
		t.Reply.Abort()
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
	p := f.Call.Prompt
	if p == nil {
		return 1
	}
	return room.Need(p.Tokens, p.Limit, int(f.made.Load()))
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
		f.Record.Sent++
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
	if !task.IsUnsent(err) {
		f.Record.Sent++
		f.ran = refuse.RanMaybe
		if ctx.Err() == nil {
			f.CheckCrash(ctx, s)
		}
	}
	if task.IsUnsent(err) {
		f.failed = append(f.failed, s.ID)
	}
	f.Note("no answer", zap.String("server", string(s.ID)), zap.Bool("unsent", task.IsUnsent(err)), zap.Error(err))
	switch {
	case ctx.Err() != nil:
		return f.Over(ctx, f.ran)
	case task.IsUnsent(err):
		if f.unsent++; f.PassOver(f.unsent) {
			return nil
		}
		return refuse.New(refuse.NoServer, "no server of service %s could be reached", f.Service.Name).With(f.ran).After(task.RoomRetry)
	case f.again():
		return nil
	}
	return refuse.New(refuse.ServerDied, "server %s broke off: %v", s.ID, err).With(refuse.RanMaybe)
}

// declined judges an answer that is no stream.
func (f *flight) declined(s *backs.Server, a *port.Answer) (*refuse.Refusal, bool) {
	body, err := io.ReadAll(io.LimitReader(a.Body, whole.MaxBody))
	_ = a.Body.Close()
	f.seat.Release()
	f.dropGuard()
	f.Note("server declined", zap.String("server", string(s.ID)), zap.Int("status", a.Status), zap.Bool("not-run", a.NotRun))
	if a.Gone {
		f.Lost(s)
	}
	if a.NotRun {
		if f.again() {
			return nil, false
		}
		return refuse.New(refuse.ServerRefused, "server %s did not take the call, with status %d", s.ID, a.Status).With(f.ran).After(task.RoomRetry), true
	}
	f.ran = refuse.RanMaybe
	if err != nil {
		return refuse.New(refuse.ServerDied, "server %s failed with status %d and broke off", s.ID, a.Status).With(f.ran), true
	}
	f.Completed()
	if a.Status >= http.StatusInternalServerError && f.again() {
		return nil, false
	}
	return f.Deliver(&task.Whole{Status: a.Status, Fields: a.Fields, Body: body}), true
}

// again reports whether the call may be sent once more from its start or from
// the last event.
func (f *flight) again() bool {
	if f.Record.Sent >= f.Route.Attempts {
		return false
	}
	if f.ran != refuse.RanNo && !f.Route.Resumable {
		return false
	}
	return f.Budget.Spend(f.Service.Name, time.Now())
}

// open sends the call to an engine.
func (f *flight) open(ctx context.Context, s *backs.Server, from port.Copy) (*port.Answer, error) {
	f.server = s
	f.Record.Server = s.ID
	send := port.Send{Call: f.Call, Server: s, Workspace: f.Workspace, Left: f.Left(), Copy: from, After: f.lastID}
	if f.guard != nil {
		send.Backup = f.guard.at.Addr
	}
	sent := time.Now()
	f.Rates.Sent(s.ID, sent)
	a, err := f.Backend.Send(ctx, send)
	if err != nil {
		f.Health.Failure(s.ID, time.Now())
		return nil, err
	}
	f.Observe(s, a, sent)
	return a, nil
}

func (f *flight) head(a *port.Answer) *refuse.Refusal {
	f.begun = true
	f.Record.Status = a.Status
	if err := f.Reply.Start(a.Status, a.Fields); err != nil {
		return refuse.New(refuse.CallerLeft, "the answer could not be written: %v", err).With(refuse.RanPartial)
	}
	return nil
}

// place takes a seat at an engine with room; it waits a little for one.
func (f *flight) place(ctx context.Context) (*backs.Server, *refuse.Refusal) {
	if e := f.Service.Engine; e != nil && f.Call.Prompt != nil && f.Call.Prompt.Tokens > e.Memory {
		return nil, refuse.New(refuse.TooLarge, "the prompt of %d tokens is larger than an engine's memory of %d", f.Call.Prompt.Tokens, e.Memory)
	}
	w := f.want(pick.Call, f.Config.Domain, slices.Collect(maps.Keys(f.tried)))
	start := time.Now()
	since := start.Sub(f.Call.Arrived)
	w.Read, w.Backup, w.Mark = f.read(), f.guardable(), uint64(f.Record.Fingerprint)
	w.Failed, f.failed = f.failed, nil
	w.Due = room.Due(f.Route.Target, since, w.Read)
	w.Wait = room.Wait(w.Due, f.End.Sub(f.Call.Arrived), since)
	spot, err := f.Places.Place(ctx, w)
	f.Record.Queued += time.Since(start)
	if q := f.Quarantined(); q != nil {
		return nil, q
	}
	var full *pick.NoRoomError
	switch {
	case err == nil:
		f.seat = f.Seats.Take(spot.Server.ID, f.load(true))
		f.setGuard(spot.Backup)
		f.Note("placed", zap.String("server", string(spot.Server.ID)), zap.Int("tokens", w.Need),
			zap.Bool("backup", spot.Backup != nil), zap.Duration("waited", time.Since(start)))
		return spot.Server, nil
	case errors.Is(err, pick.ErrNoServer):
		return nil, f.NoServer()
	case errors.As(err, &full):
		return nil, refuse.New(refuse.NoRoom, "no engine of service %s has room for %d tokens within %s, %d calls wait",
			f.Service.Name, w.Need, w.Wait.Round(time.Millisecond), full.Ahead).After(room.Retry(full.Retry, f.Left()))
	default:
		return nil, f.Over(ctx, f.ran)
	}
}

// read returns how many tokens an engine has to read before the first event.
func (f *flight) read() int {
	if f.Call.Prompt == nil {
		return 0
	}
	return f.Call.Prompt.Tokens
}

func (f *flight) load(reading bool) seats.Load {
	l := seats.Load{Seats: 1, Tokens: f.need()}
	if reading {
		l.Backlog = f.read()
	}
	return l
}

// want describes the room that the stream needs.
func (f *flight) want(u pick.Use, from ident.Domain, skip []ident.Server) pick.Want {
	return pick.Want{Service: f.Service.Name, Use: u, Rank: f.rank(), Need: f.need(), Memory: f.memory(), From: from, Skip: skip}
}

// rank returns how urgent the stream is; 0 goes first.
func (f *flight) rank() int { return f.Route.Priority }

func (f *flight) memory() int {
	if f.Service.Engine == nil || f.Service.Engine.Memory <= 0 {
		return 1 << 30
	}
	return f.Service.Engine.Memory
}
