package unary

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/port"
	"umberladder/internal/route/task"
	"umberladder/internal/state/srvtab"
)

// overloadRetryAfter is the retry delay of calls rejected by an overloaded server.
// The queue of a plain server empties in this time at 15 ms per call.
const overloadRetryAfter = 100 * time.Millisecond

// requester sends a plain call to one server after another.
type requester struct {
	*task.Task
	reservation     *alloc.Reservation // capacity granted for the next attempt; nil: none is needed
	tried           map[ident.Server]bool
	limited         map[ident.Server]bool // true: excluded by its rate limit; nil: not evaluated, or none is limited
	unreachable     []ident.Server        // servers that could not be connected to since the last placement
	connectFailures int                   // number of servers to which the connection failed
	lastFailure     *task.FullResponse    // failure response of the last server that responded
	failures        map[int]int           // number of servers at which the call failed, by status
	retryTakenAt    time.Time             // when a retry was taken from the budget for an attempt that has not been sent; zero: none was
	refusal         *refuse.Refusal       // refusal if no further server responds; nil: no server was reached
}

// Serve serves a call whose response is one complete body.
func Serve(ctx context.Context, t *task.Task) *refuse.Refusal {
	r := &requester{Task: t, tried: make(map[ident.Server]bool), failures: make(map[int]int)}
	for r.mayTryNext() {
		s, refusal := r.next(ctx)
		if refusal != nil && r.lastFailure == nil {
			r.refusal = refusal
		}
		if s == nil {
			break
		}
		r.tried[s.ID] = true
		resp, err := r.send(ctx, s)
		if err != nil && ctx.Err() != nil {
			return t.CancellationRefusal(ctx, r.ranAfter(err))
		}
		if err != nil && !r.attemptFailed(ctx, s, err) {
			break
		}
		if err == nil && r.handleResponse(s, resp) {
			return t.WriteResponse(resp)
		}
		if err == nil && !resp.NotExecuted && (t.Route.Kind != call.Idempotent || r.failsEverywhere(resp.Status)) {
			break
		}
	}
	return r.finish()
}

// finish ends a call that no server has served.
func (r *requester) finish() *refuse.Refusal {
	if !r.retryTakenAt.IsZero() {
		r.Budget.ReturnRetry(r.Service.Name, r.retryTakenAt)
	}
	switch {
	case r.lastFailure != nil:
		return r.WriteResponse(r.lastFailure)
	case r.refusal != nil:
		return task.AdjustReason(r.refusal)
	case r.connectFailures > 0:
		return r.UnreachableRefusal(r.connectFailures)
	default:
		return r.NoServerRefusal()
	}
}

// ran returns whether the call may have run so far.
func (r *requester) ran() refuse.Ran {
	if r.refusal == nil {
		return refuse.RanNo
	}
	return r.refusal.Ran
}

// maxSameFailures is the number of servers at which a call may fail with the same status. It
// would likely fail at the next one too, and if the cause is a dependency of all servers, the
// retries add load to it.
const maxSameFailures = 2

// failsEverywhere reports whether the call failed with the given status at so many servers that
// it is not sent to another one.
func (r *requester) failsEverywhere(status int) bool {
	if r.failures[status] < maxSameFailures {
		return false
	}
	r.LogInfo("no retry", zap.String("reason", "the same failure at two servers"), zap.Int("status", status))
	return true
}

// mayTryNext reports whether the call may be sent to another server. From the second
// attempt on it takes a retry from the budget, once for each attempt that is sent.
func (r *requester) mayTryNext() bool {
	if r.Result.Attempts >= r.Route.MaxAttempts || !r.RetryUnsent(r.connectFailures) {
		return false
	}
	if q := cmp.Or(r.QuarantineRefusal(), r.StopRefusal()); q != nil {
		r.refusal = q.WithRan(r.ran())
		return false
	}
	if r.Result.Attempts == 0 || !r.retryTakenAt.IsZero() {
		return true
	}
	if now := time.Now(); r.Budget.AllowRetry(r.Service.Name, now) {
		r.retryTakenAt = now
		return true
	}
	r.LogInfo("no retry", zap.String("reason", "the retry budget is used up"))
	return false
}

// ranAfter returns whether the call may have run after an attempt that failed with err.
func (r *requester) ranAfter(err error) refuse.Ran {
	if task.IsUnsent(err) {
		return r.ran()
	}
	return refuse.RanMaybe
}

// attemptFailed handles an attempt without a complete response. It reports whether
// another server may be tried.
func (r *requester) attemptFailed(ctx context.Context, s *srvtab.Server, err error) bool {
	if task.IsUnreachable(err) {
		r.unreachable = append(r.unreachable, s.ID)
	}
	if task.IsUnsent(err) {
		r.connectFailures++
		r.LogInfo("server not reached", zap.String("server", string(s.ID)), zap.Error(err))
		return true
	}
	r.Result.Attempts++
	r.lastFailure, r.retryTakenAt = nil, time.Time{}
	r.LogInfo("no whole answer", zap.String("server", string(s.ID)), zap.Error(err))
	r.CheckCrash(ctx, s)
	r.refusal = refuse.New(refuse.ServerLost, "server %s broke off: %v", s.ID, err).WithRan(refuse.RanMaybe)
	return r.Route.Kind == call.Idempotent
}

// handleResponse handles a complete response. It reports whether the response is to be
// delivered to the client.
func (r *requester) handleResponse(s *srvtab.Server, resp *task.FullResponse) bool {
	if resp.Replaced {
		r.MarkGone(s)
	}
	r.Result.Attempts++
	r.retryTakenAt = time.Time{}
	switch {
	case resp.NotExecuted:
		r.refusal = refuse.New(refuse.ServerRejected, "server %s did not take the call, with status %d", s.ID, resp.Status).WithRan(r.ran()).WithRetryAfter(overloadRetryAfter)
		return false
	case resp.Status < http.StatusInternalServerError:
		return true
	}
	r.lastFailure = resp
	r.failures[resp.Status]++
	r.refusal = refuse.New(refuse.ServerLost, "server %s failed with status %d", s.ID, resp.Status).WithRan(refuse.RanMaybe)
	return false
}

// send sends the call to a server and reads the complete response.
func (r *requester) send(ctx context.Context, s *srvtab.Server) (*task.FullResponse, error) {
	if err := r.CheckAccepting(s); err != nil {
		r.release()
		return nil, err
	}
	if r.reservation == nil {
		r.reservation = r.Alloc.Reserve(s.ID, alloc.Load{Calls: 1})
	}
	defer r.release()
	r.Result.Server, r.Result.Version = s.ID, s.Version
	sent := time.Now()
	r.Rates.RecordSent(s.ID, sent)
	resp, err := r.Backend.Send(ctx, port.Attempt{Call: r.Call, Server: s, Workspace: r.Workspace, Timeout: r.Remaining(), LastEventID: r.Call.LastEventID, Domains: r.AllowedDomains()})
	if err != nil {
		r.RecordSendFailure(s, err)
		return nil, err
	}
	r.Result.Via, r.Result.CloseDelimited = resp.Via, !resp.Delimited
	r.ObserveResponse(s, resp, sent)
	body, err := r.ReadBody(ctx, s, resp)
	if err != nil {
		r.Health.Failure(s.ID, time.Now())
		return nil, &port.SendError{Err: err}
	}
	r.observeTiming(s, resp, sent)
	if !resp.NotExecuted {
		r.RecordResponse(s, resp.Status)
	}
	if resp.Status < http.StatusInternalServerError {
		r.Health.Success(s.ID, time.Now())
	} else {
		r.Health.Failure(s.ID, time.Now())
	}
	return &task.FullResponse{Status: resp.Status, Fields: resp.Fields, NotExecuted: resp.NotExecuted, Replaced: resp.Replaced, Body: body}, nil
}

// rateLimited returns the servers that are excluded by their rate limits. The random
// selection is made once per call, so that retries do not raise the chance of using a
// limited server.
func (r *requester) rateLimited(list []*srvtab.Server, now time.Time) map[ident.Server]bool {
	if r.limited != nil {
		return r.limited
	}
	ids := serverIDs(list)
	for i, skip := range r.Rates.Skips(r.Service.Name, ids, now) {
		if r.limited == nil {
			r.limited = make(map[ident.Server]bool, len(ids))
		}
		r.limited[ids[i]] = skip
	}
	r.limitCold(list, now)
	return r.limited
}

// limitCold excludes cold servers from most calls.
func (r *requester) limitCold(list []*srvtab.Server, now time.Time) {
	limit := r.Config.ColdLimit(r.Service.ColdRate)
	if limit <= 0 {
		return
	}
	view := r.Servers.View()
	cold := make([]bool, len(list))
	for i, s := range list {
		cold[i] = view.IsCold(s, r.Service.ColdTime, now)
	}
	if !slices.Contains(cold, true) {
		return
	}
	if r.limited == nil {
		r.limited = make(map[ident.Server]bool, len(list))
	}
	for i, skip := range r.Rates.ColdSkips(r.Service.Name, cold, limit, now) {
		r.limited[list[i].ID] = r.limited[list[i].ID] || skip
	}
}
