package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/room"
	"umberladder/internal/route/events"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/mover"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

// flight is one stream on its way.
type flight struct {
	*task
	tried    map[ident.Server]bool
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
	stopping bool         // the run is being stopped, so that its end may be no end
	lastAt   time.Time
}

func (t *task) stream(ctx context.Context) *refuse.Refusal {
	f := &flight{
		task: t, tried: make(map[ident.Server]bool), lastID: t.call.After,
		mover: mover.New(t.relay.Backend, t.relay.Group, t.call.ID, t.log),
	}
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
	if e := f.service.Engine; e != nil && f.call.Prompt != nil && f.call.Prompt.Tokens > e.Memory {
		return nil, refuse.New(refuse.TooLarge, "the prompt of %d tokens is larger than an engine's memory of %d", f.call.Prompt.Tokens, e.Memory)
	}
	w := f.want(homes.Call, f.relay.Config.Domain, slices.Collect(maps.Keys(f.tried)))
	start := time.Now()
	since := start.Sub(f.call.Arrived)
	w.Read, w.Backup, w.Mark = f.read(), f.guardable(), f.mark()
	w.Due = room.Due(f.route.Target, since, w.Read)
	w.Wait = room.Wait(w.Due, f.end.Sub(f.call.Arrived), since)
	spot, err := f.relay.Places.Place(ctx, w)
	f.record.Queued += time.Since(start)
	var full *homes.NoRoomError
	switch {
	case err == nil:
		f.seat = f.relay.Seats.Take(spot.Server.ID, f.load(true))
		f.setGuard(spot.Backup)
		f.log("placed", zap.String("server", string(spot.Server.ID)), zap.Int("tokens", w.Need),
			zap.Bool("backup", spot.Backup != nil), zap.Duration("waited", time.Since(start)))
		return spot.Server, nil
	case errors.Is(err, homes.ErrNoServer):
		return nil, refuse.New(refuse.NoServer, "no server of service %s takes work", f.service.Name).After(roomRetry)
	case errors.As(err, &full):
		return nil, refuse.New(refuse.NoRoom, "no engine of service %s has room for %d tokens within %s, %d calls wait",
			f.service.Name, w.Need, w.Wait.Round(time.Millisecond), full.Ahead).After(room.Retry(full.Retry, f.left()))
	default:
		return nil, f.over(ctx, f.ran)
	}
}

// read returns how many tokens an engine has to read before the first event.
func (f *flight) read() int {
	if f.call.Prompt == nil {
		return 0
	}
	return f.call.Prompt.Tokens
}

// mark identifies the request when its client repeats it: its identifier is
// another one then.
func (f *flight) mark() uint64 {
	d := xxhash.New()
	for _, s := range []string{f.call.Key, f.call.Host, f.call.Target} {
		_, _ = d.WriteString(s)
	}
	if p := f.call.Prompt; p != nil {
		_, _ = fmt.Fprint(d, p.Tokens, p.Limit, p.Hint, p.Parts)
	}
	_, _ = d.Write(f.call.Body)
	return d.Sum64()
}

func (f *flight) load(reading bool) seats.Load {
	l := seats.Load{Seats: 1, Tokens: f.need()}
	if reading {
		l.Backlog = f.read()
	}
	return l
}

// want describes the room that the stream needs.
func (f *flight) want(u homes.Use, from ident.Domain, skip []ident.Server) homes.Want {
	return homes.Want{Service: f.service.Name, Use: u, Rank: f.rank(), Need: f.need(), Memory: f.memory(), From: from, Skip: skip}
}

// rank returns how urgent the stream is; 0 goes first.
func (f *flight) rank() int { return f.route.Priority }

func (f *flight) memory() int {
	if f.service.Engine == nil || f.service.Engine.Memory <= 0 {
		return 1 << 30
	}
	return f.service.Engine.Memory
}
