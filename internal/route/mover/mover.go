package mover

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/port"
	"umberladder/internal/state/backs"
)

const (
	// copyTime bounds the copying of a whole cache, which queues behind others.
	copyTime = 1500 * time.Millisecond
	// quickCopy is the longest time of a copy of the last second's tokens that met
	// no queue.
	quickCopy = 50 * time.Millisecond
	// settleTime is how long a move waits for the links to be free: it leaves time
	// for the move within the shortest notice of an engine.
	settleTime = 1100 * time.Millisecond
	// freeTime bounds the order to free a copy.
	freeTime = 500 * time.Millisecond
	// stopTime bounds the order that stops a run at an engine that may be dead.
	stopTime = 250 * time.Millisecond
	// stopWait is how long the answer to an order to stop is waited for: an engine
	// that dropped the run says so at its next step, and one that did not has
	// stopped it before it answers.
	stopWait = 20 * time.Millisecond
	// busyPause is the pause before an order is given again to an engine that is
	// at another for the same run.
	busyPause = 50 * time.Millisecond
)

// ErrUnpaid says that the run may not go on elsewhere, so that it was left
// where it is.
var ErrUnpaid = errors.New("mover: the retry budget is used up")

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Mover orders the copies of one run.
type Mover struct {
	backend port.Backend
	group   Group
	run     ident.Request
	log     func(what string, fields ...zap.Field)

	stopped atomic.Bool
}

// Stopped reports whether the run's engine was told to stop it.
func (m *Mover) Stopped() bool { return m.stopped.Load() }

// New makes a mover of a run.
func New(b port.Backend, g Group, run ident.Request, log func(string, ...zap.Field)) *Mover {
	return &Mover{backend: b, group: g, run: run, log: log}
}

// Move copies the run's cache while the run goes on, and then stops it and
// copies what is new. What is new is copied again until a copy comes through at
// once or the time is over; 8 ms then are the rule for the last one, and were
// 0.4 s at the median. Before the run is stopped, pay has to allow it.
func (m *Mover) Move(ctx context.Context, from, to *backs.Server, pay func() bool) (port.Moved, error) {
	m.stopped.Store(false)
	end := time.Now().Add(settleTime)
	made := ""
	for {
		start := time.Now()
		c, err := m.order(ctx, from, to, false, copyTime)
		if err != nil {
			m.free(from, made)
			return c, err
		}
		made = c.Handle
		now := time.Now()
		if now.Sub(start) < quickCopy || now.After(end) {
			break
		}
	}
	if !pay() {
		m.free(from, made)
		return port.Moved{}, ErrUnpaid
	}
	m.stopped.Store(true)
	c, err := m.order(ctx, from, to, true, copyTime)
	if err != nil {
		m.free(from, made)
	}
	return c, err
}

// Rescue stops a run whose connection broke and copies its cache.
func (m *Mover) Rescue(ctx context.Context, from, to *backs.Server) (port.Moved, error) {
	return m.order(ctx, from, to, true, copyTime)
}

// Stop makes sure that an engine does not work on the run any more: most drop
// it with the connection, and the others are ordered to. The cache goes to an
// engine that has it already.
func (m *Mover) Stop(ctx context.Context, from, to *backs.Server) {
	done := make(chan struct{})
	m.group.Go(func() error {
		defer close(done)
		_, err := m.order(context.WithoutCancel(ctx), from, to, true, stopTime)
		if !errors.Is(err, port.ErrNoRun) {
			m.log("run stopped by order", zap.String("server", string(from.ID)), zap.Error(err))
		}
		return nil
	})
	limit := time.NewTimer(stopWait)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
	}
}

// free gives up a copy that is of no use, so that it does not fill its engine
// until it lapses.
func (m *Mover) free(from *backs.Server, handle string) {
	if handle == "" {
		return
	}
	m.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), freeTime)
		defer cancel()
		if err := m.backend.Free(ctx, from, handle); err != nil {
			m.log("copy not freed", zap.String("server", string(from.ID)), zap.Error(err))
		}
		return nil
	})
}

// order has an engine copy the run's cache.
func (m *Mover) order(ctx context.Context, from, to *backs.Server, last bool, limit time.Duration) (port.Moved, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		c, err := m.backend.Move(ctx, from, m.run, to.Addr, last)
		if !errors.Is(err, port.ErrBusy) {
			return c, err
		}
		select {
		case <-time.After(busyPause):
		case <-ctx.Done():
			return c, err
		}
	}
}
