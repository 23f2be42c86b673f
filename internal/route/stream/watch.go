package stream

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/mover"
)

// ripeWait is how long an engine's notice may pass before a stream leaves for a
// copy that is on its way. The shortest notice is 1.5 s.
const ripeWait = 1100 * time.Millisecond

// moveRest is the pause after a move that failed. Room comes free as streams
// end, every 20 ms at an engine of 24 slots.
const moveRest = 150 * time.Millisecond

// watch is what a stream's present leg waits for beside its events.
type watch struct {
	f       *flight
	leave   <-chan struct{}  // the engine begins to leave
	hop     <-chan time.Time // it is time to go on at the guard
	moved   <-chan departure // a move has come to its end
	bare    <-chan struct{}  // the guard begins to leave
	calm    *time.Timer      // a stream without a guard is to move to get one
	leaving bool
	rest    time.Time // no move is tried before it
}

// watch returns what the present leg waits for.
func (f *flight) watch() *watch {
	w := &watch{f: f, leave: f.server.Leave(), calm: time.NewTimer(time.Hour)}
	if f.guard != nil {
		w.bare = f.guard.at.Leave()
	} else {
		w.later(calmDelay)
	}
	return w
}

func (w *watch) stop() { w.calm.Stop() }

// again returns what the next leg waits for.
func (w *watch) again() *watch {
	w.stop()
	return w.f.watch()
}

// later sets the time to move for a guard.
func (w *watch) later(d time.Duration) { w.calm.Reset(d + rand.N(calmSpread)) }

// depart begins to take the stream away from an engine that leaves. A run that
// has made no event yet can't be moved; it is asked for again with each event.
func (w *watch) depart(ctx context.Context) {
	w.leave, w.leaving = nil, true
	if !w.f.movable() || w.f.Record.Events == 0 || w.moved != nil || w.hop != nil || time.Now().Before(w.rest) {
		return
	}
	if g := w.f.guard; g != nil && !leaves(g.at) && time.Until(g.ripe) < ripeWait {
		w.hop = time.After(time.Until(g.ripe))
		return
	}
	w.moved = w.f.depart(ctx, homes.Move)
}

// unguarded gives up a guard that leaves.
func (w *watch) unguarded(ctx context.Context) {
	w.bare = nil
	w.f.Note("backup lost", zap.String("server", string(w.f.guard.at.ID)))
	w.f.dropGuard()
	if w.leaving {
		w.hop = nil
		w.depart(ctx)
		return
	}
	w.later(calmDelay)
}

// guardAgain moves a stream without a guard to where it gets one.
func (w *watch) guardAgain(ctx context.Context) {
	f := w.f
	if w.leaving || w.moved != nil || f.guard != nil || !f.movable() || !f.guardable() {
		return
	}
	if f.Record.Events == 0 {
		w.later(calmRetry)
		return
	}
	w.moved = f.depart(ctx, homes.Calm)
}

// change goes on at the guard, or later if the budget does not allow it now.
func (w *watch) change(ctx context.Context) (*watch, *refuse.Refusal) {
	if !w.f.pay() {
		w.f.Note("stream stays", zap.String("server", string(w.f.server.ID)), zap.Error(mover.ErrUnpaid))
		w.hop = time.After(moveRest)
		return w, nil
	}
	if refusal := w.f.hop(ctx); refusal != nil {
		return w, refusal
	}
	return w.again(), nil
}

// arrived goes on where a move has led, and returns what the next leg waits for.
func (w *watch) arrived(ctx context.Context, d departure) (*watch, *refuse.Refusal) {
	if d.err != nil {
		w.stays(d.err)
		return w, nil //nolint:nilerr // the stream stays where it is
	}
	w.moved = nil
	if refusal := w.f.follow(ctx, d); refusal != nil {
		return w, refusal
	}
	return w.again(), nil
}

// stays notes a move that failed.
func (w *watch) stays(err error) {
	w.moved = nil
	w.f.stopping = false
	w.rest = time.Now().Add(moveRest)
	w.f.Note("stream stays", zap.String("server", string(w.f.server.ID)), zap.Bool("leaving", w.leaving), zap.Error(err))
	if !w.leaving {
		w.later(calmRetry)
	}
}
