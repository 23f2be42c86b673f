package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/refuse"
	"umberladder/internal/state/routes"
)

// TestStartup guards against refusing calls that can be served a moment later. After the
// loss of all VMs, clients reach VMs that have no settings or servers yet, and many have used
// up their retries.
func TestStartup(t *testing.T) {
	start := func(t *testing.T, f func(t *testing.T, h *harness)) {
		withHarness(t, 0, func(t *testing.T, h *harness) {
			h.settings = routes.NewCurrent(h.clock)
			h.relay.Settings = h.settings
			f(t, h)
		})
	}
	addAll := func(h *harness) {
		h.table.Put(serverEntry(0))
		h.settings.Update(snapshot(1), h.clock())
	}
	t.Run("a call waits for settings and servers", func(t *testing.T) {
		start(t, func(t *testing.T, h *harness) {
			after(300*time.Millisecond, func() { addAll(h) })
			_, refusal := h.serve(t.Context(), "/long/x")
			assert.Assert(t, refusal == nil, "%v", refusal)
		})
	})
	t.Run("the wait is limited", func(t *testing.T) {
		start(t, func(t *testing.T, h *harness) {
			at := time.Now()
			_, refusal := h.serve(t.Context(), "/long/x")
			assert.Equal(t, refusal.Reason, refuse.SettingsMissing)
			assert.Equal(t, time.Since(at), startupWait)
		})
	})
	t.Run("later calls are refused at once", func(t *testing.T) {
		start(t, func(t *testing.T, h *harness) {
			time.Sleep(startupTime + time.Millisecond)
			at := time.Now()
			_, refusal := h.serve(t.Context(), "/long/x")
			assert.Equal(t, refusal.Reason, refuse.SettingsMissing)
			assert.Equal(t, time.Since(at), time.Duration(0))
		})
	})
}
