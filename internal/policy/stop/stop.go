package stop

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrStopping is the cause that cancels a wait after which the shutdown of this VM would interrupt
// the call.
var ErrStopping = errors.New("stop: this VM is shutting down")

// Shutdown is the shutdown of this VM. It is safe for concurrent use. The zero value is a VM that is
// not shutting down.
type Shutdown struct {
	times atomic.Pointer[Times]

	mu      sync.Mutex
	waiting map[*waiter]struct{}
}

// Times are the times of a shutdown.
type Times struct {
	Signal time.Time // when it began
	End    time.Time // when the VM ends
}

// waiter is a call that waits for capacity.
type waiter struct {
	latestStart func(end time.Time) time.Time
	cancel      context.CancelCauseFunc
	timer       *time.Timer // nil: the VM is not shutting down
}

// Begin begins the shutdown. The VM ends at the given time.
func (s *Shutdown) Begin(end time.Time) {
	s.times.Store(&Times{Signal: time.Now(), End: end})
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.waiting {
		w.expire(end)
	}
}

// Times returns the times of the shutdown; nil: it has not begun.
func (s *Shutdown) Times() *Times { return s.times.Load() }

// expire cancels the wait at the latest start of the call, if the VM ends at the given time.
func (w *waiter) expire(end time.Time) {
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(w.latestStart(end)), func() { w.cancel(ErrStopping) })
	}
}

// Context returns a context for a wait for capacity. It ends at the latest start of the call,
// given the time at which the VM ends, also if the shutdown begins during the wait. The returned
// function releases it.
func (s *Shutdown) Context(ctx context.Context, latestStart func(end time.Time) time.Time) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &waiter{latestStart: latestStart, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[*waiter]struct{})
	}
	s.waiting[w] = struct{}{}
	if st := s.times.Load(); st != nil {
		w.expire(st.End)
	}
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, w)
		if w.timer != nil {
			w.timer.Stop()
		}
		cancel(nil)
	}
}
