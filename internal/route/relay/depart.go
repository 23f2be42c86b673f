package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/fit"
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
	// busyPause is the pause before an order is given again to an engine that is
	// at another for the same run.
	busyPause = 50 * time.Millisecond
)

// depart moves the stream away from an engine that is leaving, while it goes on.
func (f *flight) depart(ctx context.Context) <-chan departure {
	e := f.service.Engine
	if e == nil || !e.Moves || f.route.Resumable {
		return nil
	}
	done := make(chan departure, 1)
	from := f.server
	f.relay.Group.Go(func() error {
		done <- f.move(ctx, from)
		return nil
	})
	return done
}

// move copies the cache while the run goes on, and then stops it and copies
// what is new.
func (f *flight) move(ctx context.Context, from *backs.Server) departure {
	skip := map[ident.Server]bool{from.ID: true}
	err := errors.New("no engine has room")
	for range moveTries {
		to, _ := f.pick(skip, fit.Full, f.need())
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
	if b == nil {
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
		if to, _ = f.pick(map[ident.Server]bool{f.server.ID: true}, fit.Full, f.need()); to == nil {
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
