package wire

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
)

// TestFinding guards against findings that are lost or changed by the encoding. Points in
// time are sent as ages, so that they arrive later by the time in transit, here 300 ms.
func TestFinding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		list := []poison.Finding{
			{Request: 1 << 63, Crashes: map[ident.Server]time.Time{"a": now, "b": now.Add(-time.Minute)}, Quarantined: now.Add(-time.Second)},
			{Request: 2, Crashes: map[ident.Server]time.Time{}, Cleared: now.Add(-5 * time.Millisecond)},
		}
		b := (&Message{VM: "vm", Findings: list}).Encode()
		const passed = 300 * time.Millisecond
		time.Sleep(passed)
		m, err := Decode(b)
		assert.NilError(t, err)
		for i := range list {
			assert.Equal(t, m.Findings[i].Request, list[i].Request)
			assert.Equal(t, len(m.Findings[i].Crashes), len(list[i].Crashes))
			for id, at := range list[i].Crashes {
				assert.Assert(t, m.Findings[i].Crashes[id].Equal(at.Add(passed)))
			}
			assert.Equal(t, m.Findings[i].Cleared.IsZero(), list[i].Cleared.IsZero())
			assert.Equal(t, m.Findings[i].Quarantined.IsZero(), list[i].Quarantined.IsZero())
		}
	})
}
