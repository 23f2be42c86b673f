package migr

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

const (
	// copyTimeout bounds the copy of a complete KV cache, which queues behind others.
	copyTimeout = 1500 * time.Millisecond
	// quickCopyTime is the longest time that a copy of the last second's tokens takes
	// if the link has no queue.
	quickCopyTime = 50 * time.Millisecond
	// copyPhaseTime is how long a migration repeats copies until the links are free.
	// It leaves time to finish the migration within the shortest notice that an
	// engine gives before it ends.
	copyPhaseTime = 1100 * time.Millisecond
	// freeTimeout bounds the order to free a copy.
	freeTimeout = 500 * time.Millisecond
	// stopTimeout bounds the order that stops a run at an engine that may have
	// terminated.
	stopTimeout = 250 * time.Millisecond
	// stopWait is how long Stop waits for the engine's response. An engine that
	// dropped the run says so at its next step, and one that did not stops it before
	// it responds.
	stopWait = 20 * time.Millisecond
	// busyRetryDelay is the delay before an order is repeated to an engine that is
	// executing another order for the same run.
	busyRetryDelay = 50 * time.Millisecond
)

// ErrBudgetExhausted reports that the run was not migrated because the retry
// budget is used up. The run stays on its engine.
var ErrBudgetExhausted = errors.New("migr: the retry budget is used up")

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Migrator orders the KV cache copies of one run.
type Migrator struct {
	backend port.Backend
	group   Group
	run     ident.Request
	log     func(msg string, fields ...zap.Field)

	stopped atomic.Bool
}

// Stopped reports whether the run's engine was ordered to stop it.
func (m *Migrator) Stopped() bool { return m.stopped.Load() }

// New returns the Migrator of a run.
func New(b port.Backend, g Group, run ident.Request, log func(string, ...zap.Field)) *Migrator {
	return &Migrator{backend: b, group: g, run: run, log: log}
}

// Migrate copies the run's KV cache while the run continues, then stops the run and
// copies the rest. Before the stop it repeats the copy of new tokens until one
// meets no queue or copyPhaseTime is over; the last copy then usually takes 8 ms
// instead of a median of 0.4 s. The run is stopped only if spend returns true.
func (m *Migrator) Migrate(ctx context.Context, from, to *srvtab.Server, spend func() bool) (port.CopyResult, error) {
	m.stopped.Store(false)
	deadline := time.Now().Add(copyPhaseTime)
	handle := ""
	for {
		start := time.Now()
		c, err := m.orderCopy(ctx, from, to, false, copyTimeout)
		if err != nil {
			m.freeCopy(from, handle)
			return c, err
		}
		handle = c.Handle
		now := time.Now()
		if now.Sub(start) < quickCopyTime || now.After(deadline) {
			break
		}
	}
	if !spend() {
		m.freeCopy(from, handle)
		return port.CopyResult{}, ErrBudgetExhausted
	}
	m.stopped.Store(true)
	c, err := m.orderCopy(ctx, from, to, true, copyTimeout)
	if err != nil {
		m.freeCopy(from, handle)
	}
	return c, err
}

// Recover stops a run whose connection broke and copies its KV cache.
func (m *Migrator) Recover(ctx context.Context, from, to *srvtab.Server) (port.CopyResult, error) {
	return m.orderCopy(ctx, from, to, true, copyTimeout)
}

// Stop makes sure that an engine no longer works on the run. Most engines drop it
// when the connection closes; the others are ordered to stop it and copy its KV
// cache to an engine that already has it.
func (m *Migrator) Stop(ctx context.Context, from, to *srvtab.Server) {
	done := make(chan struct{})
	m.group.Go(func() error {
		defer close(done)
		_, err := m.orderCopy(context.WithoutCancel(ctx), from, to, true, stopTimeout)
		if !errors.Is(err, port.ErrNoRun) {
			m.log("run stopped by order", zap.String("server", string(from.ID)), zap.Error(err))
		}
		return nil
	})
	timer := time.NewTimer(stopWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// freeCopy frees a copy that is not used, so that it does not take memory until
// it expires.
func (m *Migrator) freeCopy(from *srvtab.Server, handle string) {
	if handle == "" {
		return
	}
	m.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := m.backend.Free(ctx, from, handle); err != nil {
			m.log("copy not freed", zap.String("server", string(from.ID)), zap.Error(err))
		}
		return nil
	})
}

// orderCopy has an engine copy the run's KV cache.
func (m *Migrator) orderCopy(ctx context.Context, from, to *srvtab.Server, stopRun bool, timeout time.Duration) (port.CopyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		c, err := m.backend.CopyCache(ctx, from, m.run, to.Addr, stopRun)
		if !errors.Is(err, port.ErrBusy) {
			return c, err
		}
		select {
		case <-time.After(busyRetryDelay):
		case <-ctx.Done():
			return c, err
		}
	}
}
