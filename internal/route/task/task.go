package task

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/hold"
	"umberladder/internal/route/port"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// NoServerRetryAfter is the retry delay of a call refused for lack of a server.
const NoServerRetryAfter = 500 * time.Millisecond

// evacuatedRetryAfter is the shortest retry delay of a call refused while servers are unused
// because of an evacuation. Evacuations last for many seconds at least.
const evacuatedRetryAfter = 2 * time.Second

// regionRetryAfter is the retry delay of a call whose route and workspace allow no failure
// domain. Only a change of the settings helps.
const regionRetryAfter = 5 * time.Second

// ErrTimeout is the cause that cancels a call's context at its deadline.
var ErrTimeout = errors.New("task: the deadline has passed")

// Task is one call to be served, once its route is known.
type Task struct {
	Deps
	Call      *call.Call
	Writer    port.ResponseWriter
	Route     *routes.Route
	Service   *routes.Service
	Workspace ident.Workspace
	Deadline  time.Time // no response is of use after it
	Result    Result

	boundWorkspace *routes.Workspace // nil: the route is public
	response       *hold.Account     // of the body of a response; nil: none was read

	mu       sync.Mutex // guards deferred: orders to engines are logged concurrently with the call
	deferred []deferredLine
}

// Remaining returns how long a response is still of use.
func (t *Task) Remaining() time.Duration { return time.Until(t.Deadline) }

// CancellationRefusal returns the refusal of a call whose deadline has passed or
// whose client has disconnected. ran states whether the call may have run: with
// RanNo it has not been sent to any server that may still run it.
func (t *Task) CancellationRefusal(ctx context.Context, ran refuse.Ran) *refuse.Refusal {
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		r := refuse.New(refuse.TimedOut, "no answer within the %s allowed", t.Deadline.Sub(t.Call.Arrived)).WithRan(ran)
		if ran == refuse.RanNo {
			r.Reason = refuse.WaitExceeded
		}
		return r
	}
	return refuse.New(refuse.ClientDisconnected, "the client closed the connection after %s", time.Since(t.Call.Arrived).Round(time.Millisecond)).WithRan(ran)
}

const (
	// alwaysRetryUnsent is the number of unreachable servers below which another one
	// is always tried.
	alwaysRetryUnsent = 3
	// maxUnsent is the maximum number of unreachable servers before the call fails.
	// A refused connection costs little, and in an outage of the store the
	// termination of many servers may have gone unnoticed.
	maxUnsent = 12
	// unsentTimeShare is the share of the latency target within which another server
	// is tried after more than alwaysRetryUnsent unreachable ones.
	unsentTimeShare = 0.5
)

// RetryUnsent reports whether to try another server after unsent servers could not
// be connected to.
func (t *Task) RetryUnsent(unsent int) bool {
	if unsent < alwaysRetryUnsent {
		return true
	}
	return unsent < maxUnsent && time.Since(t.Call.Arrived) < time.Duration(unsentTimeShare*float64(t.Route.LatencyTarget))
}

// errNotAccepting is returned instead of an attempt at a server that accepts no new work.
var errNotAccepting = errors.New("task: the server accepts no new work")

// continuationGrace is how long after the start of an evacuation a stream may still be
// continued in that failure domain. A copy of its KV cache is on the way there, and its run
// has been stopped.
const continuationGrace = time.Second

// CheckAccepting returns a *port.SendError if a server may not be sent the call. It is
// checked when the call is sent, because the server may have been chosen earlier, or by a
// VM that knew less.
func (t *Task) CheckAccepting(s *srvtab.Server) error {
	if t.Servers.View().Accepts(s.ID) && t.MayRunIn(s.Domain) {
		return nil
	}
	return &port.SendError{Unsent: true, Err: errNotAccepting}
}

// CheckContinuable returns a *port.SendError if a stream may not be continued at a server
// that holds a copy of its KV cache.
func (t *Task) CheckContinuable(s *srvtab.Server) error {
	if t.Servers.View().EvacuatedFor(s.Domain, time.Now()) <= continuationGrace && t.MayRunIn(s.Domain) {
		return nil
	}
	return &port.SendError{Unsent: true, Err: errNotAccepting}
}

// errOtherVersion is returned instead of an attempt to continue a stream at a server that runs
// another version of the software, or whose version is not known.
var errOtherVersion = errors.New("task: the server runs another version of the software")

// CheckVersion returns an error unless a server runs the given version of the software; an empty
// one stands for any. It is checked when the call is sent, because the server may have been
// replaced since it was chosen.
func (t *Task) CheckVersion(s *srvtab.Server, v ident.Version) error {
	known := t.Servers.View().Server(s.ID)
	if v == "" || s.Version == v && (known == nil || known.Version == v) {
		return nil
	}
	return errOtherVersion
}

// IsNotAccepting reports whether an attempt was not made because its server accepts no new
// work.
func IsNotAccepting(err error) bool { return errors.Is(err, errNotAccepting) }

// MarkGone records that a server has terminated, because another one responds at
// its address. Its entry in the server table may outlive it.
func (t *Task) MarkGone(s *srvtab.Server) {
	if t.Servers.MarkReplaced(s.ID) {
		t.LogInfo("server gone", zap.String("server", string(s.ID)), zap.Stringer("address", s.Addr), zap.String("reason", "another server answers at its address"))
	}
}

// RecordSendFailure records an attempt without a response. A connection that failed counts
// against the server only if it is to blame.
func (t *Task) RecordSendFailure(s *srvtab.Server, err error) {
	if IsUnreachable(err) || !IsUnsent(err) {
		t.Health.Failure(s.ID, time.Now())
	}
}

// ObserveResponse processes what a response says about its server. A draining
// server is taken out of use: its entry may say so much later, or never. A server
// that asks for a pause gets no calls from this VM for that time. A rate limit is
// recorded and applies to all VMs together. sent is when the request was sent; it
// orders limits that were stated at different times.
func (t *Task) ObserveResponse(s *srvtab.Server, resp *port.Response, sent time.Time) {
	now := time.Now()
	if !resp.Replaced {
		t.Rates.Observe(s.ID, resp.Limit, sent, now)
		t.Reject.Observe(s.Service, resp.Brittle, sent, now)
	}
	t.Servers.MarkCold(s.ID, resp.Cold, now)
	if resp.Draining && t.Servers.MarkDraining(s.ID, now) {
		t.LogInfo("server drains", zap.String("server", string(s.ID)), zap.String("reported-by", "itself"))
	}
	if resp.Pause > 0 {
		t.Health.Pause(s.ID, resp.Pause, now)
		t.LogInfo("server asked for a pause", zap.String("server", string(s.ID)), zap.Duration("pause", resp.Pause))
	}
	if resp.NotExecuted && resp.Status == http.StatusServiceUnavailable {
		t.recordRejection(s, now)
	}
}

// rejectionPause is how long this VM sends no calls to a brittle server that has rejected
// one. A plain server that is full has room again sooner.
const rejectionPause = 500 * time.Millisecond

// recordRejection records that a server had no room. A brittle server gets no calls from this
// VM for a time, and fewer from the others.
func (t *Task) recordRejection(s *srvtab.Server, now time.Time) {
	if t.Reject.Rejections(s.Service, now) > 0 {
		t.Health.Pause(s.ID, rejectionPause, now)
		t.Alloc.RecordFailure(s.ID)
	}
}

// NoServerRefusal returns the refusal of a call for which no server accepts work
// now. If all servers of the service are paused, the client should retry after the
// shortest pause; if some are evacuated, after evacuatedRetryAfter or later.
func (t *Task) NoServerRefusal() *refuse.Refusal {
	now := time.Now()
	retryAfter, limited := time.Duration(0), 0
	for _, s := range t.Servers.View().ServersOf(t.Service.Name) {
		if t.Rates.IsLimited(s.ID, now) {
			limited++
		}
		if remaining := t.Health.PauseRemaining(s.ID, now); remaining > 0 && (retryAfter == 0 || remaining < retryAfter) {
			retryAfter = remaining
		}
	}
	r := refuse.New(refuse.NoServer, "no server of service %s takes work", t.Service.Name)
	if limited > 0 {
		r.Detail += fmt.Sprintf(", %d of them limit their requests", limited)
	}
	if n := t.Servers.View().EvacuatedOf(t.Service.Name); n > 0 {
		r.Detail += fmt.Sprintf(", %d are in evacuated failure domains", n)
		retryAfter = max(retryAfter, evacuatedRetryAfter)
	}
	return r.WithRetryAfter(max(retryAfter, NoServerRetryAfter))
}

// unreachableRetryAfter is the retry delay of a call for which no server could be reached.
// Another VM may reach them.
const unreachableRetryAfter = 200 * time.Millisecond

// UnreachableRefusal returns the refusal of a call for which connections to the given number
// of servers failed, and no other server has room.
func (t *Task) UnreachableRefusal(failures int) *refuse.Refusal {
	return refuse.New(refuse.Unreachable, "%d servers of service %s could not be reached from this VM or through others", failures, t.Service.Name).
		WithRetryAfter(unreachableRetryAfter)
}

// WriteResponse writes a complete response to the client.
func (t *Task) WriteResponse(resp *FullResponse) *refuse.Refusal {
	t.Result.Status = resp.Status
	t.Result.TimeToFirst = time.Since(t.Call.Arrived)
	if err := t.Writer.WriteResponse(resp.Status, resp.Fields, resp.Body); err != nil {
		return refuse.New(refuse.ClientDisconnected, "the answer could not be written: %v", err).WithRan(refuse.RanMaybe)
	}
	return nil
}

// FullResponse is a complete response.
type FullResponse struct {
	Status      int
	Fields      []call.HeaderField
	NotExecuted bool // the server says that it did not run the call
	Replaced    bool // another server responded in its place
	Body        []byte
}

// AdjustReason replaces the reason of a refusal of a call that may have run, if
// its status, 503, would promise that it did not run.
func AdjustReason(r *refuse.Refusal) *refuse.Refusal {
	if r.Ran != refuse.RanNo && r.Reason.Status() == http.StatusServiceUnavailable {
		r.Reason = refuse.ServerLost
	}
	return r
}

// IsUnreachable reports whether the error says that the server could not be connected to,
// and that this VM's links are not the cause.
func IsUnreachable(err error) bool {
	var se *port.SendError
	return errors.As(err, &se) && se.Unreachable
}

// IsUnsent reports whether the error says that nothing of a call left this VM.
func IsUnsent(err error) bool {
	var se *port.SendError
	return errors.As(err, &se) && se.Unsent
}

// maxDeferred is the maximum number of deferred log lines per call.
const maxDeferred = 32

// deferredLine is a log line that the logger declined under load.
type deferredLine struct {
	msg    string
	at     time.Time
	fields []zap.Field
}

// LogInfo writes one log line about the call. A line that the logger declines
// under load is deferred, and written if the call fails.
func (t *Task) LogInfo(msg string, fields ...zap.Field) {
	fields = append(fields, zap.String("request", string(t.Call.ID)))
	if ce := t.Log.Check(zap.InfoLevel, msg); ce != nil {
		ce.Write(fields...)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.deferred) < maxDeferred {
		t.deferred = append(t.deferred, deferredLine{msg: msg, at: time.Now(), fields: fields})
	}
}

// FlushDeferred writes the deferred lines of a call that failed.
func (t *Task) FlushDeferred() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, line := range t.deferred {
		t.Log.Warn(line.msg, append(line.fields, zap.Time("at", line.at))...)
	}
	t.deferred = nil
}
