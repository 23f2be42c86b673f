package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestHealth has a server that fails half of its calls while others are sound.
func TestHealth(t *testing.T) {
	h, now := New(), time.Now()
	for range 10 {
		h.Failure("bad", now)
		h.Success("good", now)
	}
	assert.Assert(t, h.Weight("bad", now) < 0.2)
	assert.Equal(t, h.Weight("good", now), 1.0)
	assert.Equal(t, h.Weight("new", now), 1.0)
	assert.Assert(t, h.Weight("bad", now.Add(time.Minute)) > 0.7, "an old failure counts little")
	h.Keep(func(id ident.Server) bool { return id == "good" })
	assert.Equal(t, h.Weight("bad", now), 1.0)
}
