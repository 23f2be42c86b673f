package stream

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/route/migr"
	"umberladder/internal/route/port"
)

// backupReadyWait is how long a stream on a retired engine may wait for the backup copy
// to be complete. It leaves enough time for the switch within the shortest notice that an
// engine gives before it ends.
const backupReadyWait = 1100 * time.Millisecond

// migrationRetryDelay is the pause after a failed migration. Capacity becomes available
// as streams end.
const migrationRetryDelay = 150 * time.Millisecond

// watcher holds what a stream waits for on its current connection, besides events.
type watcher struct {
	f                 *forwarder
	engineRetired     <-chan struct{}  // closed when the engine is retired
	switchTimer       <-chan time.Time // fires when the stream should switch to the backup
	migrated          <-chan migration // result of the migration in progress
	backupRetired     <-chan struct{}  // closed when the backup engine is retired
	engineIsRetired   bool
	noMigrationBefore time.Time // no migration starts before this time
}

// newWatcher returns the watcher for the current connection.
func (f *forwarder) newWatcher() *watcher {
	w := &watcher{f: f, engineRetired: f.server.Retired()}
	if f.backup != nil {
		w.backupRetired = f.backup.engine.Retired()
	}
	return w
}

// onRetired starts to take the stream away from its retired engine, if that is possible
// now. A run that has produced no event cannot migrate, so onRetired is called again
// after each event.
func (w *watcher) onRetired(ctx context.Context) {
	w.engineRetired, w.engineIsRetired = nil, true
	if !w.f.canMigrate() || w.f.Result.Events == 0 || w.migrated != nil || w.switchTimer != nil || time.Now().Before(w.noMigrationBefore) {
		return
	}
	if b := w.f.backup; w.f.backupUsable(b) && time.Until(b.readyAt) < backupReadyWait {
		w.switchTimer = time.After(time.Until(b.readyAt))
		return
	}
	w.migrated = w.f.startMigration(ctx)
}

// onBackupRetired drops the backup at a retired engine.
func (w *watcher) onBackupRetired(ctx context.Context) {
	w.backupRetired = nil
	w.f.LogInfo("backup engine retired", zap.String("server", string(w.f.backup.engine.ID)))
	w.f.dropBackup()
	if w.engineIsRetired {
		w.switchTimer = nil
		w.onRetired(ctx)
	}
}

// onSwitchTimer switches to the backup, or schedules another try if the retry budget
// does not allow it now.
func (w *watcher) onSwitchTimer(ctx context.Context) (*watcher, *refuse.Refusal) {
	if !w.f.spendRetry() {
		w.f.LogInfo("stream stays", zap.String("server", string(w.f.server.ID)), zap.Error(migr.ErrBudgetExhausted))
		w.switchTimer = time.After(migrationRetryDelay)
		return w, nil
	}
	if refusal := w.f.switchToBackup(ctx); refusal != nil {
		return w, refusal
	}
	return w.f.newWatcher(), nil
}

// onMigrated continues the stream at the engine it was migrated to and returns the
// watcher for the next connection.
func (w *watcher) onMigrated(ctx context.Context, m migration) (*watcher, *refuse.Refusal) {
	if m.err != nil {
		w.migrationFailed(m.err)
		return w, nil //nolint:nilerr // the stream stays where it is
	}
	w.migrated = nil
	if refusal := w.f.continueAt(ctx, m); refusal != nil {
		return w, refusal
	}
	return w.f.newWatcher(), nil
}

// migrationFailed records a failed migration; the stream stays on its engine.
func (w *watcher) migrationFailed(err error) {
	w.migrated = nil
	// An engine closes the connection of a run that it was ordered to stop, also if the copy
	// then failed. Without the run, there was nothing to stop.
	w.f.endUncertain = w.f.migrator.Stopped() && !errors.Is(err, port.ErrNoRun)
	w.noMigrationBefore = time.Now().Add(migrationRetryDelay)
	w.f.LogInfo("stream stays", zap.String("server", string(w.f.server.ID)), zap.Error(err))
}
