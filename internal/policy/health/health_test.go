package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestFailingServerLosesWeight guards against a failing server keeping its weight, a healthy
// one losing it, and old failures counting for long.
func TestFailingServerLosesWeight(t *testing.T) {
	tracker, now := New(), time.Now()
	for range 10 {
		tracker.Failure("bad", now)
		tracker.Success("good", now)
	}
	assert.Assert(t, tracker.Weight("bad", now) < 0.2)
	assert.Equal(t, tracker.Weight("good", now), 1.0)
	assert.Equal(t, tracker.Weight("new", now), 1.0)
	assert.Assert(t, tracker.Weight("bad", now.Add(time.Minute)) > 0.7, "an old failure counts little")
	tracker.Retain(func(id ident.Server) bool { return id == "good" })
	assert.Equal(t, tracker.Weight("bad", now), 1.0)
}
