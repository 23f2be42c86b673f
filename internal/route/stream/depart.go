package stream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/route/mover"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

const (
	// moveTries is how many engines are asked to take a copy.
	moveTries = 3
	// moveWait is how long a run whose engine leaves waits for its turn on the
	// engine's link and for room elsewhere. One whose engine ends waits no more.
	moveWait = 2 * time.Second
	// tailTime is how long the last events of a stopped run may take to come.
	tailTime = 250 * time.Millisecond
)

// departure is a run that was stopped and can go on at another engine.
type departure struct {
	to     *backs.Server
	backup *backs.Server // of the run that goes on; nil: none
	seat   *seats.Seat
	copy   port.Copy
	err    error
}

// depart moves the stream away from an engine that is leaving, while it goes on.
func (f *flight) depart(ctx context.Context) <-chan departure {
	if !f.movable() {
		return nil
	}
	done := make(chan departure)
	from := f.server
	f.stopping = true
	moving, cancel := context.WithCancel(ctx)
	f.stay = cancel
	f.Group.Go(func() error {
		defer cancel()
		d := f.move(moving, from)
		select {
		case done <- d:
		case <-ctx.Done():
			// The call has ended, and nobody goes on where the move has led.
			d.seat.Release()
		}
		return nil
	})
	return done
}

// move copies the cache while the run goes on, and then stops it and copies
// what is new.
func (f *flight) move(ctx context.Context, from *backs.Server) departure {
	w := f.want(pick.Move, from.Domain, []ident.Server{from.ID})
	w.Backup = f.guardable()
	w.Source = from.ID
	w.Wait = moveWait
	var err error
	for range moveTries {
		var spot pick.Spot
		if spot, err = f.Places.Place(ctx, w); err != nil {
			break
		}
		to := spot.Server
		w.Skip = append(w.Skip, to.ID)
		l := f.load(false)
		l.Copies = 1
		seat := f.Seats.Take(to.ID, l)
		link := f.Seats.Take(from.ID, seats.Load{Sends: 1})
		var m port.Moved
		m, err = f.mover.Move(ctx, from, to, f.pay)
		link.Release()
		if err == nil {
			seat.Resize(f.load(false))
			return departure{to: to, backup: spot.Backup, seat: seat, copy: port.Copy{At: from.Addr, ID: m.Handle}}
		}
		seat.Release()
		f.Note("copy failed", zap.String("from", string(from.ID)), zap.String("to", string(to.ID)), zap.Error(err))
		if errors.Is(err, port.ErrNoRun) || ctx.Err() != nil {
			break
		}
	}
	return departure{err: err}
}

// pay takes the sending that goes on elsewhere out of the budget. It comes
// before the run is stopped: a stream that can't go on stays where it is.
func (f *flight) pay() bool { return f.Budget.Spend(f.Service.Name, time.Now()) }

// hop goes on at the guard; it has been paid for. The copy is there already, so
// the stream stands still for the change alone.
func (f *flight) hop(ctx context.Context) *refuse.Refusal {
	g := f.guard
	f.stopping = true
	f.tail(ctx, 0)
	if f.ended() {
		return nil
	}
	f.leg.Close()
	f.mover.Stop(ctx, f.server, g.at)
	g.seat.Resize(f.load(false))
	f.guard = nil
	return f.follow(ctx, departure{to: g.at, seat: g.seat, copy: g.copy(f.Call.ID)})
}

// rescue stops a run whose connection broke and copies its cache, if its
// engine still lives.
func (f *flight) rescue(ctx context.Context) departure {
	if !f.movable() {
		return departure{err: errors.New("nothing is kept of the run")}
	}
	w := f.want(pick.Move, f.server.Domain, []ident.Server{f.server.ID})
	w.Backup = f.guardable()
	spot, err := f.Places.Place(ctx, w)
	if err != nil {
		return departure{err: err}
	}
	to := spot.Server
	if !f.pay() {
		return departure{err: mover.ErrUnpaid}
	}
	seat := f.Seats.Take(to.ID, f.load(false))
	m, err := f.mover.Rescue(ctx, f.server, to)
	if err != nil {
		seat.Release()
		f.Note("run not rescued", zap.String("server", string(f.server.ID)), zap.Error(err))
		return departure{err: err}
	}
	return departure{to: to, backup: spot.Backup, seat: seat, copy: port.Copy{At: f.server.Addr, ID: m.Handle}}
}

// follow goes on at the engine that holds the copy.
func (f *flight) follow(ctx context.Context, d departure) *refuse.Refusal {
	f.tail(ctx, tailTime)
	if f.ended() {
		d.seat.Release()
		return nil
	}
	from := f.server
	f.leg.Close()
	f.seat.Release()
	f.seat = d.seat
	f.setGuard(f.backupFor(ctx, d))
	if err := f.goOn(ctx, d.to, d.copy); err != nil {
		f.Note("stream did not go on", zap.String("from", string(from.ID)), zap.String("to", string(d.to.ID)),
			zap.String("last-event", f.lastID), zap.Error(err))
		return f.lost(err)
	}
	f.Record.Moves++
	f.Note("stream goes on", zap.String("from", string(from.ID)), zap.String("to", string(d.to.ID)), zap.String("last-event", f.lastID))
	return nil
}

// goOn sends the call to an engine with the cache to go on from. It has been
// paid for.
func (f *flight) goOn(ctx context.Context, to *backs.Server, c port.Copy) error {
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

// tail forwards what a stopped run still sends, for at most limit.
func (f *flight) tail(ctx context.Context, limit time.Duration) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		select {
		case p, ok := <-f.leg.Events():
			if !ok {
				return
			}
			if refusal := f.forward(p); refusal != nil {
				return
			}
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
