package stream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/route/events"
	"umberladder/internal/route/port"
)

// growStep is how many tokens a stream makes until others are told.
const growStep = 128

// youngTime is how long after its first event a run counts as one that has just begun.
const youngTime = time.Second

// pump passes events on until the stream is whole or lost.
func (f *flight) pump(ctx context.Context) *refuse.Refusal {
	w := f.watch()
	for {
		var refusal *refuse.Refusal
		select {
		case p, ok := <-f.leg.Events():
			if ok {
				refusal = f.forward(p)
				if w.leaving {
					w.depart(ctx)
				}
				break
			}
			if f.ended() {
				return f.complete()
			}
			if refusal = f.broken(ctx, w); refusal == nil {
				w = f.watch()
			}
		case <-w.leave:
			w.depart(ctx)
		case <-w.hop:
			w, refusal = w.change(ctx)
		case d := <-w.moved:
			w, refusal = w.arrived(ctx, d)
		case <-w.bare:
			w.unguarded(ctx)
		case <-ctx.Done():
			return f.Over(ctx, refuse.RanPartial)
		}
		if refusal != nil {
			return refusal
		}
	}
}

// ended reports whether the stream is complete. A run that was to be stopped may
// have ended by itself, and going on would send its end twice.
func (f *flight) ended() bool {
	select {
	case <-f.leg.Done():
	default:
		return false
	}
	return errors.Is(f.leg.Err(), io.EOF) && (f.leg.Framed() || !f.stopping)
}

func (f *flight) complete() *refuse.Refusal {
	if err := f.Reply.End(); err != nil {
		return refuse.New(refuse.CallerLeft, "the end could not be written: %v", err).With(refuse.RanPartial)
	}
	f.Health.Success(f.server.ID, time.Now())
	f.Completed()
	return nil
}

// forward writes whole events to the client.
func (f *flight) forward(p []byte) *refuse.Refusal {
	id, n := events.LastID(p)
	if id != "" {
		f.lastID = id
	}
	now := time.Now()
	if f.Record.Events == 0 {
		f.Record.First = now.Sub(f.Call.Arrived)
		f.seat.Resize(f.load(false))
	} else {
		f.Record.Gap = max(f.Record.Gap, now.Sub(f.lastAt))
	}
	if g := f.guard; g != nil {
		if !f.legged {
			g.ripe = now.Add(backupLag)
		}
		g.arrive(now)
	}
	if !f.legged {
		f.legged, f.firstAt = true, now
	}
	f.lastAt = now
	f.Record.Events += n
	f.grow()
	if err := f.Reply.Piece(p); err != nil {
		return refuse.New(refuse.CallerLeft, "an event could not be written: %v", err).With(refuse.RanPartial)
	}
	return nil
}

// grow corrects the memory that the stream takes, at its engine and its guard.
func (f *flight) grow() {
	if f.Call.Prompt == nil || f.Service.Engine == nil {
		return
	}
	made := f.Record.Events * f.Service.Engine.Stride
	f.made.Store(int64(made))
	if made < f.told+growStep {
		return
	}
	f.told = made
	l := f.seat.Load()
	l.Tokens = f.need()
	f.seat.Resize(l)
	if f.guard != nil {
		l = f.guard.seat.Load()
		l.Tokens = f.need()
		f.guard.seat.Resize(l)
	}
}

// broken judges a leg that broke off: the stream goes on elsewhere or is lost.
func (f *flight) broken(ctx context.Context, w *watch) *refuse.Refusal {
	err := f.leg.Err()
	if ctx.Err() != nil {
		return f.Over(ctx, refuse.RanPartial)
	}
	if w.moved != nil {
		if !f.mover.Stopped() {
			// The engine is lost: there is nothing left to wait for.
			f.stay()
		}
		// The engine stops the run as the last step of a move.
		select {
		case d := <-w.moved:
			w.moved = nil
			if d.err == nil {
				return f.follow(ctx, d)
			}
		case <-ctx.Done():
			return f.Over(ctx, refuse.RanPartial)
		}
	}
	f.Note("stream broke off", zap.String("server", string(f.server.ID)), zap.String("last-event", f.lastID), zap.Error(err))
	f.Health.Failure(f.server.ID, time.Now())
	if !f.established() {
		f.CheckCrash(ctx, f.server)
	}
	if q := f.Quarantined(); q != nil {
		return f.lost(q)
	}
	switch {
	case f.Route.Resumable:
		return f.resume(ctx, err)
	case f.serves(f.guard) && f.pay():
		return f.hop(ctx)
	}
	d := f.rescue(ctx)
	if d.err != nil {
		return f.lost(err)
	}
	return f.follow(ctx, d)
}

// established reports whether an engine has run the call for a while, so that the call
// is not what makes engines crash.
func (f *flight) established() bool {
	f.proven = f.proven || f.legged && time.Since(f.firstAt) >= youngTime
	return f.proven
}

// lost returns the refusal of a stream that can't go on.
func (f *flight) lost(err error) *refuse.Refusal {
	return refuse.New(refuse.ServerDied, "server %s broke off after event %q: %v", f.server.ID, f.lastID, err).With(refuse.RanPartial)
}

// resume runs a resumable stream anew from the last event on.
func (f *flight) resume(ctx context.Context, cause error) *refuse.Refusal {
	for f.again() {
		f.seat.Release()
		s, refusal := f.place(ctx)
		if refusal != nil {
			return refusal.With(refuse.RanPartial)
		}
		f.tried[s.ID] = true
		a, err := f.open(ctx, s, port.Copy{})
		f.Record.Sent++
		if err != nil {
			cause = err
			continue
		}
		if a.Status != http.StatusOK || a.NotRun {
			_ = a.Body.Close()
			continue
		}
		f.attach(a)
		return nil
	}
	return f.lost(cause)
}

// attach makes a's body the stream's present leg.
func (f *flight) attach(a *port.Answer) {
	if f.leg != nil {
		f.leg.Close()
		f.established()
	}
	f.stopping, f.legged = false, false
	f.leg = events.New(f.Group, a.Body, a.Framed)
}
