package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/state/backs"
)

const (
	// tailTime is how long the last events of a stopped run may take to come.
	tailTime = 250 * time.Millisecond
	// freeTime bounds the order to free a copy; the engine drops it by itself later.
	freeTime = 500 * time.Millisecond
	// growBy is how many tokens a stream that outgrew its expected length is
	// expected to go on for, each time.
	growBy = 400
)

// pump passes events on until the stream is whole or lost.
func (f *flight) pump(ctx context.Context) *refuse.Refusal {
	leave, bare := f.watch()
	var moved <-chan departure
	for {
		select {
		case p, ok := <-f.leg.events:
			if ok {
				if err := f.forward(p); err != nil {
					return refuse.New(refuse.CallerLeft, "an event could not be written: %v", err).With(refuse.RanPartial)
				}
				continue
			}
			if errors.Is(f.leg.err, io.EOF) && (f.leg.framed || moved == nil) {
				return f.complete()
			}
			if refusal := f.broken(ctx, moved); refusal != nil {
				return refusal
			}
			if f.ended() {
				return f.complete()
			}
			leave, bare = f.watch()
			moved = nil
		case <-leave:
			leave, bare = nil, nil
			if moved == nil {
				moved = f.depart(ctx)
			}
		case <-bare:
			bare = nil
			if moved == nil {
				f.log("backup lost", zap.String("server", string(f.backup.ID)))
				moved = f.depart(ctx)
			}
		case d := <-moved:
			moved = nil
			if d.err != nil {
				if leaves(f.server) && leave != nil {
					// It began to leave while the departure for want of a backup failed.
					continue
				}
				f.log("stream stays", zap.String("server", string(f.server.ID)), zap.Error(d.err))
				continue
			}
			if refusal := f.follow(ctx, d); refusal != nil {
				return refusal
			}
			if f.ended() {
				return f.complete()
			}
			leave, bare = f.watch()
		case <-ctx.Done():
			return f.over(ctx, refuse.RanPartial)
		}
	}
}

// watch returns the channels that are closed once the stream's engine leaves,
// and once the engine that keeps its backup does.
func (f *flight) watch() (leave, bare <-chan struct{}) {
	if f.backup == nil {
		return f.server.Leave(), nil
	}
	return f.server.Leave(), f.backup.Leave()
}

func (f *flight) complete() *refuse.Refusal {
	if err := f.reply.End(); err != nil {
		return refuse.New(refuse.CallerLeft, "the end could not be written: %v", err).With(refuse.RanPartial)
	}
	f.relay.Health.Success(f.server.ID, time.Now())
	return nil
}

// forward writes whole events to the client.
func (f *flight) forward(p []byte) error {
	id, n := lastID(p)
	if id != "" {
		f.lastID = id
	}
	now := time.Now()
	if f.record.Events == 0 {
		f.firstAt = now
		f.record.First = now.Sub(f.call.Arrived)
		f.seat.Resize(f.load(false))
	} else {
		f.record.Gap = max(f.record.Gap, now.Sub(f.lastAt))
	}
	f.lastAt = now
	f.record.Events += n
	f.grow()
	return f.reply.Piece(p)
}

// grow corrects the memory expected of a stream that outgrew its hint.
func (f *flight) grow() {
	if f.call.Prompt == nil || f.service.Engine == nil {
		return
	}
	made := f.call.Prompt.Tokens + f.record.Events*f.service.Engine.Stride
	l := f.seat.Load()
	if made < l.Tokens {
		return
	}
	l.Tokens = min(made+growBy, f.call.Prompt.Tokens+f.call.Prompt.Limit)
	f.seat.Resize(l)
}

// broken judges a leg that broke off: the stream goes on elsewhere or is lost.
func (f *flight) broken(ctx context.Context, moved <-chan departure) *refuse.Refusal {
	err := f.leg.err
	if ctx.Err() != nil {
		return f.over(ctx, refuse.RanPartial)
	}
	if moved != nil {
		// The engine stops the run as the last step of a departure.
		select {
		case d := <-moved:
			if d.err == nil {
				return f.follow(ctx, d)
			}
			err = d.err
		case <-ctx.Done():
			return f.over(ctx, refuse.RanPartial)
		}
	}
	f.log("stream broke off", zap.String("server", string(f.server.ID)), zap.String("last-event", f.lastID), zap.Error(err))
	f.relay.Health.Failure(f.server.ID, time.Now())
	if d := f.rescue(ctx); d.err == nil {
		if refusal := f.follow(ctx, d); refusal == nil {
			return nil
		}
	}
	if f.route.Resumable {
		return f.resume(ctx, err)
	}
	return refuse.New(refuse.ServerDied, "server %s broke off after event %q: %v", f.server.ID, f.lastID, err).With(refuse.RanPartial)
}

// resume runs a resumable stream anew from the last event on.
func (f *flight) resume(ctx context.Context, cause error) *refuse.Refusal {
	for f.again() {
		s, refusal := f.place(ctx)
		if refusal != nil {
			return refusal.With(refuse.RanPartial)
		}
		f.tried[s.ID] = true
		a, err := f.open(ctx, s, Copy{})
		f.record.Sent++
		if err != nil {
			f.seat.Release()
			cause = err
			continue
		}
		if a.Status != http.StatusOK || a.NotRun {
			_ = a.Body.Close()
			f.seat.Release()
			continue
		}
		f.attach(a)
		return nil
	}
	return refuse.New(refuse.ServerDied, "server %s broke off after event %q: %v", f.server.ID, f.lastID, cause).With(refuse.RanPartial)
}

// attach makes a's body the stream's present leg.
func (f *flight) attach(a *Answer) {
	if f.leg != nil {
		f.leg.close()
	}
	f.leg = newLeg(f.relay.Group, a.Body, a.Framed)
}

// follow goes on at the engine that holds the copy.
func (f *flight) follow(ctx context.Context, d departure) *refuse.Refusal {
	f.drain(ctx)
	if f.ended() {
		d.seat.Release()
		f.forget(f.server, d.then)
		return nil
	}
	from := f.server
	f.leg.close()
	f.seat.Release()
	f.spare.Release()
	f.seat, f.backup = d.seat, nil
	f.pickBackup(d.to)
	err := f.goOn(ctx, d.to, d.copy)
	if err == nil {
		f.forget(from, d.then)
	} else if d.then != nil {
		f.log("backup of no use", zap.String("server", string(d.to.ID)), zap.Error(err))
		err = f.goOnLate(ctx, from, d, err)
	}
	if err != nil {
		f.log("stream did not go on", zap.String("from", string(from.ID)), zap.String("to", string(d.to.ID)),
			zap.String("last-event", f.lastID), zap.Error(err))
		return refuse.New(refuse.ServerDied, "the stream could not go on at server %s: %v", d.to.ID, err).With(refuse.RanPartial)
	}
	f.record.Moves++
	f.log("stream goes on", zap.String("from", string(from.ID)), zap.String("to", string(d.to.ID)), zap.String("last-event", f.lastID))
	return nil
}

// ended reports whether the stream is complete. A run that was to be stopped may
// have ended by itself, and going on would send its end twice.
func (f *flight) ended() bool {
	select {
	case <-f.leg.done:
	default:
		return false
	}
	return f.leg.framed && errors.Is(f.leg.err, io.EOF)
}

// goOn sends the call to an engine with the cache to go on from.
func (f *flight) goOn(ctx context.Context, to *backs.Server, c Copy) error {
	if !f.relay.Budget.Spend(f.service.Name, time.Now()) {
		return errBudget
	}
	a, err := f.open(ctx, to, c)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK || a.NotRun {
		_ = a.Body.Close()
		return trace.Errorf("status %d", a.Status)
	}
	f.attach(a)
	return nil
}

var errBudget = errors.New("relay: the retry budget is used up")

// goOnLate waits for the copy of the order that stopped the run.
func (f *flight) goOnLate(ctx context.Context, from *backs.Server, d departure, err error) error {
	select {
	case o := <-d.then:
		if o.err != nil {
			return trace.NewAggregate(err, o.err)
		}
		return f.goOn(ctx, d.to, Copy{At: from.Addr, ID: o.moved.Handle})
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// forget frees the copy of the order that stopped the run.
func (f *flight) forget(from *backs.Server, then <-chan stopped) {
	if then == nil {
		return
	}
	f.relay.Group.Go(func() error {
		o := <-then
		if o.err != nil {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), freeTime)
		defer cancel()
		if err := f.relay.Backend.Free(ctx, from, o.moved.Handle); err != nil {
			f.log("copy not freed", zap.String("server", string(from.ID)), zap.Error(err))
		}
		return nil
	})
}

// drain forwards what a stopped run still sends.
func (f *flight) drain(ctx context.Context) {
	end := time.NewTimer(tailTime)
	defer end.Stop()
	for {
		select {
		case p, ok := <-f.leg.events:
			if !ok {
				return
			}
			if err := f.forward(p); err != nil {
				return
			}
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
