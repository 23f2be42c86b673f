package task

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/pick"
)

// SetShare states in a placement request whose share of the capacity the call uses. Without
// workspaces in the settings it states nothing.
func (t *Task) SetShare(r *pick.Request) {
	if snap := t.Settings.Load(); snap == nil || !snap.HasWorkspaces() {
		return
	}
	r.Workspace, r.Subject, r.Weight = t.Workspace, t.subject(), t.weight()
}

// weight returns the weight of the call's workspace in thousandths, at least 1.
func (t *Task) weight() int {
	if t.Config.WorkspaceWeight == nil {
		return pick.WeightUnit
	}
	return int(max(1, min(math.Round(pick.WeightUnit*t.Config.WorkspaceWeight(t.Workspace)), math.MaxInt32)))
}

// subject returns what identifies the call among those of its workspace: the first part of its
// prompt that other requests may share or, if there is none, its API key. It is a hash because
// it leaves this VM.
func (t *Task) subject() uint64 {
	if parts := t.Call.SharedParts(); len(parts) > 0 {
		return uint64(t.Call.PartFingerprints(ident.Service(t.Workspace))[0])
	}
	return xxhash.Sum64String(string(t.Workspace) + "\xff" + t.Call.APIKey)
}

// ShareDetail returns the part of a refusal for lack of capacity that says what the call's
// workspace got, if the coordinator knows. It is empty for calls of public routes.
func (t *Task) ShareDetail(e *pick.NoCapacityError) string {
	if t.Workspace == "" {
		return ""
	}
	detail := fmt.Sprintf("; the call has priority %d", t.Priority())
	if e.Share > 0 || e.OwnAhead > 0 {
		detail += fmt.Sprintf(", workspace %s got %.1f%% of what was granted recently and has %d calls that wait",
			t.Workspace, float64(e.Share)/(pick.WeightUnit/100), e.OwnAhead)
	}
	return detail
}
