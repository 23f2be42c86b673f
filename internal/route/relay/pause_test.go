package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/refuse"
	"umberladder/internal/route/port"
	"umberladder/internal/test/check"
)

// TestPauses has both servers of a service reject calls and ask for pauses: calls are
// refused at once until the shorter one is over, with the time that is left.
func TestPauses(t *testing.T) {
	for _, path := range []string{"/get/x", "/once/x", "/long/x", "/short/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const short, long = 2 * time.Second, 9 * time.Second
				w := newWorld(t, 2)
				asked := 0
				pause := func(d time.Duration) outcome {
					return func() (*port.Answer, error) {
						asked++
						return &port.Answer{Status: 503, NotRun: true, Pause: d, Body: &text{}}, nil
					}
				}
				w.engines.plain["s0"], w.engines.plain["s1"] = pause(short), pause(long)
				for range 4 { // until both have been asked
					w.serve(t.Context(), path)
				}
				assert.Equal(t, asked, 2)
				start := time.Now()
				_, r := w.serve(t.Context(), path)
				check.Refusal(t, r, refuse.NoServer, refuse.RanNo)
				assert.Equal(t, time.Since(start), time.Duration(0))
				assert.Assert(t, r.RetryAfter > short-time.Second && r.RetryAfter <= short, "%s", r.RetryAfter)
				assert.Equal(t, asked, 2)
				time.Sleep(short)
				w.serve(t.Context(), path)
				assert.Equal(t, asked, 3, "the first pause is over")
			})
		})
	}
}
