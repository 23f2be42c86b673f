package timing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestStatus guards against a status that shows other weights than those by which servers are
// chosen, that changes them, or that logs changes.
func TestStatus(t *testing.T) {
	list := []ident.Server{"x", "y", "z"}
	tracker := New(func(Change) { t.Error("a status reports no change") })
	for _, id := range list[:2] {
		observe(tracker, id, 40, 10*time.Millisecond, start)
	}
	observe(tracker, "z", 40, 60*time.Millisecond, start)
	tracker.HandleReport("b", map[ident.Server]Stats{"z": {Responses: 2, Time: 120 * time.Millisecond, InFlight: 3}}, start)
	own := func(id ident.Server) int { return len(id) }
	got, median := tracker.Status("s", list, own, start)
	assert.Equal(t, len(tracker.services), 0)
	assert.Equal(t, median, 10*time.Millisecond)
	assert.DeepEqual(t, got[0], ServerStatus{Server: "x", Mean: 10 * time.Millisecond, Weight: 1, InFlight: 1})
	assert.Equal(t, got[2].InFlight, 4)
	tracker.changed = func(Change) {}
	for i, a := range tracker.Assess("s", list, nil, start) {
		assert.DeepEqual(t, ServerStatus{Server: list[i], Mean: a.Mean, Weight: a.Weight, Slow: a.Slow, InFlight: got[i].InFlight}, got[i])
	}
	assert.Assert(t, got[2].Slow)
	later := start.Add(2 * time.Second) // the window has no calls, and the means fade
	got, _ = tracker.Status("s", list, own, later)
	assert.Equal(t, got[2].Weight, tracker.Assess("s", list, nil, later)[2].Weight)
}
