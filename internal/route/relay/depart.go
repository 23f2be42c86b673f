package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/fit"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

const (
	// moveTries is how many engines are asked to take a copy.
	moveTries = 3
	// moveTime bounds the copying of a whole cache: a gigabyte over a link of 24
	// Gbit/s takes 0.35 s, twice that across failure domains, and copies queue.
	moveTime = 1500 * time.Millisecond
	// stopTime bounds the order that stops a run at an engine that may be dead.
	stopTime = 250 * time.Millisecond
	// handDelay is how long after a notice the streams with a backup leave. The
	// order that stops them takes the engine's link for 0.2 s each, which until
	// then is free for those without; and young runs reach their backup by then.
	// The shortest notice is 1.5 s.
	handDelay = 700 * time.Millisecond
	// busyPause is the pause before an order is given again to an engine that is
	// at another for the same run.
	busyPause = 50 * time.Millisecond
)

// stopped is the end of an order to stop a run and copy its cache.
type stopped struct {
	moved Moved
	err   error
}

// departure is a run that was stopped and can go on at another engine.
type departure struct {
	to   *backs.Server
	seat *seats.Seat
	copy Copy
	// then has the outcome of the order that stopped the run, whose own copy
	// serves if the backup does not; nil if there was no such order.
	then <-chan stopped
	err  error
}

// depart moves the stream away from an engine that is leaving.
func (f *flight) depart(ctx context.Context) <-chan departure {
	e := f.service.Engine
	if e == nil || !e.Moves || f.route.Resumable {
		return nil
	}
	done := make(chan departure, 1)
	from, l, backup := f.server, f.leg, f.backup
	f.relay.Group.Go(func() error {
		if backup != nil && !leaves(backup) {
			retry.Pause(ctx, handDelay)
		}
		if backup != nil && !leaves(backup) {
			done <- f.hand(ctx, from, l, backup)
			return nil
		}
		done <- f.move(ctx, from)
		return nil
	})
	return done
}

func leaves(s *backs.Server) bool {
	select {
	case <-s.Leave():
		return true
	default:
		return false
	}
}

// hand stops the run and goes on from the backup. The order to stop copies the
// cache too, behind the copies of other runs; nobody waits for that copy unless
// the backup fails. Pauses of streams were 0.72 s at the median when they
// waited for the order's copy, and are 0.08 s from the backup.
func (f *flight) hand(ctx context.Context, from *backs.Server, l *leg, backup *backs.Server) departure {
	then := make(chan stopped, 1)
	f.relay.Group.Go(func() error {
		m, err := f.copy(context.WithoutCancel(ctx), from, backup, true)
		then <- stopped{moved: m, err: err}
		return nil
	})
	d := departure{to: backup, copy: Copy{At: backup.Addr, ID: string(f.call.ID)}, then: then}
	limit := time.NewTimer(stopTime)
	defer limit.Stop()
	select {
	case <-l.done:
	case <-limit.C:
	case o := <-then:
		then <- o
		if errors.Is(o.err, ErrNoRun) {
			return departure{err: o.err}
		}
		select {
		case <-l.done:
		case <-limit.C:
		}
	}
	select {
	case <-l.done:
	default:
		return departure{err: errors.New("the engine did not stop the run")}
	}
	d.seat = f.relay.Seats.Take(backup.ID, f.load(false))
	return d
}

// move copies the cache while the run goes on, and then stops it and copies
// what is new.
func (f *flight) move(ctx context.Context, from *backs.Server) departure {
	skip := map[ident.Server]bool{from.ID: true}
	err := errors.New("no engine has room")
	for range moveTries {
		to, _ := f.pick(skip, fit.Full, fit.FarCopy, from.Domain)
		if to == nil {
			break
		}
		skip[to.ID] = true
		seat := f.relay.Seats.Take(to.ID, f.load(false))
		var m Moved
		m, err = f.copy(ctx, from, to, false)
		if err == nil {
			m, err = f.copy(ctx, from, to, true)
		}
		if err == nil {
			return departure{to: to, seat: seat, copy: Copy{At: from.Addr, ID: m.Handle}}
		}
		seat.Release()
		f.log("copy failed", zap.String("from", string(from.ID)), zap.String("to", string(to.ID)), zap.Error(err))
		if errors.Is(err, ErrNoRun) || ctx.Err() != nil {
			break
		}
	}
	return departure{err: err}
}

func (f *flight) copy(ctx context.Context, from, to *backs.Server, last bool) (Moved, error) {
	ctx, cancel := context.WithTimeout(ctx, moveTime)
	defer cancel()
	for {
		m, err := f.relay.Backend.Move(ctx, from, f.call.ID, to.Addr, last)
		if !errors.Is(err, ErrBusy) {
			return m, err
		}
		select {
		case <-time.After(busyPause):
		case <-ctx.Done():
			return m, err
		}
	}
}

// rescue finds where a stream can go on whose connection broke.
func (f *flight) rescue(ctx context.Context) departure {
	e := f.service.Engine
	if e == nil || f.route.Resumable {
		return departure{err: errors.New("nothing is kept of the run")}
	}
	if e.Moves {
		if d := f.stop(ctx); d.err == nil {
			return d
		}
	}
	b := f.backup
	if b == nil || leaves(b) {
		return departure{err: errors.New("no copy is kept of the run")}
	}
	return departure{to: b, seat: f.relay.Seats.Take(b.ID, f.load(false)), copy: Copy{At: b.Addr, ID: string(f.call.ID)}}
}

// stop orders an engine whose connection broke to stop the run and copy it. A
// run that may still work there must not go on elsewhere.
func (f *flight) stop(ctx context.Context) departure {
	ctx, cancel := context.WithTimeout(ctx, stopTime)
	defer cancel()
	to := f.backup
	if to == nil {
		if to, _ = f.pick(map[ident.Server]bool{f.server.ID: true}, fit.Full, fit.FarCopy, f.server.Domain); to == nil {
			return departure{err: errors.New("no engine has room")}
		}
	}
	seat := f.relay.Seats.Take(to.ID, f.load(false))
	m, err := f.copy(ctx, f.server, to, true)
	if err != nil {
		seat.Release()
		f.log("run not stopped", zap.String("server", string(f.server.ID)), zap.Error(err))
		return departure{err: err}
	}
	return departure{to: to, seat: seat, copy: Copy{At: f.server.Addr, ID: m.Handle}}
}
