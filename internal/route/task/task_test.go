package task

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/state/routes"
)

// TestPassOver replays an outage of the store in which many engines are gone
// unnoticed: connections to them are refused at once, or not answered.
func TestPassOver(t *testing.T) {
	for name, tc := range map[string]struct {
		each time.Duration // that a connection takes to fail
		want int           // servers that are passed over
	}{
		"refused at once": {each: 3 * time.Millisecond, want: mostUnsent},
		"not answered":    {each: 400 * time.Millisecond, want: patientUnsent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &Task{Call: &call.Call{Arrived: time.Now()}, Route: &routes.Route{Target: 1500 * time.Millisecond}}
				unsent := 0
				for more := true; more; more = c.PassOver(unsent) {
					time.Sleep(tc.each)
					unsent++
				}
				assert.Equal(t, unsent, tc.want)
			})
		})
	}
}
