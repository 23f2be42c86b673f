package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/health"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/routes"
)

const (
	// lookTime bounds the reading of newer settings for a call that those in
	// force refuse.
	lookTime = 400 * time.Millisecond
	// lookAge is the age of settings up to which they refuse a call for good. A
	// change has 2 s to come into force; each reading for one call cost a store
	// call, 16,000 in 48 s at 62 VMs when a workspace lost its keys.
	lookAge = 1300 * time.Millisecond
	// staleMargin is kept from the bound on revoked keys: the clocks' rates and
	// the time to answer are well inside it.
	staleMargin = 300 * time.Millisecond
	// settingsRetry is when a call refused for missing or stale settings should
	// come back: another VM is likely to know better.
	settingsRetry = 200 * time.Millisecond
	// stopRetry is when a call refused by a VM that stops should come back.
	stopRetry = 20 * time.Millisecond
	// tokenTime is what a token of a stream takes at most at an engine that is not
	// overloaded: a step of 7 ms, and twice that while prompts are read.
	tokenTime = 10 * time.Millisecond
	// roomRetry is when a call refused for want of a server should come back.
	roomRetry = 500 * time.Millisecond
)

// Config is what varies between deployments.
type Config struct {
	Domain ident.Domain
	// Revoke returns how long after its end an API key may still be served.
	Revoke func() time.Duration
}

// Parts are what a relay is made of.
type Parts struct {
	Config   Config
	Settings *routes.Book
	Refresh  port.Refresher
	Servers  *backs.Table
	Seats    *seats.Book
	Budget   Budget
	Health   *health.Book
	Places   Placer
	Backend  port.Backend
	Clock    awake.Clock
	Log      *zap.Logger
	Group    *errgroup.Group
	Count    Counter
}

// Budget bounds sendings beyond the first of each call, over all VMs.
type Budget interface {
	Earn(service ident.Service, now time.Time)
	Spend(service ident.Service, now time.Time) bool
}

// Placer decides where runs go. Its error is homes.ErrNoServer, a
// *homes.NoRoomError or the context's.
type Placer interface {
	Place(ctx context.Context, w homes.Want) (homes.Spot, error)
}

// Counter counts how calls end.
type Counter interface {
	Ended(e *End)
}

// End tells how a call ended.
type End struct {
	Call    *call.Call
	Route   *routes.Route // nil: none was found
	Service ident.Service
	Server  ident.Server
	Status  int             // sent to the client; zero: none
	Refusal *refuse.Refusal // nil: answered by a server
	Queued  time.Duration   // wait for room at an engine
	First   time.Duration   // until the answer or its first event
	Total   time.Duration
	Sent    int // sendings
	Moves   int // times a stream went on at another engine
	Events  int
	Gap     time.Duration // longest pause between two events
	Version uint64        // of the settings
	Age     time.Duration // of the knowledge that they are the newest
}

// Relay serves calls. It is safe for use by several goroutines.
type Relay struct {
	Parts
	stop atomic.Int64 // when the VM ends, in Unix nanoseconds; zero: not stopping
}

// New makes a relay.
func New(p Parts) *Relay { return &Relay{Parts: p} }

// Stop makes the relay refuse what would not be served whole by end.
func (r *Relay) Stop(end time.Time) { r.stop.Store(end.UnixNano()) }

// stopping refuses a call that would be cut off by the end of this VM. Another
// VM can serve it: it has not run.
func (t *task) stopping() *refuse.Refusal {
	ns := t.relay.stop.Load()
	if ns == 0 {
		return nil
	}
	left := time.Until(time.Unix(0, ns))
	need := t.route.Target
	if p := t.call.Prompt; p != nil {
		need += time.Duration(p.Limit) * tokenTime
	}
	if need < left {
		return nil
	}
	return refuse.New(refuse.VMStopping, "this VM ends in %s, and the call may take %s", left.Round(time.Millisecond), need).After(stopRetry)
}

// task is one call on its way.
type task struct {
	relay     *Relay
	call      *call.Call
	reply     port.Reply
	route     *routes.Route
	service   *routes.Service
	workspace ident.Workspace
	end       time.Time // no answer is of use after it
	record    End

	mu   sync.Mutex // guards kept: orders to engines log beside the call
	kept []kept
}

// Serve takes the call to its end. It returns a refusal that is still to be
// written, or nil if the answer was written or broken off.
func (r *Relay) Serve(ctx context.Context, c *call.Call, w port.Reply) *refuse.Refusal {
	t := &task{relay: r, call: c, reply: w, record: End{Call: c}}
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

func (t *task) run(ctx context.Context) *refuse.Refusal {
	ctx, cancel := context.WithDeadlineCause(ctx, t.end, errTimeout)
	defer cancel()
	t.relay.Budget.Earn(t.service.Name, time.Now())
	if t.route.Kind == call.Stream {
		return t.stream(ctx)
	}
	return t.plain(ctx)
}

var errTimeout = errors.New("relay: the time allowed is over")

func (t *task) finish(r *refuse.Refusal) {
	t.record.Refusal = r
	if r != nil && !t.reply.Begun() {
		r.Request = t.call.ID
		t.record.Status = r.Reason.Status()
	}
	t.record.Route = t.route
	t.record.Total = time.Since(t.call.Arrived)
	if r != nil {
		t.tell()
	}
	t.relay.Count.Ended(&t.record)
}

// admit finds the route, the workspace and the service in one snapshot.
func (t *task) admit(ctx context.Context) *refuse.Refusal {
	refusal := t.find()
	for n := 0; n < 2 && refusal != nil && unsure(refusal) && t.older(); n++ {
		// A refusal for good must not come from settings older than the call.
		if err := t.relay.Refresh.Refresh(ctx, lookTime); err != nil {
			t.relay.Log.Info("settings not read anew", zap.String("request", string(t.call.ID)), zap.Error(err))
			break
		}
		refusal = t.find()
	}
	if refusal != nil && unsure(refusal) && t.older() {
		return refuse.New(refuse.SettingsStale, "%s, by settings known to be the newest %s ago",
			refusal.Detail, t.relay.Settings.Age().Round(time.Millisecond)).After(settingsRetry)
	}
	return refusal
}

// unsure reports whether newer settings could allow what r refuses.
func unsure(r *refuse.Refusal) bool {
	return r.Reason == refuse.NotFound || r.Reason == refuse.WrongKey
}

// older reports whether the settings may be older than the call by more than
// the time in which a change need not be in force yet.
func (t *task) older() bool { return t.relay.Settings.Fresh().Add(lookAge) < t.call.Woken }

func (t *task) find() *refuse.Refusal {
	fresh := t.relay.Settings.Fresh()
	snap := t.relay.Settings.Load()
	if snap == nil {
		return refuse.New(refuse.SettingsMissing, "no settings have reached this VM").After(settingsRetry)
	}
	age := t.relay.Clock().Sub(fresh)
	t.record.Version, t.record.Age = snap.Version, age
	route := snap.Find(t.call.Host, t.call.Path)
	if route == nil {
		return refuse.New(refuse.NotFound, "no route leads to %.100q at host %.60q", t.call.Path, t.call.Host)
	}
	t.route = route
	if refusal := t.open(snap, age); refusal != nil {
		return refusal
	}
	name := route.Pick(rand.Float64())
	if t.service = snap.Service(name); t.service == nil {
		return refuse.New(refuse.NoServer, "route %s leads to service %s, which the settings do not define", route.Name, name).After(roomRetry)
	}
	t.record.Service = name
	if refusal := t.stopping(); refusal != nil {
		return refusal
	}
	t.end = t.call.Arrived.Add(route.Timeout)
	if p := t.call.Patience; p > 0 && p < route.Timeout {
		t.end = t.call.Arrived.Add(p)
	}
	return nil
}

// open checks the API key.
func (t *task) open(snap *routes.Snapshot, age time.Duration) *refuse.Refusal {
	if !snap.Keyed(t.route) {
		return nil
	}
	if bound := t.relay.Config.Revoke(); age > bound-staleMargin {
		return refuse.New(refuse.SettingsStale, "the settings were known to be the newest %s ago, and keys may be served for %s",
			age.Round(time.Millisecond), bound).After(settingsRetry)
	}
	holder := snap.Holder(t.call.Key)
	if holder == nil {
		return refuse.New(refuse.WrongKey, "no workspace holds the API key of the call, by settings of version %d", snap.Version)
	}
	t.workspace = holder.Name
	return nil
}

// left returns how long an answer is still of use.
func (t *task) left() time.Duration { return time.Until(t.end) }

// over returns the refusal of a call whose time or client is gone. The call
// has not been written to any server that may still run it unless ran says so.
func (t *task) over(ctx context.Context, ran refuse.Ran) *refuse.Refusal {
	if errors.Is(context.Cause(ctx), errTimeout) {
		r := refuse.New(refuse.TimedOut, "no answer within the %s allowed", t.end.Sub(t.call.Arrived)).With(ran)
		if ran == refuse.RanNo {
			r.Reason = refuse.WaitedOut
		}
		return r
	}
	return refuse.New(refuse.CallerLeft, "the client closed the connection after %s", time.Since(t.call.Arrived).Round(time.Millisecond)).With(ran)
}
