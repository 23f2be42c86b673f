package stream

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

const (
	// backupLag is the time after a run's first event from which the copy that its
	// engine sends is assumed to be complete at the backup engine. The copy of the
	// whole prompt queues behind other copies.
	backupLag = 1300 * time.Millisecond
	// backupTimeout bounds the placement of a backup while the stream is paused.
	backupTimeout = 25 * time.Millisecond
)

// backupCopy is the copy of a run's KV cache at a backup engine. The run's engine
// sends the KV cache there as it grows.
type backupCopy struct {
	engine      *srvtab.Server
	reservation *alloc.Reservation
	readyAt     time.Time // when the copy is assumed to be complete
}

// cacheRef returns the reference to the copy of request id.
func (b *backupCopy) cacheRef(id ident.Request) port.CacheRef {
	return port.CacheRef{Addr: b.engine.Addr, ID: string(id)}
}

// canMigrate reports whether the stream can continue at another engine with a copy of
// its KV cache.
func (f *forwarder) canMigrate() bool {
	e := f.Service.Engine
	return e != nil && e.CanMigrate && !f.Route.Resumable && f.Route.Kind == call.Stream
}

// canBackUp reports whether a backup copy of the stream's KV cache is kept. A
// resumable stream needs none, because its prompt is prefilled again quickly.
func (f *forwarder) canBackUp() bool {
	e := f.Service.Engine
	return e != nil && e.CanBackUp && !f.Route.Resumable && f.Route.Kind == call.Stream
}

// setBackup makes b the backup engine of the run that starts; nil: none.
func (f *forwarder) setBackup(b *srvtab.Server) {
	f.dropBackup()
	if b == nil {
		return
	}
	f.backup = &backupCopy{
		engine:      b,
		reservation: f.Alloc.Reserve(b.ID, alloc.Load{Tokens: f.tokensNeeded(), CopiesIn: 1}),
		readyAt:     time.Now().Add(time.Hour), // until the first event of the run sets it
	}
}

// backupFor returns the backup engine of a migrated run, or nil if there is none.
func (f *forwarder) backupFor(ctx context.Context, m migration) *srvtab.Server {
	if m.backup != nil || !f.canBackUp() {
		return m.backup
	}
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	req := f.placementRequest(pick.Backup, m.to.Domain, []ident.Server{m.to.ID, f.server.ID})
	req.Version = m.to.Version
	placement, err := f.Placer.Place(ctx, req)
	if err != nil {
		f.LogInfo("no backup engine available", zap.String("server", string(m.to.ID)), zap.Error(err))
		return nil
	}
	return placement.Server
}

// backupUsable reports whether the stream may continue at the engine of b.
func (f *forwarder) backupUsable(b *backupCopy) bool {
	return b != nil && !b.engine.IsRetired() && f.CheckContinuable(b.engine) == nil && f.CheckVersion(b.engine, f.server.Version) == nil && f.Health.PauseRemaining(b.engine.ID, time.Now()) == 0
}

// markArrived stops counting the copy as in transit to the backup engine once it is
// assumed to be complete.
func (b *backupCopy) markArrived(now time.Time) {
	if now.Before(b.readyAt) {
		return
	}
	load := b.reservation.Load()
	load.CopiesIn = 0
	b.reservation.Resize(load)
}

// dropBackup releases the backup's reservation. The backup engine drops the copy when
// the run ends.
func (f *forwarder) dropBackup() {
	if f.backup == nil {
		return
	}
	f.backup.reservation.Release()
	f.backup = nil
}
