package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestPace guards against a stream whose time per token does not reach the load of its engine, or
// that counts its measurement of the engine that it left against the one at which it continues.
// Events of 4 tokens come each 30 ms, from 2 s on at another engine.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 4)
		var left ident.Server
		assertLoad := func(runs, micros int) {
			l := h.relay.Alloc.Load(h.runningServer())
			assert.Equal(t, l.PaceRuns, runs)
			assert.Equal(t, l.PaceMicros, micros)
		}
		after(110*time.Millisecond, func() { assertLoad(0, 0) })
		after(1900*time.Millisecond, func() { assertLoad(1, 7500) })
		after(2*time.Second, func() {
			left = h.runningServer()
			h.retireRunningServer()
		})
		after(2200*time.Millisecond, func() {
			assert.Assert(t, h.runningServer() != left)
			assertLoad(0, 0)
		})
		after(2900*time.Millisecond, func() { assertLoad(1, 7500) })
		c, r := h.serve(context.Background(), "/long/x")
		assertComplete(t, c, r, 100)
		for _, l := range h.relay.Alloc.Local() {
			assert.Equal(t, l.PaceRuns, 0, "after the end")
		}
	})
}

// TestResumedBacklog guards against a resumed stream that counts as prefill backlog of its engine
// until it ends, so that the engine refuses other prompts.
func TestResumedBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		var left ident.Server
		after(time.Second, func() {
			left = h.runningServer()
			h.engines.crash(left)
		})
		after(1400*time.Millisecond, func() {
			id := h.runningServer()
			assert.Assert(t, id != "" && id != left)
			assert.Equal(t, h.relay.Alloc.Load(id).Backlog, 0)
		})
		c, r := h.serve(t.Context(), "/short/x")
		assertComplete(t, c, r, h.engines.events)
	})
}
