package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/refuse"
	"umberladder/internal/route/port"
	"umberladder/internal/route/stream"
	"umberladder/internal/route/task"
	"umberladder/internal/route/whole"
	"umberladder/internal/state/routes"
)

const (
	// lookTime bounds the reading of newer settings for a call that those in
	// force refuse.
	lookTime = 400 * time.Millisecond
	// lookAge is the age of settings up to which they refuse a call for good, so that
	// not each such call has them read: a change has 2 s to come into force.
	lookAge = 1300 * time.Millisecond
	// staleMargin is kept from the bound on revoked keys: the clocks' rates and
	// the time to answer are well inside it.
	staleMargin = 300 * time.Millisecond
	// behindMargin is kept from the bound on changes: VMs tell one another of a
	// version twice a second, and some messages are lost.
	behindMargin = 700 * time.Millisecond
	// settingsRetry is when a call refused for missing or stale settings should
	// come back: another VM is likely to know better.
	settingsRetry = 200 * time.Millisecond
	// stopRetry is when a call refused by a VM that stops should come back.
	stopRetry = 20 * time.Millisecond
	// tokenTime is what a token of a stream takes at most at an engine that is not
	// overloaded.
	tokenTime = 10 * time.Millisecond
)

// Relay serves calls. It is safe for use by several goroutines.
type Relay struct {
	task.Parts
	stop atomic.Int64 // when the VM ends, in Unix nanoseconds; zero: not stopping
}

// New makes a relay.
func New(p task.Parts) *Relay { return &Relay{Parts: p} }

// Stop makes the relay refuse what would not be served whole by end.
func (r *Relay) Stop(end time.Time) { r.stop.Store(end.UnixNano()) }

// stopping refuses a call that would be cut off by the end of this VM. Another
// VM can serve it: it has not run.
func (t *entrant) stopping() *refuse.Refusal {
	ns := t.relay.stop.Load()
	if ns == 0 {
		return nil
	}
	left := time.Until(time.Unix(0, ns))
	need := t.Route.Target
	if p := t.Call.Prompt; p != nil {
		need += time.Duration(p.Limit) * tokenTime
	}
	if need < left {
		return nil
	}
	return refuse.New(refuse.VMStopping, "this VM ends in %s, and the call may take %s", left.Round(time.Millisecond), need).After(stopRetry)
}

// entrant is one call that is being let in.
type entrant struct {
	*task.Task
	relay *Relay
}

// Serve takes the call to its end. It returns a refusal that is still to be
// written, or nil if the answer was written or broken off.
func (r *Relay) Serve(ctx context.Context, c *call.Call, w port.Reply) *refuse.Refusal {
	t := &entrant{relay: r, Task: &task.Task{Parts: r.Parts, Call: c, Reply: w, Record: task.End{Call: c}}}
	refusal := t.admit(ctx)
	if refusal == nil {
		refusal = t.run(ctx)
	}
	t.finish(refusal)
	if w.Begun() {
		return nil
	}
	return refusal
}

func (t *entrant) run(ctx context.Context) *refuse.Refusal {
	ctx, cancel := context.WithDeadlineCause(ctx, t.End, task.ErrTimeout)
	defer cancel()
	t.Budget.Earn(t.Service.Name, time.Now())
	if t.Route.Kind == call.Stream {
		return stream.Serve(ctx, t.Task)
	}
	return whole.Serve(ctx, t.Task)
}

func (t *entrant) finish(r *refuse.Refusal) {
	t.Record.Refusal = r
	if r != nil && !t.Reply.Begun() {
		r.Request = t.Call.ID
		t.Record.Status = r.Reason.Status()
	}
	t.Record.Route = t.Route
	t.Record.Total = time.Since(t.Call.Arrived)
	if r != nil {
		t.Tell()
	}
	t.Count.Ended(&t.Record)
}

// admit finds the route, the workspace and the service in one snapshot.
func (t *entrant) admit(ctx context.Context) *refuse.Refusal {
	refusal := t.find()
	for n := 0; n < 2 && refusal != nil && unsure(refusal) && t.older(); n++ {
		// A refusal for good must not come from settings older than the call.
		if err := t.Refresh.Refresh(ctx, lookTime); err != nil {
			t.Log.Info("settings not read anew", zap.String("request", string(t.Call.ID)), zap.Error(err))
			break
		}
		refusal = t.find()
	}
	if refusal != nil && unsure(refusal) && t.older() {
		return refuse.New(refuse.SettingsStale, "%s, by settings known to be the newest %s ago",
			refusal.Detail, t.Settings.Age().Round(time.Millisecond)).After(settingsRetry)
	}
	return refusal
}

// unsure reports whether newer settings could allow what r refuses.
func unsure(r *refuse.Refusal) bool {
	return r.Reason == refuse.NotFound || r.Reason == refuse.WrongKey
}

// older reports whether the settings may be older than the call by more than
// the time in which a change need not be in force yet.
func (t *entrant) older() bool { return t.Settings.Fresh().Add(lookAge) < t.Call.Woken }

func (t *entrant) find() *refuse.Refusal {
	fresh := t.Settings.Fresh()
	snap := t.Settings.Load()
	if snap == nil {
		return refuse.New(refuse.SettingsMissing, "no settings have reached this VM").After(settingsRetry)
	}
	if refusal := t.superseded(snap); refusal != nil {
		return refusal
	}
	age := t.Clock().Sub(fresh)
	t.Record.Version, t.Record.Age = snap.Version, age
	route := snap.Find(t.Call.Host, t.Call.Path)
	if route == nil {
		return refuse.New(refuse.NotFound, "no route leads to %.100q at host %.60q", t.Call.Path, t.Call.Host)
	}
	t.Route = route
	if refusal := t.open(snap, age); refusal != nil {
		return refusal
	}
	t.Record.Fingerprint = t.Call.Fingerprint(t.Workspace)
	name := route.Pick(rand.Float64())
	if t.Service = snap.Service(name); t.Service == nil {
		return refuse.New(refuse.NoServer, "route %s leads to service %s, which the settings do not define", route.Name, name).After(task.RoomRetry)
	}
	t.Record.Service = name
	if refusal := t.stopping(); refusal != nil {
		return refusal
	}
	if refusal := t.Quarantined(); refusal != nil {
		return refusal
	}
	t.End = t.Call.Arrived.Add(route.Timeout)
	if p := t.Call.Patience; p > 0 && p < route.Timeout {
		t.End = t.Call.Arrived.Add(p)
	}
	return nil
}

// superseded refuses what would be served by settings that are known to be old. A
// VM that can't get newer ones must not go on by those that it has.
func (t *entrant) superseded(snap *routes.Snapshot) *refuse.Refusal {
	behind := t.Settings.Behind()
	if behind <= t.Config.Apply()-behindMargin {
		return nil
	}
	return refuse.New(refuse.SettingsStale, "version %d of the settings has been known for %s, and this VM has version %d only",
		t.Settings.Known(), behind.Round(time.Millisecond), snap.Version).After(settingsRetry)
}

// open checks the API key.
func (t *entrant) open(snap *routes.Snapshot, age time.Duration) *refuse.Refusal {
	if !snap.Keyed(t.Route) {
		return nil
	}
	if bound := t.Config.Revoke(); age > bound-staleMargin {
		return refuse.New(refuse.SettingsStale, "the settings were known to be the newest %s ago, and keys may be served for %s",
			age.Round(time.Millisecond), bound).After(settingsRetry)
	}
	holder := snap.Holder(t.Call.Key)
	if holder == nil {
		return refuse.New(refuse.WrongKey, "no workspace holds the API key of the call, by settings of version %d", snap.Version)
	}
	t.Workspace = holder.Name
	return nil
}
