package task

import "umberladder/internal/state/routes"

// workspaceInForce returns the settings of the call's workspace, or nil if the route is public.
// They may change while the call waits or runs. A workspace that has been removed from the
// settings, or no longer holds the key, keeps its last settings.
func (t *Task) workspaceInForce() *routes.Workspace {
	if t.boundWorkspace == nil {
		return nil
	}
	if snap := t.Settings.Load(); snap != nil {
		if w := snap.WorkspaceByKey(t.Call.APIKey); w != nil && w.Name == t.Workspace {
			return w
		}
	}
	return t.boundWorkspace
}

// WorkspacePriority returns the priority that the call's workspace states, if it states one.
func (t *Task) WorkspacePriority() (priority int, stated bool) {
	if w := t.workspaceInForce(); w != nil && w.Priority != nil {
		return *w.Priority, true
	}
	return 0, false
}

// Priority returns the priority of the call; 0 is the most urgent. One that its workspace states
// replaces that of its route.
func (t *Task) Priority() int {
	if p, ok := t.WorkspacePriority(); ok {
		return p
	}
	return t.Route.Priority
}
