package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// watch is what a stream's present leg waits for beside its events.
type watch struct {
	f        *flight
	leave    <-chan struct{}  // the engine begins to leave
	hop      <-chan time.Time // it is time to go on at the guard
	moved    <-chan departure // a move has come to its end
	bare     <-chan struct{}  // the guard begins to leave
	guarding <-chan guarded   // an order for a guard has come to its end
	renew    *time.Timer      // a guard is to be ordered, or its copy renewed
	leaving  bool
}

// watch returns what the present leg waits for.
func (f *flight) watch(ctx context.Context) *watch {
	w := &watch{f: f, leave: f.server.Leave(), renew: time.NewTimer(time.Hour)}
	w.renew.Stop()
	if f.guard != nil {
		w.bare = f.guard.at.Leave()
	} else if f.guardable() {
		w.renew.Reset(guardDelay)
	}
	if ctx.Err() != nil {
		w.leave = nil
	}
	return w
}

func (w *watch) stop() { w.renew.Stop() }

// again returns what the next leg waits for.
func (w *watch) again(ctx context.Context) *watch {
	w.stop()
	return w.f.watch(ctx)
}

// depart begins to take the stream away from an engine that leaves.
func (w *watch) depart(ctx context.Context) {
	w.leave, w.leaving = nil, true
	if !w.f.movable() {
		return
	}
	switch g := w.f.guard; {
	case g != nil && !leaves(g.at):
		w.hop = time.After(time.Until(g.ripe))
	case w.guarding != nil:
		// The order under way ends with a guard or with an error.
	default:
		w.moved = w.f.depart(ctx)
	}
}

// bareNow gives up a guard that leaves.
func (w *watch) bareNow(ctx context.Context) {
	w.bare = nil
	w.f.log("backup lost", zap.String("server", string(w.f.guard.at.ID)))
	w.f.dropGuard()
	if w.leaving {
		w.hop = nil
		w.moved = w.f.depart(ctx)
		return
	}
	w.protect(ctx)
}

// protect orders a guard, or renews the copy of the one there is.
func (w *watch) protect(ctx context.Context) {
	if w.guarding != nil || w.moved != nil || w.leaving || !w.f.guardable() {
		return
	}
	w.guarding = w.f.protect(ctx)
}

// guarded takes the end of an order for a guard.
func (w *watch) guarded(g guarded) {
	w.guarding = nil
	switch {
	case g.err == nil:
		w.f.setGuard(g.guard)
		w.bare = g.guard.at.Leave()
		w.renew.Reset(renewGuard)
	case w.f.guard == nil:
		w.f.log("no backup", zap.String("server", string(w.f.server.ID)), zap.Error(g.err))
		w.renew.Reset(guardRetry)
	default:
		w.renew.Reset(guardRetry)
	}
	if !w.leaving {
		return
	}
	if w.f.guard != nil {
		w.hop = time.After(0)
		return
	}
	w.moved = w.f.depart(g.ctx)
}
