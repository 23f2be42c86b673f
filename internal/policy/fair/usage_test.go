package fair

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUsages guards against shares that don't add up to 1 if grants are recorded or shares are read
// out of order, as callers do that wait for a lock after they read the clock. The total decayed
// further than its parts, and the shares of two workspaces added up to 1.03.
func TestUsages(t *testing.T) {
	m, now := NewMeter[string](), time.Unix(1000, 0)
	for i, key := range []string{"a", "b"} {
		m.Demand(key, float64(i+1), now)
	}
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		m.Grant("a", 10, now)
		m.Grant("b", 10, now.Add(-40*time.Millisecond))
	}
	for name, at := range map[string]time.Time{"now": now, "before the latest grant": now.Add(-20 * time.Millisecond), "later": now.Add(time.Second)} {
		t.Run(name, func(t *testing.T) {
			total, due := 0.0, map[string]string{}
			for _, u := range m.Usages(at) {
				total += u.Share
				due[u.Key] = fmt.Sprintf("%.2f", u.Entitled)
				assert.Equal(t, u.Share, m.Share(u.Key, at))
				assert.Equal(t, u.Entitled, m.Entitled(u.Key))
			}
			assert.DeepEqual(t, due, map[string]string{"a": "0.33", "b": "0.67"})
			assert.Assert(t, total > 0.999 && total < 1.001, "shares add up to %.3f", total)
		})
	}
}
