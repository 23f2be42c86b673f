package task

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/state/routes"
)

// TestRetryUnsent simulates an outage of the store in which the termination of many
// engines goes unnoticed: connections to them are refused at once, or time out.
func TestRetryUnsent(t *testing.T) {
	for name, tc := range map[string]struct {
		failAfter time.Duration // how long a connection takes to fail
		want      int           // unreachable servers that are tried
	}{
		"refused at once": {failAfter: 3 * time.Millisecond, want: maxUnsent},
		"no response":     {failAfter: 400 * time.Millisecond, want: alwaysRetryUnsent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &Task{Call: &call.Call{Arrived: time.Now()}, Route: &routes.Route{LatencyTarget: 1500 * time.Millisecond}}
				unsent := 0
				for more := true; more; more = c.RetryUnsent(unsent) {
					time.Sleep(tc.failAfter)
					unsent++
				}
				assert.Equal(t, unsent, tc.want)
			})
		})
	}
}
