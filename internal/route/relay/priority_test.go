package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/state/routes"
)

// withPriority returns settings with a route of priority 3 for each kind of call, and a workspace
// that states the given priority, or none.
func withPriority(version uint64, workspace *int) *routes.Snapshot {
	route := func(prefix string, kind call.Kind) *routes.Route {
		return &routes.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 39 * time.Second, LatencyTarget: time.Second, Priority: 3,
			MaxAttempts: 1, Shares: []routes.Share{{Service: "engines", Weight: 1}},
		}
	}
	return routes.New(routes.Parts{
		Version:    version,
		Routes:     []*routes.Route{route("/long/", call.Stream), route("/once/", call.AtMostOnce)},
		Services:   []*routes.Service{{Name: "engines", Engine: &routes.Engine{Slots: 24, KVCapacityTokens: 34_000, TokensPerEvent: 4}}},
		Workspaces: []*routes.Workspace{{Name: "team", Keys: []string{"key"}, Priority: workspace}},
	})
}

// TestPriority guards against placement requests that have the priority of the route although the
// workspace states one, that take an absent one for the most urgent, and that keep the priority of
// settings no longer in force while they are queued.
func TestPriority(t *testing.T) {
	ranks := func(t *testing.T, path string, workspace *int) (placed, changed int) {
		t.Helper()
		withHarness(t, 1, func(t *testing.T, h *harness) {
			h.settings.Update(withPriority(2, workspace), h.clock())
			if path == "/once/x" {
				h.engines.respond["s0"] = respondOK
				h.relay.Reject.Observe("engines", 5, time.Now(), time.Now()) // plain calls are placed only at brittle servers
			}
			_, refusal := h.serve(t.Context(), path)
			assert.Assert(t, refusal == nil, "%v", refusal)
			five := 5
			h.settings.Update(withPriority(3, &five), h.clock())
			placed, changed = h.placer.requests[0].Rank, h.placer.requests[0].CurrentRank()
		})
		return placed, changed
	}
	for _, path := range []string{"/long/x", "/once/x"} {
		zero, one := 0, 1
		for want, stated := range map[int]*int{0: &zero, 1: &one, 3: nil} {
			placed, changed := ranks(t, path, stated)
			assert.Equal(t, placed, want, path)
			assert.Equal(t, changed, 5, path)
		}
	}
}
