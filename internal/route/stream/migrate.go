package stream

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/migr"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

const (
	// migrationTries is the maximum number of engines to which a migration is
	// attempted.
	migrationTries = 3
	// migrationWait is how long a run on a retired engine waits for the engine's link
	// and for capacity on another engine. A run whose engine has failed does not
	// wait.
	migrationWait = 2 * time.Second
	// remainderTimeout is how long the last events of a stopped run may take to
	// arrive.
	remainderTimeout = 250 * time.Millisecond
)

// migration is the result of copying a run's KV cache to another engine, after which
// the run was stopped.
type migration struct {
	to          *srvtab.Server
	backup      *srvtab.Server // backup engine of the continued run; nil: none
	reservation *alloc.Reservation
	copy        port.CacheRef
	err         error
}

// errUnknownVersion reports that a stream cannot continue, because it is not known which version
// of the software produced its events.
var errUnknownVersion = errors.New("stream: the version of the engine's software is not known")

// startMigration starts to migrate the stream from a retired engine in the
// background, while the stream continues there. It returns nil if the stream cannot
// migrate.
func (f *forwarder) startMigration(ctx context.Context) <-chan migration {
	if !f.canMigrate() {
		return nil
	}
	result := make(chan migration)
	from := f.server
	f.endUncertain = true
	migrateCtx, cancel := context.WithCancel(ctx)
	f.cancelMigration = cancel
	f.Group.Go(func() error {
		defer cancel()
		m := f.migrate(migrateCtx, from)
		select {
		case result <- m:
		case <-ctx.Done():
			// The call has ended, so the run is not continued at the other engine.
			m.reservation.Release()
		}
		return nil
	})
	return result
}

// migrate copies the KV cache to another engine while the run continues, then stops
// the run and copies what was added since.
func (f *forwarder) migrate(ctx context.Context, from *srvtab.Server) migration {
	if from.Version == "" {
		return migration{err: errUnknownVersion}
	}
	req := f.placementRequest(pick.Migration, from.Domain, []ident.Server{from.ID})
	req.Version, req.Backup = from.Version, f.canBackUp()
	req.Source = from.ID
	req.MaxWait = migrationWait
	var err error
	for range migrationTries {
		var placement pick.Placement
		if placement, err = f.Placer.Place(ctx, req); err != nil {
			break
		}
		to := placement.Server
		req.Exclude = append(req.Exclude, to.ID)
		load := f.load(false)
		load.CopiesIn = 1
		reservation := f.Alloc.Reserve(to.ID, load)
		linkReservation := f.Alloc.Reserve(from.ID, alloc.Load{CopiesOut: 1})
		var copied port.CopyResult
		copied, err = f.migrator.Migrate(ctx, from, to, f.spendRetry)
		linkReservation.Release()
		if err == nil {
			reservation.Resize(f.load(false))
			return migration{to: to, backup: placement.Backup, reservation: reservation, copy: port.CacheRef{Addr: from.Addr, ID: copied.Handle}}
		}
		reservation.Release()
		f.LogInfo("copy failed", zap.String("from", string(from.ID)), zap.String("to", string(to.ID)), zap.Error(err))
		if errors.Is(err, port.ErrNoRun) || ctx.Err() != nil {
			break
		}
	}
	return migration{err: err}
}

// spendRetry takes one retry from the budget for continuing the stream at another
// engine. It is called before the run is stopped, so that a stream for which the
// budget has no retry stays on its engine.
func (f *forwarder) spendRetry() bool { return f.Budget.AllowRetry(f.Service.Name, time.Now()) }

// switchToBackup continues the stream at the backup engine, which already has the KV
// cache, so the stream pauses only for the switch. The retry budget must already have
// been charged.
func (f *forwarder) switchToBackup(ctx context.Context) *refuse.Refusal {
	b := f.backup
	f.endUncertain = true
	f.forwardRemaining(ctx, 0)
	if f.isComplete(ctx) {
		return nil
	}
	f.conn.Close()
	f.migrator.Stop(ctx, f.server, b.engine)
	b.reservation.Resize(f.load(false))
	f.backup = nil
	return f.continueAt(ctx, migration{to: b.engine, reservation: b.reservation, copy: b.cacheRef(f.Call.ID)})
}

// recoverRun stops a run whose connection broke and copies its KV cache to another
// engine, if its engine is still reachable.
func (f *forwarder) recoverRun(ctx context.Context) migration {
	switch {
	case !f.canMigrate():
		return migration{err: errors.New("the stream cannot migrate")}
	case f.server.Version == "":
		return migration{err: errUnknownVersion}
	}
	req := f.placementRequest(pick.Migration, f.server.Domain, []ident.Server{f.server.ID})
	req.Version, req.Backup = f.server.Version, f.canBackUp()
	placement, err := f.Placer.Place(ctx, req)
	if err != nil {
		return migration{err: err}
	}
	to := placement.Server
	if !f.spendRetry() {
		return migration{err: migr.ErrBudgetExhausted}
	}
	reservation := f.Alloc.Reserve(to.ID, f.load(false))
	copied, err := f.migrator.Recover(ctx, f.server, to)
	if err != nil {
		reservation.Release()
		f.LogInfo("KV cache not recovered", zap.String("server", string(f.server.ID)), zap.Error(err))
		return migration{err: err}
	}
	return migration{to: to, backup: placement.Backup, reservation: reservation, copy: port.CacheRef{Addr: f.server.Addr, ID: copied.Handle}}
}

// continueAt continues the stream at the engine that holds the copy. It first forwards
// the remaining events of the stopped run, and returns without continuing if they
// complete the stream.
func (f *forwarder) continueAt(ctx context.Context, m migration) *refuse.Refusal {
	f.forwardRemaining(ctx, remainderTimeout)
	if f.isComplete(ctx) {
		m.reservation.Release()
		return nil
	}
	from := f.server
	f.conn.Close()
	f.reservation.Release()
	f.reservation = m.reservation
	f.setBackup(f.backupFor(ctx, m))
	if err := f.sendContinuation(ctx, m.to, m.copy); err != nil {
		f.LogInfo("stream did not go on", zap.String("from", string(from.ID)), zap.String("to", string(m.to.ID)),
			zap.String("last-event", f.lastID), zap.Error(err))
		return f.lostRefusal(err)
	}
	f.Result.Migrations++
	f.LogInfo("stream continues at another engine", zap.String("from", string(from.ID)), zap.String("to", string(m.to.ID)),
		zap.String("from-version", string(from.Version)), zap.String("to-version", string(m.to.Version)), zap.String("last-event", f.lastID))
	return nil
}

// sendContinuation sends the call to the engine that holds the KV cache copy c. The
// retry budget must already have been charged.
func (f *forwarder) sendContinuation(ctx context.Context, to *srvtab.Server, c port.CacheRef) error {
	resp, err := f.send(ctx, to, c)
	if err != nil {
		return err
	}
	if !isStream(resp) {
		_ = resp.Body.Close()
		return trace.Errorf("status %d", resp.Status)
	}
	f.attach(resp)
	return nil
}

// forwardRemaining forwards the events that a stopped run still sends, for at most
// limit.
func (f *forwarder) forwardRemaining(ctx context.Context, limit time.Duration) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		select {
		case p, ok := <-f.conn.Events():
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
