package task

import (
	"slices"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/state/routes"
)

// bounds returns the lists of regions to which the call is bound, by the settings in force.
// They may change while a stream runs. A route or workspace that has been removed from the
// settings keeps its last list.
func (t *Task) bounds() [][]ident.Region {
	route, workspace := t.Route, t.boundWorkspace
	if snap := t.Settings.Load(); snap != nil {
		if !snap.IsRegionBound() {
			return nil
		}
		if r := snap.Find(t.Call.Host, t.Call.Path); r != nil {
			route = r
		}
		if w := snap.WorkspaceByKey(t.Call.APIKey); w != nil && w.Name == t.Workspace {
			workspace = w
		}
	}
	out := [][]ident.Region{route.Regions}
	if workspace != nil {
		out = append(out, workspace.Regions)
	}
	return out
}

// BindWorkspace sets the workspace whose key the call has.
func (t *Task) BindWorkspace(w *routes.Workspace) { t.Workspace, t.boundWorkspace = w.Name, w }

// isBound reports whether the call may run only in some regions.
func (t *Task) isBound() bool {
	return slices.ContainsFunc(t.bounds(), func(list []ident.Region) bool { return len(list) > 0 })
}

// MayRunIn reports whether the call may run in a failure domain. Where both the route and
// the workspace are bound to regions, both must allow it.
func (t *Task) MayRunIn(d ident.FailureDomain) bool {
	region := t.Config.Regions[d]
	for _, list := range t.bounds() {
		if len(list) > 0 && !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// AllowedDomains returns the failure domains in which the call may run; nil: in all.
func (t *Task) AllowedDomains() []ident.FailureDomain {
	if !t.isBound() {
		return nil
	}
	var out []ident.FailureDomain
	for d := range t.Config.Regions {
		if t.MayRunIn(d) {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// RegionRefusal returns the refusal of a call that may run in no failure domain, or nil.
func (t *Task) RegionRefusal() *refuse.Refusal {
	if !t.isBound() || len(t.AllowedDomains()) > 0 {
		return nil
	}
	return refuse.New(refuse.NoServer, "route %s and workspace %s are bound to regions %v, which have no failure domain in common",
		t.Route.Name, t.Workspace, t.bounds()).WithRetryAfter(regionRetryAfter)
}
