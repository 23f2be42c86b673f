package stream

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/admit"
	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/events"
	"umberladder/internal/route/migr"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/route/task"
	"umberladder/internal/state/srvtab"
)

// forwarder forwards one stream from its engines to the client.
type forwarder struct {
	*task.Task
	tried           map[ident.Server]bool
	unreachable     []ident.Server // servers to which the connection failed since the last placement
	server          *srvtab.Server
	reservation     *alloc.Reservation
	backup          *backupCopy
	migrator        *migr.Migrator
	conn            *events.Conn
	version         ident.Version // of the software that produces the stream's events; empty: there is no event yet
	hasEvents       bool          // an event was forwarded, from whichever engine
	lastID          string
	connectFailures int          // number of engines to which the connection failed
	ran             refuse.Ran   // whether the call may have run
	headerSent      bool         // the response header was written to the client
	generated       atomic.Int64 // tokens, estimated from the events; migrations read it concurrently
	reportedTokens  int          // generated tokens at the last update of the reservations
	gotEvent        bool         // the current connection has delivered an event
	firstEventAt    time.Time    // time of the first event on the current connection
	wasEstablished  bool         // an engine has run the call for establishedAfter
	endUncertain    bool         // the end of a close-delimited body does not end the stream: the run is being stopped, or its engine may have ended
	lastEventAt     time.Time
	cancelMigration context.CancelFunc // cancels the migration in progress; nil: none was started

	meter pace.Meter // measures the time per token on the current connection
}

// Serve serves a call whose response is a stream of events.
func Serve(ctx context.Context, t *task.Task) *refuse.Refusal {
	f := &forwarder{
		Task: t, tried: make(map[ident.Server]bool), lastID: t.Call.LastEventID,
		migrator: migr.New(t.Backend, t.Group, t.Call.ID, t.LogInfo),
	}
	defer f.release()
	if refusal := f.findOrigin(ctx); refusal != nil {
		return refusal
	}
	refusal := f.start(ctx)
	if refusal != nil {
		return task.AdjustReason(refusal)
	}
	if f.conn == nil {
		// The response was not a stream and has been delivered completely.
		return nil
	}
	refusal = f.forwardEvents(ctx)
	if refusal != nil && f.headerSent {
		t.Writer.Abort()
	}
	return refusal
}

// release closes the connection and releases the reservations.
func (f *forwarder) release() {
	if f.conn != nil {
		f.conn.Close()
	}
	f.reservation.Release()
	f.dropBackup()
}

// tokensNeeded returns the memory, in tokens, that the stream uses now and in the near
// future.
func (f *forwarder) tokensNeeded() int {
	p := f.Call.Prompt
	if p == nil {
		return 1
	}
	return admit.MemoryNeed(p.Tokens, p.MaxTokens, int(f.generated.Load()))
}

// start sends the call to one engine after another until one starts to respond.
func (f *forwarder) start(ctx context.Context) *refuse.Refusal {
	for {
		s, refusal := f.place(ctx)
		if refusal != nil {
			return refusal.WithRan(f.ran)
		}
		f.tried[s.ID] = true
		resp, err := f.send(ctx, s, port.CacheRef{})
		if err != nil {
			if refusal := f.attemptFailed(ctx, s, err); refusal != nil {
				return refusal
			}
			continue
		}
		f.Result.Attempts++
		if isStream(resp) {
			f.attach(resp)
			return f.startResponse(resp)
		}
		refusal, done := f.handleNonStream(ctx, s, resp)
		if done {
			return refusal
		}
	}
}

// isStream reports whether the body of a response is the stream that was called for.
func isStream(resp *port.Response) bool {
	return resp.Status == http.StatusOK && !resp.NotExecuted && resp.EventStream
}

// attemptFailed handles an attempt without a response. It returns nil if another engine
// should be tried.
func (f *forwarder) attemptFailed(ctx context.Context, s *srvtab.Server, err error) *refuse.Refusal {
	f.reservation.Release()
	f.dropBackup()
	if !task.IsUnsent(err) {
		f.Result.Attempts++
		f.ran = refuse.RanMaybe
		if ctx.Err() == nil {
			f.CheckCrash(ctx, s)
		}
	}
	if task.IsUnreachable(err) {
		f.unreachable = append(f.unreachable, s.ID)
	}
	f.LogInfo("no answer", zap.String("server", string(s.ID)), zap.Bool("unsent", task.IsUnsent(err)), zap.Error(err))
	switch {
	case ctx.Err() != nil:
		return f.CancellationRefusal(ctx, f.ran)
	case task.IsUnsent(err):
		if f.connectFailures++; f.RetryUnsent(f.connectFailures) {
			return nil
		}
		return f.UnreachableRefusal(f.connectFailures).WithRan(f.ran)
	case f.mayRetry():
		return nil
	}
	return refuse.New(refuse.ServerLost, "server %s broke off: %v", s.ID, err).WithRan(refuse.RanMaybe)
}

// handleNonStream handles a response that is not a stream. It reports false if another
// engine should be tried; otherwise the call has ended, with the refusal if it is not
// nil.
func (f *forwarder) handleNonStream(ctx context.Context, s *srvtab.Server, resp *port.Response) (*refuse.Refusal, bool) {
	body, err := f.ReadBody(ctx, s, resp)
	f.reservation.Release()
	f.dropBackup()
	f.LogInfo("response is not a stream", zap.String("server", string(s.ID)), zap.Int("status", resp.Status), zap.Bool("not-run", resp.NotExecuted))
	if resp.Replaced {
		f.MarkGone(s)
	}
	if resp.NotExecuted {
		if f.mayRetry() {
			return nil, false
		}
		return refuse.New(refuse.ServerRejected, "server %s did not take the call, with status %d", s.ID, resp.Status).WithRan(f.ran).WithRetryAfter(task.NoServerRetryAfter), true
	}
	f.ran = refuse.RanMaybe
	if err != nil {
		return refuse.New(refuse.ServerLost, "server %s broke off its response with status %d: %v", s.ID, resp.Status, err).WithRan(f.ran), true
	}
	f.RecordResponse(s, resp.Status)
	if resp.Status >= http.StatusInternalServerError && f.mayRetry() {
		return nil, false
	}
	return f.WriteResponse(&task.FullResponse{Status: resp.Status, Fields: resp.Fields, Body: body}), true
}

// mayRetry reports whether the call may be sent again, from its start or after the last
// event. It takes a retry from the budget.
func (f *forwarder) mayRetry() bool {
	if f.Result.Attempts >= f.Route.MaxAttempts {
		return false
	}
	if f.ran != refuse.RanNo && !f.Route.Resumable {
		return false
	}
	return f.Budget.AllowRetry(f.Service.Name, time.Now())
}

// send sends the call to an engine and returns the response.
func (f *forwarder) send(ctx context.Context, s *srvtab.Server, from port.CacheRef) (*port.Response, error) {
	check, version := f.CheckAccepting, f.version
	if from.Addr.IsValid() {
		check, version = f.CheckContinuable, f.server.Version
	}
	if err := errors.Join(check(s), f.CheckVersion(s, version)); err != nil {
		return nil, &port.SendError{Unsent: true, Err: err}
	}
	f.server = s
	f.Result.Server, f.Result.Version = s.ID, s.Version
	attempt := port.Attempt{Call: f.Call, Server: s, Workspace: f.Workspace, Timeout: f.Remaining(), Copy: from, LastEventID: f.lastID, Domains: f.AllowedDomains(), Urgency: f.urgency(from)}
	if f.backup != nil {
		attempt.Backup = f.backup.engine.Addr
	}
	sent := time.Now()
	f.Rates.RecordSent(s.ID, sent)
	overdue := time.AfterFunc(cmp.Or(f.Route.LatencyTarget, f.Route.Timeout), func() { f.Alloc.RecordFailure(s.ID) })
	resp, err := f.Backend.Send(ctx, attempt)
	if inTime := overdue.Stop(); err != nil && inTime && !task.IsUnsent(err) && ctx.Err() == nil {
		f.Alloc.RecordFailure(s.ID)
	}
	if err != nil {
		f.RecordSendFailure(s, err)
		return nil, err
	}
	f.Result.Via, f.Result.CloseDelimited = resp.Via, !resp.Delimited
	f.ObserveResponse(s, resp, sent)
	return resp, nil
}

// urgency returns the urgency of the stream at its engine, or nil if the settings do not ask for it
// or the workspace states no priority. Engines preempt the least urgent streams first; one that continues,
// whose loss costs more, precedes others of its priority.
func (f *forwarder) urgency(from port.CacheRef) *int {
	priority, stated := f.WorkspacePriority()
	if !stated || f.Service.Engine == nil || f.Config.Preemption == nil || !f.Config.Preemption() {
		return nil
	}
	u := min(2*min(priority, port.MaxUrgency)+1, port.MaxUrgency)
	if from.Addr.IsValid() || f.hasEvents || f.version != "" {
		u--
	}
	return &u
}

// startResponse writes the response header to the client.
func (f *forwarder) startResponse(resp *port.Response) *refuse.Refusal {
	f.headerSent = true
	f.Result.Status = resp.Status
	if err := f.Writer.WriteHeader(resp.Status, resp.Fields); err != nil {
		return refuse.New(refuse.ClientDisconnected, "the answer could not be written: %v", err).WithRan(refuse.RanPartial)
	}
	return nil
}

// place reserves capacity at an engine. If no engine has any, it waits for a limited
// time.
func (f *forwarder) place(ctx context.Context) (*srvtab.Server, *refuse.Refusal) {
	if e := f.Service.Engine; e != nil && f.Call.Prompt != nil && f.Call.Prompt.Tokens > e.KVCapacityTokens {
		return nil, refuse.New(refuse.TooLarge, "the prompt of %d tokens is larger than an engine's memory of %d", f.Call.Prompt.Tokens, e.KVCapacityTokens)
	}
	req := f.placementRequest(pick.NewRun, f.Config.Domain, slices.Collect(maps.Keys(f.tried)))
	start := time.Now()
	elapsed := start.Sub(f.Call.Arrived)
	req.Prefill, req.Backup, req.RetryKey = f.prefillTokens(), f.canBackUp(), uint64(f.Result.Fingerprint)
	req.Unreachable, f.unreachable = f.unreachable, nil
	req.TargetWait = admit.OnTimeWait(f.Route.LatencyTarget, elapsed, req.Prefill)
	req.MaxWait = admit.MaxWait(req.TargetWait, f.Deadline.Sub(f.Call.Arrived), elapsed)
	req.Remaining = f.Remaining()
	placement, err := f.awaitCapacity(ctx, req)
	f.Result.QueueTime += time.Since(start)
	if q := cmp.Or(f.QuarantineRefusal(), f.stopRefusal()); q != nil {
		return nil, q
	}
	var noCapacity *pick.NoCapacityError
	switch {
	case err == nil:
		f.reservation = f.Alloc.Reserve(placement.Server.ID, f.load(true))
		f.setBackup(placement.Backup)
		f.LogInfo("placed", zap.String("server", string(placement.Server.ID)), zap.String("version", string(placement.Server.Version)), zap.Int("tokens", req.Need),
			zap.Bool("backup", placement.Backup != nil), zap.Duration("waited", time.Since(start)))
		return placement.Server, nil
	case f.connectFailures > 0 && errors.Is(err, pick.ErrNoServer):
		return nil, f.UnreachableRefusal(f.connectFailures)
	case errors.Is(err, pick.ErrNoServer) && f.version != "" && !f.Servers.View().AcceptsVersion(f.Service.Name, f.version):
		return nil, f.versionGoneRefusal()
	case errors.Is(err, pick.ErrNoServer):
		return nil, f.NoServerRefusal()
	case errors.As(err, &noCapacity):
		return nil, refuse.New(refuse.NoCapacity, "no engine of service %s has room for %d tokens within %s, %d calls wait, %d engines could not be reached%s",
			f.Service.Name, req.Need, req.MaxWait.Round(time.Millisecond), noCapacity.Ahead, f.connectFailures, f.ShareDetail(noCapacity)).WithRetryAfter(admit.RetryAfter(noCapacity.RetryAfter, f.Remaining()))
	default:
		return nil, f.CancellationRefusal(ctx, f.ran)
	}
}

// awaitCapacity requests capacity and waits for it. A stream that has begun goes on while this VM
// shuts down; one that has not begun waits only as long as it could still complete.
func (f *forwarder) awaitCapacity(ctx context.Context, req pick.Request) (pick.Placement, error) {
	if !f.headerSent {
		var release func()
		ctx, release = f.StartContext(ctx)
		defer release()
	}
	return f.Placer.Place(ctx, req)
}

// stopRefusal returns the refusal of a stream that has not begun and that the shutdown of this VM
// would interrupt, or nil.
func (f *forwarder) stopRefusal() *refuse.Refusal {
	if f.headerSent {
		return nil
	}
	return f.StopRefusal()
}

// versionGoneRefusal returns the refusal of a stream for whose version no server accepts work. No
// server returns to it, so that there is no time after which the client should retry.
func (f *forwarder) versionGoneRefusal() *refuse.Refusal {
	return refuse.New(refuse.VersionGone, "no server of service %s runs version %s, which began the stream, and takes work", f.Service.Name, f.version)
}

// prefillTokens returns the number of prompt tokens that an engine has to prefill before
// the first event.
func (f *forwarder) prefillTokens() int {
	if f.Call.Prompt == nil {
		return 0
	}
	return f.Call.Prompt.Tokens
}

// load returns the load that the stream puts on its engine, with the prefill if
// withPrefill is set.
func (f *forwarder) load(withPrefill bool) alloc.Load {
	l := alloc.Load{Calls: 1, Tokens: f.tokensNeeded()}
	if withPrefill {
		l.Backlog = f.prefillTokens()
	}
	return l
}

// placementRequest describes the capacity that the stream needs.
func (f *forwarder) placementRequest(purpose pick.Purpose, from ident.FailureDomain, exclude []ident.Server) pick.Request {
	r := pick.Request{
		Service: f.Service.Name, Purpose: purpose, Rank: f.Priority(), CurrentRank: f.Priority, Need: f.tokensNeeded(), EngineMemory: f.engineCapacity(),
		From: from, Exclude: exclude, Domains: f.AllowedDomains(), Version: f.version,
	}
	r.Output, r.EventTokens = f.expectedOutput(), f.eventTokens()
	r.GapTarget, r.LatencyTarget = f.Route.GapTarget, f.Route.LatencyTarget
	f.SetShare(&r)
	if f.Service.ColdTime > 0 {
		r.ColdTime, r.ColdLimit = f.Service.ColdTime, rates.GrantLimit(f.Config.ColdLimit(f.Service.ColdRate))
	}
	return r
}

// expectedOutput returns the number of tokens that the stream is expected to generate from now
// on, at least one event of a generation; zero: unknown.
func (f *forwarder) expectedOutput() int {
	if f.Call.Prompt == nil || f.Call.Prompt.ExpectedOutput() <= 0 {
		return 0
	}
	return max(f.Call.Prompt.ExpectedOutput()-int(f.generated.Load()), f.eventTokens(), 1)
}

// eventTokens returns the number of tokens per event; zero: unknown.
func (f *forwarder) eventTokens() int {
	if f.Service.Engine == nil {
		return 0
	}
	return f.Service.Engine.TokensPerEvent
}

// engineCapacity returns the memory of an engine in tokens. It is practically unlimited
// for services without a configured capacity.
func (f *forwarder) engineCapacity() int {
	if f.Service.Engine == nil || f.Service.Engine.KVCapacityTokens <= 0 {
		return 1 << 30
	}
	return f.Service.Engine.KVCapacityTokens
}
