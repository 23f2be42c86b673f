package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/policy/fit"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

const (
	// backupLag is how long after a start the copy that an engine sends along is
	// taken to be at its backup: the engine reads the prompt in 0.2 s and sends
	// several times a second.
	backupLag = 900 * time.Millisecond
	// guardDelay is when a stream without a guard asks for one.
	guardDelay = 300 * time.Millisecond
	// guardRetry is the pause after an order for a guard that failed.
	guardRetry = 700 * time.Millisecond
	// renewGuard is how often a copy that does not grow by itself is renewed: an
	// engine drops one that lies unused for over 5 s.
	renewGuard = 2500 * time.Millisecond
	// freeTime bounds the order to free a copy; the engine drops it by itself later.
	freeTime = 500 * time.Millisecond
	// guardTime bounds the copying of a whole cache for a guard.
	guardTime = 2 * time.Second
)

// guard is an engine that holds a copy of the stream's cache.
type guard struct {
	at   *backs.Server
	copy Copy
	seat *seats.Seat
	ripe time.Time // when the copy is taken to be there
	held bool      // the copy was ordered, and does not grow by itself
}

// guarded is the end of an order for a guard.
type guarded struct {
	guard *guard
	ctx   context.Context
	err   error
}

// movable reports whether the stream can go on at another engine from its cache.
func (f *flight) movable() bool {
	e := f.service.Engine
	return e != nil && e.Moves && !f.route.Resumable && f.route.Kind == call.Stream
}

// guardable reports whether the stream is worth a copy of its cache: one that
// may be resumed is soon read anew.
func (f *flight) guardable() bool { return f.movable() && f.service.Engine.Backups }

// pickGuard chooses the engine to which the run at s sends its cache as it
// grows, if there is room to spare.
func (f *flight) pickGuard(s *backs.Server) {
	f.dropGuard()
	if !f.guardable() {
		return
	}
	b, _ := f.pick(map[ident.Server]bool{s.ID: true}, fit.Spare, fit.FarCopy, s.Domain)
	if b == nil {
		return
	}
	f.guard = &guard{
		at:   b,
		copy: Copy{At: b.Addr, ID: string(f.call.ID)},
		seat: f.relay.Seats.Take(b.ID, seats.Load{Tokens: f.need()}),
		ripe: time.Now().Add(backupLag),
	}
}

func (f *flight) setGuard(g *guard) {
	if f.guard != nil && f.guard != g {
		f.dropGuard()
	}
	f.guard = g
}

// dropGuard gives the guard up. An engine drops a copy that it sends along with
// the run's end, and one that was ordered when it is told to.
func (f *flight) dropGuard() {
	g := f.guard
	if g == nil {
		return
	}
	f.guard = nil
	g.seat.Release()
	if !g.held {
		return
	}
	from := f.server
	f.relay.Group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), freeTime)
		defer cancel()
		if err := f.relay.Backend.Free(ctx, from, g.copy.ID); err != nil {
			f.log("copy not freed", zap.String("server", string(from.ID)), zap.Error(err))
		}
		return nil
	})
}

// protect orders a copy of the running stream's cache to another engine, or
// renews it.
func (f *flight) protect(ctx context.Context) <-chan guarded {
	done := make(chan guarded, 1)
	old, from := f.guard, f.server
	f.relay.Group.Go(func() error {
		g, err := f.order(ctx, from, old)
		done <- guarded{guard: g, err: err, ctx: ctx}
		return nil
	})
	return done
}

func (f *flight) order(ctx context.Context, from *backs.Server, old *guard) (*guard, error) {
	if old != nil {
		m, err := f.copy(ctx, from, old.at, false, guardTime)
		if err != nil {
			return nil, err
		}
		g := *old
		g.copy = Copy{At: from.Addr, ID: m.Handle}
		return &g, nil
	}
	to, _ := f.pick(map[ident.Server]bool{from.ID: true}, fit.Spare, fit.FarCopy, from.Domain)
	if to == nil {
		return nil, errors.New("no engine has room to spare")
	}
	seat := f.relay.Seats.Take(to.ID, seats.Load{Tokens: f.need()})
	m, err := f.copy(ctx, from, to, false, guardTime)
	if err != nil {
		seat.Release()
		return nil, err
	}
	return &guard{at: to, copy: Copy{At: from.Addr, ID: m.Handle}, seat: seat, held: true}, nil
}
