package stop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestContext checks when waits end: at the latest start of their call, whether the shutdown
// begins before or during the wait, and not at all without one.
func TestContext(t *testing.T) {
	const needed, grace = 2 * time.Second, 5 * time.Second
	for name, tc := range map[string]struct {
		waitAt, signalAt time.Duration // signalAt 0: there is no shutdown
		endAt            time.Duration // when the wait ends; 0: it does not
	}{
		"no shutdown":               {},
		"it begins during the wait": {signalAt: time.Second, endAt: time.Second + grace - needed},
		"it has begun before":       {signalAt: time.Second, waitAt: 2 * time.Second, endAt: time.Second + grace - needed},
		"the latest start is over":  {signalAt: time.Second, waitAt: 5 * time.Second, endAt: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s Shutdown
				start := time.Now()
				if tc.signalAt > 0 {
					time.AfterFunc(tc.signalAt, func() { s.Begin(time.Now().Add(grace)) })
				}
				time.Sleep(tc.waitAt)
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				ctx, release := s.Context(ctx, func(end time.Time) time.Time { return end.Add(-needed) })
				defer release()
				<-ctx.Done()
				if tc.endAt == 0 {
					assert.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
					return
				}
				assert.ErrorIs(t, context.Cause(ctx), ErrStopping)
				assert.Equal(t, time.Since(start), tc.endAt)
			})
		})
	}
}
