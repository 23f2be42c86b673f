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

// TestPauses has both servers of a service reject calls and request a pause. Until the
// shorter pause is over, calls must be refused immediately, with the remaining time as
// the retry delay.
func TestPauses(t *testing.T) {
	for _, path := range []string{"/get/x", "/once/x", "/long/x", "/short/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const short, long = 2 * time.Second, 9 * time.Second
				h := newHarness(t, 2)
				attempts := 0
				pause := func(d time.Duration) respondFunc {
					return func() (*port.Response, error) {
						attempts++
						return &port.Response{Status: 503, NotExecuted: true, Pause: d, Body: &textBody{}}, nil
					}
				}
				h.engines.respond["s0"], h.engines.respond["s1"] = pause(short), pause(long)
				for range 4 { // until both servers have received a call
					h.serve(t.Context(), path)
				}
				assert.Equal(t, attempts, 2)
				start := time.Now()
				_, r := h.serve(t.Context(), path)
				check.Refusal(t, r, refuse.NoServer, refuse.RanNo)
				assert.Equal(t, time.Since(start), time.Duration(0))
				assert.Assert(t, r.RetryAfter > short-time.Second && r.RetryAfter <= short, "%s", r.RetryAfter)
				assert.Equal(t, attempts, 2)
				time.Sleep(short)
				h.serve(t.Context(), path)
				assert.Equal(t, attempts, 3, "the first pause is over")
			})
		})
	}
}
