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
			{Suspect: poison.Suspect{ID: 1 << 63, Depth: poison.WholeRequest}, Crashes: map[ident.Server]time.Time{"a": now, "b": now.Add(-time.Minute)}, Quarantined: now.Add(-time.Second)},
			{Suspect: poison.Suspect{ID: 2, Depth: 1}, Passes: map[ident.Server]time.Time{"a": now.Add(-time.Second)}, Released: now.Add(-5 * time.Millisecond)},
		}
		b := (&Message{VM: "vm", Findings: list}).Encode()
		const passed = 300 * time.Millisecond
		time.Sleep(passed)
		m, err := Decode(b)
		assert.NilError(t, err)
		for i := range list {
			assert.Equal(t, m.Findings[i].Suspect, list[i].Suspect)
			assertLater(t, m.Findings[i].Crashes, list[i].Crashes, passed)
			assertLater(t, m.Findings[i].Passes, list[i].Passes, passed)
			assert.Equal(t, m.Findings[i].Released.IsZero(), list[i].Released.IsZero())
			assert.Equal(t, m.Findings[i].Quarantined.IsZero(), list[i].Quarantined.IsZero())
		}
	})
}

// assertLater fails the test unless got holds the entries of want, each later by d.
func assertLater(t *testing.T, got, want map[ident.Server]time.Time, d time.Duration) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for id, at := range want {
		assert.Assert(t, got[id].Equal(at.Add(d)))
	}
}
