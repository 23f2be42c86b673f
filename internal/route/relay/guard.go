package relay

import (
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

const (
	// backupLag is how long after a run's first event the copy that its engine
	// sends along is taken to be at its backup. A whole prompt takes 0.2 to 0.4 s and
	// queues behind other copies; at 0.8 s the backup had none for streams that left
	// with 27 events, and these were cut off.
	backupLag = 1300 * time.Millisecond
	// calmDelay is the pause before a stream without a guard moves to get one.
	// Guards are lost when engines leave, and then the links are needed for
	// streams of those engines. calmSpread keeps such moves from coming together.
	calmDelay  = 1600 * time.Millisecond
	calmSpread = 1200 * time.Millisecond
	// calmRetry is the pause after a move for a guard that was not possible.
	calmRetry = time.Second
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
	e := f.service.Engine
	return e != nil && e.Moves && !f.route.Resumable && f.route.Kind == call.Stream
}

// guardable reports whether the stream is worth a copy of its cache: one that
// may be resumed is soon read anew.
func (f *flight) guardable() bool {
	e := f.service.Engine
	return e != nil && e.Backups && !f.route.Resumable && f.route.Kind == call.Stream
}

// pickGuard chooses the guard of a run that starts at s, if there is room to spare.
func (f *flight) pickGuard(s *backs.Server) {
	f.dropGuard()
	if !f.guardable() {
		return
	}
	b, _ := f.pick(map[ident.Server]bool{s.ID: true}, assign.Spare, assign.FarCopy, s.Domain)
	if b == nil {
		return
	}
	f.guard = &guard{
		at:   b,
		seat: f.relay.Seats.Take(b.ID, seats.Load{Tokens: f.need(), Copies: 1}),
		ripe: time.Now().Add(time.Hour),
	}
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

// roomToGuard reports whether there is room for the stream at another engine
// and for its copy at a third.
func (f *flight) roomToGuard() bool {
	skip := map[ident.Server]bool{f.server.ID: true}
	to, _ := f.pick(skip, assign.Spare, assign.FarCopy, f.server.Domain)
	if to == nil {
		return false
	}
	skip[to.ID] = true
	b, _ := f.pick(skip, assign.Spare, assign.FarCopy, f.server.Domain)
	return b != nil
}
