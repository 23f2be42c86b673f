package stream

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

const (
	// backupLag is how long after a run's first event the copy that its engine
	// sends along is taken to be at its backup: a whole prompt queues behind other
	// copies.
	backupLag = 1300 * time.Millisecond
	// backupAsk bounds the question for a backup while the stream stands still.
	backupAsk = 25 * time.Millisecond
)

// guard is an engine to which the run's engine sends the cache as it grows.
type guard struct {
	at   *backs.Server
	seat *seats.Seat
	ripe time.Time // when the copy is taken to be there
}

// copy names the cache that the guard holds.
func (g *guard) copy(id ident.Request) port.Copy { return port.Copy{At: g.at.Addr, ID: string(id)} }

// movable reports whether the stream can go on at another engine from its cache.
func (f *flight) movable() bool {
	e := f.Service.Engine
	return e != nil && e.Moves && !f.Route.Resumable && f.Route.Kind == call.Stream
}

// guardable reports whether the stream is worth a copy of its cache: one that
// may be resumed is soon read anew.
func (f *flight) guardable() bool {
	e := f.Service.Engine
	return e != nil && e.Backups && !f.Route.Resumable && f.Route.Kind == call.Stream
}

// setGuard makes b the guard of the run that starts; nil: none.
func (f *flight) setGuard(b *backs.Server) {
	f.dropGuard()
	if b == nil {
		return
	}
	f.guard = &guard{
		at:   b,
		seat: f.Seats.Take(b.ID, seats.Load{Tokens: f.need(), Copies: 1}),
		ripe: time.Now().Add(time.Hour),
	}
}

// backupFor returns the engine that keeps the copy of a run that goes on.
func (f *flight) backupFor(ctx context.Context, d departure) *backs.Server {
	if d.backup != nil || !f.guardable() {
		return d.backup
	}
	ctx, cancel := context.WithTimeout(ctx, backupAsk)
	defer cancel()
	spot, err := f.Places.Place(ctx, f.want(pick.Keep, d.to.Domain, []ident.Server{d.to.ID, f.server.ID}))
	if err != nil {
		f.Note("no backup", zap.String("server", string(d.to.ID)), zap.Error(err))
		return nil
	}
	return spot.Server
}

// serves reports whether the stream may go on at the guard.
func (f *flight) serves(g *guard) bool {
	return g != nil && !g.at.Left() && f.Health.Paused(g.at.ID, time.Now()) == 0
}

// arrive notes that the guard's copy is there.
func (g *guard) arrive(now time.Time) {
	if now.Before(g.ripe) {
		return
	}
	l := g.seat.Load()
	l.Copies = 0
	g.seat.Resize(l)
}

// dropGuard gives the guard up. Its engine drops the copy with the run's end.
func (f *flight) dropGuard() {
	if f.guard == nil {
		return
	}
	f.guard.seat.Release()
	f.guard = nil
}
