package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/route/pick"
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

// TestShare guards against placement requests that don't say whose share a call uses, and against
// shares where there are no workspaces.
func TestShare(t *testing.T) {
	request := func(t *testing.T, s *routes.Snapshot, change func(*call.Call)) pick.Request {
		t.Helper()
		var out pick.Request
		withHarness(t, 1, func(t *testing.T, h *harness) {
			h.settings.Update(s, h.clock())
			h.relay.Config.WorkspaceWeight = func(w ident.Workspace) float64 {
				assert.Equal(t, w, ident.Workspace("team"))
				return 2.5
			}
			c := h.call("/long/x")
			change(c)
			assert.Assert(t, h.relay.Serve(t.Context(), c, &client{}) == nil)
			assert.NilError(t, h.group.Wait())
			out = h.placer.requests[0]
		})
		return out
	}
	plain := request(t, withPriority(2, nil), func(*call.Call) {})
	assert.Equal(t, plain.Workspace, ident.Workspace("team"))
	assert.Equal(t, plain.Weight, 2500)
	shared := func(parts ...string) uint64 {
		return request(t, withPriority(2, nil), func(c *call.Call) {
			for _, p := range parts {
				c.PromptParts = append(c.PromptParts, call.Part{ID: p, Tokens: 100})
			}
		}).Subject
	}
	assert.Equal(t, shared("own"), plain.Subject, "a part that no other request shares")
	assert.Assert(t, shared("a", "own") != plain.Subject)
	assert.Equal(t, shared("a", "b", "own"), shared("a", "c", "other"))
	assert.Assert(t, shared("a", "own") != shared("b", "own"))
	s := routes.New(routes.Parts{
		Version: 2, Services: []*routes.Service{withPriority(2, nil).Service("engines")},
		Routes: []*routes.Route{withPriority(2, nil).Find("h", "/long/x")},
	})
	none := request(t, s, func(c *call.Call) { c.APIKey = "" })
	assert.DeepEqual(t, []any{none.Workspace, none.Subject, none.Weight}, []any{ident.Workspace(""), uint64(0), 0})
}

// TestUrgency guards against an urgency at engines that does not follow the priority of the
// workspace, and against one that is stated where the workspace states no priority or the
// settings do not ask for it.
func TestUrgency(t *testing.T) {
	preemption := true
	urgencies := func(t *testing.T, path string, workspace *int, retire bool) []int {
		t.Helper()
		var out []int
		withHarness(t, 2, func(t *testing.T, h *harness) {
			s := withPriority(2, workspace)
			s.Service("engines").Engine.CanMigrate = true
			h.preemption = preemption
			h.settings.Update(s, h.clock())
			if retire {
				time.AfterFunc(time.Second, h.retireRunningServer)
			}
			_, refusal := h.serve(t.Context(), path)
			assert.Assert(t, refusal == nil, "%v", refusal)
			for _, u := range h.engines.urgencies {
				if u == nil {
					out = append(out, -1)
				} else {
					out = append(out, *u)
				}
			}
		})
		return out
	}
	zero, two, many := 0, 2, 1<<60
	t.Run("stated", func(t *testing.T) {
		assert.DeepEqual(t, urgencies(t, "/long/x", &zero, false), []int{1})
		assert.DeepEqual(t, urgencies(t, "/long/x", &two, false), []int{5})
		assert.DeepEqual(t, urgencies(t, "/long/x", &many, false), []int{9})
	})
	t.Run("of a stream that continues", func(t *testing.T) {
		assert.DeepEqual(t, urgencies(t, "/long/x", &zero, true), []int{1, 0})
		assert.DeepEqual(t, urgencies(t, "/long/x", &two, true), []int{5, 4})
	})
	t.Run("absent", func(t *testing.T) {
		assert.DeepEqual(t, urgencies(t, "/long/x", nil, true), []int{-1, -1})
	})
	t.Run("not asked for", func(t *testing.T) {
		preemption = false
		assert.DeepEqual(t, urgencies(t, "/long/x", &zero, true), []int{-1, -1})
	})
}
