package stream

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/pace"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/events"
	"umberladder/internal/route/port"
)

// reportStep is the number of tokens that a stream generates between two updates of its
// reservations, which are reported to the other VMs.
const reportStep = 128

// establishedAfter is the time after its first event from which a run counts as
// established.
const establishedAfter = time.Second

// forwardEvents forwards events until the stream is complete or lost.
func (f *forwarder) forwardEvents(ctx context.Context) *refuse.Refusal {
	w := f.newWatcher()
	for {
		var refusal *refuse.Refusal
		select {
		case p, ok := <-f.conn.Events():
			if ok {
				refusal = f.forward(p)
				if w.engineIsRetired {
					w.onRetired(ctx)
				}
				break
			}
			f.logIncompleteEvent()
			if f.isComplete(ctx) {
				return f.finish()
			}
			if refusal = f.connectionLost(ctx, w); refusal == nil {
				w = f.newWatcher()
			}
		case <-w.engineRetired:
			w.onRetired(ctx)
		case <-w.switchTimer:
			w, refusal = w.onSwitchTimer(ctx)
		case m := <-w.migrated:
			w, refusal = w.onMigrated(ctx, m)
		case <-w.backupRetired:
			w.onBackupRetired(ctx)
		case <-ctx.Done():
			return f.CancellationRefusal(ctx, refuse.RanPartial)
		}
		if refusal != nil {
			return refusal
		}
	}
}

// logIncompleteEvent logs that a connection ended inside an event.
func (f *forwarder) logIncompleteEvent() {
	if n := f.conn.IncompleteLen(); n > 0 {
		f.LogInfo("stream ended inside an event", zap.String("server", string(f.server.ID)), zap.String("last-event", f.lastID),
			zap.Int("bytes", n), zap.Bool("close-delimited", !f.conn.Delimited()), zap.Error(f.conn.Err()))
	}
}

// isComplete reports whether the stream is complete. A run may end by itself just before
// it is stopped; continuing it would send its end twice.
func (f *forwarder) isComplete(ctx context.Context) bool {
	select {
	case <-f.conn.Done():
	default:
		return false
	}
	switch {
	case !errors.Is(f.conn.Err(), io.EOF):
		return false
	case f.conn.Delimited():
		return true
	case f.endUncertain:
		return false
	}
	if err := f.ConfirmEnd(ctx, f.server); err != nil {
		f.endUncertain = true
		f.LogInfo("end of the stream not confirmed", zap.String("server", string(f.server.ID)), zap.String("last-event", f.lastID), zap.Error(err))
		return false
	}
	return true
}

// finish ends the response to the client.
func (f *forwarder) finish() *refuse.Refusal {
	if err := f.Writer.Finish(); err != nil {
		return refuse.New(refuse.ClientDisconnected, "the end could not be written: %v", err).WithRan(refuse.RanPartial)
	}
	f.Health.Success(f.server.ID, time.Now())
	f.RecordPass(f.server)
	f.Origins.Completed(f.streamID())
	return nil
}

// forward writes complete events to the client.
func (f *forwarder) forward(p []byte) *refuse.Refusal {
	defer f.conn.Forwarded(p)
	id, n := events.LastID(p)
	if id != "" {
		f.lastID = id
	}
	now := time.Now()
	if f.Result.Events == 0 {
		f.Result.TimeToFirst = now.Sub(f.Call.Arrived)
	} else {
		f.Result.MaxEventGap = max(f.Result.MaxEventGap, now.Sub(f.lastEventAt))
	}
	if b := f.backup; b != nil {
		if !f.gotEvent {
			b.readyAt = now.Add(backupLag)
		}
		b.markArrived(now)
	}
	if !f.gotEvent {
		f.gotEvent, f.firstEventAt = true, now
		// The prompt has been prefilled, also if the stream was resumed. The load has no time per
		// token, as the meter of the connection is new.
		f.reservation.Resize(f.load(false))
	}
	if !f.wasEstablished && f.established() {
		f.RecordPass(f.server)
	}
	f.lastEventAt = now
	f.Result.Events += n
	f.measurePace(n, now)
	if !f.hasEvents {
		f.hasEvents = true
		f.version = f.server.Version // migrations read it concurrently, once there are events
		f.recordOrigin()
	}
	f.updateReservations()
	if err := f.Writer.WriteChunk(p); err != nil {
		return refuse.New(refuse.ClientDisconnected, "an event could not be written: %v", err).WithRan(refuse.RanPartial)
	}
	return nil
}

// measurePace records that events arrived, and adds the time per token to the stream's load when it
// is first known. Later measurements are reported with the memory: a change of the load sends a
// message, and a group of events is complete ten times per second.
func (f *forwarder) measurePace(events int, now time.Time) {
	if !f.meter.Observe(events, now) {
		return
	}
	if load := f.reservation.Load(); load.PaceRuns == 0 && f.addPace(&load) {
		f.reservation.Resize(load)
	}
}

// addPace adds the time per token to a load, if it is known.
func (f *forwarder) addPace(l *alloc.Load) bool {
	perToken := f.meter.PerToken(f.eventTokens())
	if perToken == 0 {
		return false
	}
	l.PaceRuns, l.PaceMicros = 1, max(int(perToken.Microseconds()), 1)
	return true
}

// updateReservations adjusts the memory reserved for the stream at its engine and its
// backup engine.
func (f *forwarder) updateReservations() {
	if f.Call.Prompt == nil || f.Service.Engine == nil {
		return
	}
	generated := f.Result.Events * f.Service.Engine.TokensPerEvent
	f.generated.Store(int64(generated))
	if generated < f.reportedTokens+reportStep {
		return
	}
	f.reportedTokens = generated
	load := f.reservation.Load()
	load.Tokens = f.tokensNeeded()
	f.addPace(&load)
	f.reservation.Resize(load)
	if f.backup != nil {
		load = f.backup.reservation.Load()
		load.Tokens = f.tokensNeeded()
		f.backup.reservation.Resize(load)
	}
}

// connectionLost handles a connection that ended early. It continues the stream at
// another engine, or returns the refusal that ends it.
func (f *forwarder) connectionLost(ctx context.Context, w *watcher) *refuse.Refusal {
	err := f.conn.Err()
	if ctx.Err() != nil {
		return f.CancellationRefusal(ctx, refuse.RanPartial)
	}
	if w.migrated != nil {
		if !f.migrator.Stopped() {
			// The engine was not ordered to stop the run, so it has failed and the
			// migration cannot succeed.
			f.cancelMigration()
		}
		// The engine stops the run in the last step of a migration, so the migration
		// may still succeed.
		select {
		case m := <-w.migrated:
			w.migrated = nil
			if m.err == nil {
				return f.continueAt(ctx, m)
			}
		case <-ctx.Done():
			return f.CancellationRefusal(ctx, refuse.RanPartial)
		}
	}
	f.LogInfo("stream broke off", zap.String("server", string(f.server.ID)), zap.String("last-event", f.lastID), zap.Error(err))
	f.Health.Failure(f.server.ID, time.Now())
	if !f.established() {
		f.CheckCrash(ctx, f.server)
	}
	if q := f.QuarantineRefusal(); q != nil {
		return f.lostRefusal(q)
	}
	switch {
	case f.Route.Resumable:
		return f.resume(ctx, err)
	case f.backupUsable(f.backup) && f.spendRetry():
		return f.switchToBackup(ctx)
	}
	m := f.recoverRun(ctx)
	if m.err != nil {
		return f.lostRefusal(err)
	}
	return f.continueAt(ctx, m)
}

// established reports whether an engine has run the call for at least establishedAfter.
// A crash of the engine is then not blamed on the call.
func (f *forwarder) established() bool {
	f.wasEstablished = f.wasEstablished || f.gotEvent && time.Since(f.firstEventAt) >= establishedAfter
	return f.wasEstablished
}

// lostRefusal returns the refusal of a stream that cannot continue.
func (f *forwarder) lostRefusal(err error) *refuse.Refusal {
	return refuse.New(refuse.ServerLost, "server %s broke off after event %q: %v", f.server.ID, f.lastID, err).WithRan(refuse.RanPartial)
}

// resume runs a resumable stream again, starting after the last forwarded event.
func (f *forwarder) resume(ctx context.Context, cause error) *refuse.Refusal {
	if f.lastID != "" && f.version == "" {
		return f.lostRefusal(errUnknownVersion)
	}
	for f.mayRetry() {
		f.reservation.Release()
		s, refusal := f.place(ctx)
		if refusal != nil {
			return refusal.WithRan(refuse.RanPartial)
		}
		f.tried[s.ID] = true
		resp, err := f.send(ctx, s, port.CacheRef{})
		f.Result.Attempts++
		if err != nil {
			cause = err
			continue
		}
		if !isStream(resp) {
			_ = resp.Body.Close()
			continue
		}
		f.attach(resp)
		return nil
	}
	return f.lostRefusal(cause)
}

// attach makes the body of resp the stream's current connection.
func (f *forwarder) attach(resp *port.Response) {
	if f.conn != nil {
		f.conn.Close()
		f.established()
	}
	f.endUncertain, f.gotEvent = false, false
	f.meter = pace.Meter{}
	f.conn = events.New(f.Group, resp.Body, resp.Delimited, f.Held)
}
