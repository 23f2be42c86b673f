package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/port"
	"umberladder/internal/route/stream"
	"umberladder/internal/route/task"
	"umberladder/internal/route/unary"
	"umberladder/internal/state/routes"
)

const (
	// refreshTimeout bounds the refresh of the settings for a call that the
	// settings in force refuse.
	refreshTimeout = 400 * time.Millisecond
	// maxRefusalAge is the age of the settings up to which a refusal based on them
	// is final. It limits refreshes: a change has 2 s to come into force, so not
	// every refused call needs one.
	maxRefusalAge = 1300 * time.Millisecond
	// revokeMargin is subtracted from the time for which a revoked key may still be
	// served. It covers clock drift and the time to respond.
	revokeMargin = 300 * time.Millisecond
	// applyMargin is subtracted from the time in which a change of the settings has
	// to be in force: VMs announce versions to each other twice a second, and some
	// messages are lost.
	applyMargin = 700 * time.Millisecond
	// settingsRetryAfter is the retry delay of calls refused for missing or stale
	// settings: another VM is likely to have current ones.
	settingsRetryAfter = 200 * time.Millisecond
	// startupTime is how long after its start a VM may lack settings and servers because
	// all VMs have started at once. A single VM that starts gets no calls before it has both.
	startupTime = 2 * time.Second
	// startupWait is how long a call waits for them at most, and startupPollInterval how
	// often they are looked for. Clients of a fleet that was lost have few retries left.
	startupWait         = 500 * time.Millisecond
	startupPollInterval = 10 * time.Millisecond
)

// Relay serves the calls of clients. It is safe for concurrent use.
type Relay struct {
	task.Deps
	startedAt time.Time
}

// New returns a Relay with the given dependencies.
func New(d task.Deps) *Relay { return &Relay{Deps: d, startedAt: time.Now()} }

// awaitStartup waits until a VM that has just started has settings and servers, for a
// limited time.
func (r *Relay) awaitStartup(ctx context.Context) {
	for waited := time.Duration(0); waited < startupWait; waited += startupPollInterval {
		complete := r.Settings.Load() != nil && r.Servers.View().Len() > 0
		if complete || time.Since(r.startedAt) > startupTime || ctx.Err() != nil {
			return
		}
		retry.Sleep(ctx, startupPollInterval)
	}
}

// Drain makes the relay refuse calls that are not expected to complete by end,
// the time at which the VM shuts down, also those that wait for capacity.
func (r *Relay) Drain(end time.Time) { r.Stop.Begin(end) }

// admission resolves and serves one call.
type admission struct {
	*task.Task
	relay *Relay
}

// Serve serves the call c and writes the response to w. It returns the refusal to
// write to the client, or nil if a response was written, even in part.
func (r *Relay) Serve(ctx context.Context, c *call.Call, w port.ResponseWriter) *refuse.Refusal {
	a := &admission{relay: r, Task: &task.Task{Deps: r.Deps, Call: c, Writer: w, Result: task.Result{Call: c}}}
	defer a.ReleaseResponse()
	r.awaitStartup(ctx)
	refusal := a.admit(ctx)
	if refusal == nil {
		refusal = a.serve(ctx)
	}
	a.recordEnd(refusal)
	if w.Started() {
		return nil
	}
	return refusal
}

// serve sends the admitted call to a backend server.
func (a *admission) serve(ctx context.Context) *refuse.Refusal {
	ctx, cancel := context.WithDeadlineCause(ctx, a.Deadline, task.ErrTimeout)
	defer cancel()
	a.Budget.RecordFirstAttempt(a.Service.Name, time.Now())
	if a.Route.Kind == call.Stream {
		return stream.Serve(ctx, a.Task)
	}
	return unary.Serve(ctx, a.Task)
}

// recordEnd completes the call's result and passes it to the recorder. For a
// refused call it also writes the log lines that were deferred.
func (a *admission) recordEnd(r *refuse.Refusal) {
	a.Result.Refusal = r
	if r != nil && !a.Writer.Started() {
		r.Request = a.Call.ID
		a.Result.Status = r.Reason.Status()
	}
	a.Result.Route = a.Route
	a.Result.Total = time.Since(a.Call.Arrived)
	if a.Result.Attempts > 0 {
		a.Durations.Observe(a.Route.Name, a.Result.Total-a.Result.QueueTime, time.Now())
	}
	if r != nil {
		a.FlushDeferred()
	}
	a.Recorder.RecordResult(&a.Result)
}

// admit resolves the call's route, workspace and service. If the settings in
// force refuse the call and are too old for that to be final, it refreshes them
// and tries again.
func (a *admission) admit(ctx context.Context) *refuse.Refusal {
	refusal := a.resolve()
	for n := 0; n < 2 && refusal != nil && dependsOnSettings(refusal) && a.settingsOutdated(); n++ {
		// Settings older than the call must not cause a final refusal.
		if err := a.Refresher.Refresh(ctx, refreshTimeout); err != nil {
			a.Log.Info("settings not read anew", zap.String("request", string(a.Call.ID)), zap.Error(err))
			break
		}
		refusal = a.resolve()
	}
	if refusal != nil && dependsOnSettings(refusal) && a.settingsOutdated() {
		return refuse.New(refuse.SettingsStale, "%s, by settings known to be the newest %s ago",
			refusal.Detail, a.Settings.Age().Round(time.Millisecond)).WithRetryAfter(settingsRetryAfter)
	}
	return refusal
}

// dependsOnSettings reports whether newer settings could allow the call that r
// refuses.
func dependsOnSettings(r *refuse.Refusal) bool {
	return r.Reason == refuse.NotFound || r.Reason == refuse.WrongKey
}

// settingsOutdated reports whether the settings were last known to be the newest
// more than maxRefusalAge before the call arrived.
func (a *admission) settingsOutdated() bool {
	return a.Settings.FreshAt().Add(maxRefusalAge) < a.Call.ArrivedUptime
}

// resolve looks up the call's route, workspace and service in one snapshot of the
// settings and sets its deadline.
func (a *admission) resolve() *refuse.Refusal {
	fresh := a.Settings.FreshAt()
	snap := a.Settings.Load()
	if snap == nil {
		return refuse.New(refuse.SettingsMissing, "no settings have reached this VM").WithRetryAfter(settingsRetryAfter)
	}
	if refusal := a.checkSuperseded(snap); refusal != nil {
		return refusal
	}
	age := a.Clock().Sub(fresh)
	a.Result.SettingsVersion, a.Result.SettingsAge = snap.Version, age
	route := snap.Find(a.Call.Host, a.Call.Path)
	if route == nil {
		return refuse.New(refuse.NotFound, "no route leads to %.100q at host %.60q", a.Call.Path, a.Call.Host)
	}
	a.Route = route
	if refusal := a.authenticate(snap, age); refusal != nil {
		return refusal
	}
	a.Result.Fingerprint = a.Call.Fingerprint(a.Workspace)
	name := route.PickService(rand.Float64())
	if a.Service = snap.Service(name); a.Service == nil {
		return refuse.New(refuse.NoServer, "route %s leads to service %s, which the settings do not define", route.Name, name).WithRetryAfter(task.NoServerRetryAfter)
	}
	a.Result.Service = name
	a.IdentifySuspects()
	if refusal := a.RegionRefusal(); refusal != nil {
		return refusal
	}
	a.Deadline = a.Call.Arrived.Add(route.Timeout)
	if p := a.Call.ClientTimeout; p > 0 && p < route.Timeout {
		a.Deadline = a.Call.Arrived.Add(p)
	}
	if refusal := a.StopRefusal(); refusal != nil {
		return refusal
	}
	return a.QuarantineRefusal()
}

// checkSuperseded refuses calls once a newer version of the settings has been
// known for too long. A VM that cannot fetch it must not keep serving by the
// version that it has.
func (a *admission) checkSuperseded(snap *routes.Snapshot) *refuse.Refusal {
	behind := a.Settings.BehindFor()
	if behind <= a.Config.ApplyDelay()-applyMargin {
		return nil
	}
	return refuse.New(refuse.SettingsStale, "version %d of the settings has been known for %s, and this VM has version %d only",
		a.Settings.KnownVersion(), behind.Round(time.Millisecond), snap.Version).WithRetryAfter(settingsRetryAfter)
}

// authenticate checks the API key, if the route requires one, and sets the call's
// workspace. It refuses the call if the settings are too old to tell whether the
// key was revoked.
func (a *admission) authenticate(snap *routes.Snapshot, age time.Duration) *refuse.Refusal {
	if !snap.RequiresKey(a.Route) {
		return nil
	}
	if bound := a.Config.RevokeDelay(); age > bound-revokeMargin {
		return refuse.New(refuse.SettingsStale, "the settings were known to be the newest %s ago, and keys may be served for %s",
			age.Round(time.Millisecond), bound).WithRetryAfter(settingsRetryAfter)
	}
	workspace := snap.WorkspaceByKey(a.Call.APIKey)
	if workspace == nil {
		return refuse.New(refuse.WrongKey, "no workspace holds the API key of the call, by settings of version %d", snap.Version)
	}
	a.BindWorkspace(workspace)
	return nil
}
