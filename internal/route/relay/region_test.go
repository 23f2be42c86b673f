package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// bound returns settings with one route and one workspace that are bound to regions.
func bound(version uint64, route, workspace []ident.Region) *routes.Snapshot {
	return routes.New(routes.Parts{
		Version: version,
		Routes: []*routes.Route{{
			Name: "r", Host: "h", Prefix: "/long/", Kind: call.Stream, Timeout: 39 * time.Second, LatencyTarget: time.Second,
			MaxAttempts: 1, Shares: []routes.Share{{Service: "engines", Weight: 1}}, Regions: route,
		}},
		Services:   []*routes.Service{{Name: "engines", Engine: &routes.Engine{Slots: 24, KVCapacityTokens: 34_000, TokensPerEvent: 4, CanMigrate: true}}},
		Workspaces: []*routes.Workspace{{Name: "team", Keys: []string{"key"}, Regions: workspace}},
	})
}

// withHarness runs f with a harness in virtual time.
func withHarness(t *testing.T, servers int, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, newHarness(t, servers)) })
}

// TestRegions guards against calls that reach a server outside of the regions to which their
// route and workspace are bound. Failure domains a and b lie in the region north, c in south.
func TestRegions(t *testing.T) {
	serve := func(t *testing.T, route, workspace []ident.Region) ([]string, *refuse.Refusal) {
		var started []string
		var refusal *refuse.Refusal
		withHarness(t, 0, func(t *testing.T, h *harness) {
			for i, d := range []ident.FailureDomain{"a", "b", "c"} {
				e := serverEntry(i)
				e.Domain = d
				h.table.Put(e)
			}
			h.settings.Update(bound(2, route, workspace), h.clock())
			start := time.Now()
			if _, refusal = h.serve(t.Context(), "/long/x"); refusal != nil {
				assert.Equal(t, time.Since(start), time.Duration(0), "refused at once")
			}
			started = h.engines.started
		})
		return started, refusal
	}
	assertOnly := func(t *testing.T, started []string, want ...string) {
		t.Helper()
		assert.Assert(t, len(started) > 0)
		for _, s := range started {
			ok := false
			for _, w := range want {
				ok = ok || s == w
			}
			assert.Assert(t, ok, "%v, want only %v", started, want)
		}
	}
	t.Run("of the route", func(t *testing.T) {
		started, refusal := serve(t, []ident.Region{"south"}, nil)
		assert.Assert(t, refusal == nil)
		assertOnly(t, started, "s2")
	})
	t.Run("of the workspace", func(t *testing.T) {
		started, refusal := serve(t, nil, []ident.Region{"north", "east"})
		assert.Assert(t, refusal == nil)
		assertOnly(t, started, "s0", "s1")
	})
	for name, regions := range map[string][2][]ident.Region{
		"that contradict one another": {{"south"}, {"north"}},
		"that are unknown":            {{"east"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			started, refusal := serve(t, regions[0], regions[1])
			assert.Equal(t, len(started), 0)
			assert.Equal(t, refusal.Reason, refuse.NoServer)
			assert.Equal(t, refusal.Ran, refuse.RanNo)
			assert.Assert(t, refusal.RetryAfter > 0)
		})
	}
	t.Run("that change while a stream runs", func(t *testing.T) {
		withHarness(t, 0, func(t *testing.T, h *harness) {
			for i, d := range []ident.FailureDomain{"a", "c"} {
				e := serverEntry(i)
				e.Domain = d
				h.table.Put(e)
			}
			h.settings.Update(bound(2, []ident.Region{"north"}, nil), h.clock())
			time.AfterFunc(500*time.Millisecond, func() { h.settings.Update(bound(3, []ident.Region{"south"}, nil), h.clock()) })
			time.AfterFunc(time.Second, func() {
				e := serverEntry(0)
				e.Domain, e.Draining = "a", true
				h.table.Put(e)
			})
			_, refusal := h.serve(t.Context(), "/long/x")
			assert.Assert(t, refusal == nil)
			assertOnly(t, h.engines.continued, "s1")
		})
	})
}

// TestNoLongerAccepted guards against a call that is sent to a server that was chosen before
// it stopped accepting work.
func TestNoLongerAccepted(t *testing.T) {
	withHarness(t, 2, func(t *testing.T, h *harness) {
		h.table.ApplyEvacuations(srvtab.NewEvacuations(5, []ident.FailureDomain{"a"}))
		start := time.Now()
		_, refusal := h.serve(t.Context(), "/long/x")
		assert.Equal(t, refusal.Reason, refuse.NoServer)
		assert.Equal(t, refusal.Ran, refuse.RanNo)
		assert.Equal(t, time.Since(start), time.Duration(0), "refused at once")
		assert.Equal(t, refusal.RetryAfter, 2*time.Second)
		assert.Equal(t, len(h.engines.started), 0)
	})
}
