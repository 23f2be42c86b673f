package stream

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/route/mover"
)

// ripeWait is how long an engine's notice may pass before a stream leaves for a
// copy that is on its way: it leaves time to change over in the shortest notice.
const ripeWait = 1100 * time.Millisecond

// moveRest is the pause after a move that failed. Room comes free as streams end.
const moveRest = 150 * time.Millisecond

// watch is what a stream's present leg waits for beside its events.
type watch struct {
	f       *flight
	leave   <-chan struct{}  // the engine begins to leave
	hop     <-chan time.Time // it is time to go on at the guard
	moved   <-chan departure // a move has come to its end
	bare    <-chan struct{}  // the guard begins to leave
	leaving bool
	rest    time.Time // no move is tried before it
}

// watch returns what the present leg waits for.
func (f *flight) watch() *watch {
	w := &watch{f: f, leave: f.server.Leave()}
	if f.guard != nil {
		w.bare = f.guard.at.Leave()
	}
	return w
}

// depart begins to take the stream away from an engine that leaves. A run that
// has made no event yet can't be moved; it is asked for again with each event.
func (w *watch) depart(ctx context.Context) {
	w.leave, w.leaving = nil, true
	if !w.f.movable() || w.f.Record.Events == 0 || w.moved != nil || w.hop != nil || time.Now().Before(w.rest) {
		return
	}
	if g := w.f.guard; w.f.serves(g) && time.Until(g.ripe) < ripeWait {
		w.hop = time.After(time.Until(g.ripe))
		return
	}
	w.moved = w.f.depart(ctx)
}

// unguarded gives up a guard that leaves.
func (w *watch) unguarded(ctx context.Context) {
	w.bare = nil
	w.f.Note("backup lost", zap.String("server", string(w.f.guard.at.ID)))
	w.f.dropGuard()
	if w.leaving {
		w.hop = nil
		w.depart(ctx)
	}
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
	return w.f.watch(), nil
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
	return w.f.watch(), nil
}

// stays notes a move that failed.
func (w *watch) stays(err error) {
	w.moved = nil
	w.f.stopping = false
	w.rest = time.Now().Add(moveRest)
	w.f.Note("stream stays", zap.String("server", string(w.f.server.ID)), zap.Error(err))
}
