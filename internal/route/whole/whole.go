package whole

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/assign"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/route/task"
	"umberladder/internal/state/backs"
)

const (
	// MaxBody is the largest whole answer of a server that is taken, in bytes.
	MaxBody = 16 << 20
	// shedRetry is when a call should come back whose server was full: the
	// queue of a plain server empties within it at 15 ms a call.
	shedRetry = 100 * time.Millisecond
)

// trial is the way of a plain call from server to server.
type trial struct {
	*task.Task
	tried   map[ident.Server]bool
	limited map[ident.Server]bool // excluded by their rate limits; nil: not evaluated, or none is limited
	unsent  int                   // servers that could not be connected to
	last    *task.Whole           // failure of the last server that answered
	refusal *refuse.Refusal       // what is said if no server answers any more; nil: none was found
}

// Serve serves a call with one whole answer.
func Serve(ctx context.Context, t *task.Task) *refuse.Refusal {
	r := &trial{Task: t, tried: make(map[ident.Server]bool)}
	for r.more() {
		s := r.pick()
		if s == nil {
			break
		}
		r.tried[s.ID] = true
		a, err := r.ask(ctx, s)
		if err != nil && ctx.Err() != nil {
			return t.Over(ctx, r.ranBy(err))
		}
		if err != nil && !r.broken(ctx, s, err) {
			break
		}
		if err == nil && r.answered(s, a) {
			return t.Deliver(a)
		}
		if err == nil && !a.NotRun && t.Route.Kind != call.Idempotent {
			break
		}
	}
	if r.last != nil {
		return t.Deliver(r.last)
	}
	if r.refusal == nil {
		return t.NoServer()
	}
	return task.Truthful(r.refusal)
}

// ran returns what is known of the call's runs so far.
func (r *trial) ran() refuse.Ran {
	if r.refusal == nil {
		return refuse.RanNo
	}
	return r.refusal.Ran
}

// more reports whether another server may be asked.
func (r *trial) more() bool {
	if r.Record.Sent >= r.Route.Attempts || !r.PassOver(r.unsent) {
		return false
	}
	if q := r.Quarantined(); q != nil {
		r.refusal = q.With(r.ran())
		return false
	}
	if r.Record.Sent == 0 || r.Budget.Spend(r.Service.Name, time.Now()) {
		return true
	}
	r.Note("no retry", zap.String("reason", "the retry budget is used up"))
	return false
}

// ranBy returns what is known of the call's runs after a sending that failed.
func (r *trial) ranBy(err error) refuse.Ran {
	if task.IsUnsent(err) {
		return r.ran()
	}
	return refuse.RanMaybe
}

// broken judges a sending without a whole answer; false ends the trial.
func (r *trial) broken(ctx context.Context, s *backs.Server, err error) bool {
	if task.IsUnsent(err) {
		r.unsent++
		r.Note("server not reached", zap.String("server", string(s.ID)), zap.Error(err))
		return true
	}
	r.Record.Sent++
	r.last = nil
	r.Note("no whole answer", zap.String("server", string(s.ID)), zap.Error(err))
	r.CheckCrash(ctx, s)
	r.refusal = refuse.New(refuse.ServerDied, "server %s broke off: %v", s.ID, err).With(refuse.RanMaybe)
	return r.Route.Kind == call.Idempotent
}

// answered judges a whole answer; true if it is the client's.
func (r *trial) answered(s *backs.Server, a *task.Whole) bool {
	if a.Gone {
		r.Lost(s)
	}
	r.Record.Sent++
	switch {
	case a.NotRun:
		r.refusal = refuse.New(refuse.ServerRefused, "server %s did not take the call, with status %d", s.ID, a.Status).With(r.ran()).After(shedRetry)
		return false
	case a.Status < http.StatusInternalServerError:
		return true
	}
	r.last = a
	r.refusal = refuse.New(refuse.ServerDied, "server %s failed with status %d", s.ID, a.Status).With(refuse.RanMaybe)
	return false
}

// ask sends the call to a server and reads the whole answer.
func (r *trial) ask(ctx context.Context, s *backs.Server) (*task.Whole, error) {
	seat := r.Seats.Take(s.ID, seats.Load{Seats: 1})
	defer seat.Release()
	r.Record.Server = s.ID
	sent := time.Now()
	r.Rates.Sent(s.ID, sent)
	a, err := r.Backend.Send(ctx, port.Send{Call: r.Call, Server: s, Workspace: r.Workspace, Left: r.Left(), After: r.Call.After})
	if err != nil {
		r.Health.Failure(s.ID, time.Now())
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	r.Observe(s, a, sent)
	body, err := io.ReadAll(io.LimitReader(a.Body, MaxBody+1))
	if err == nil && len(body) > MaxBody {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		r.Health.Failure(s.ID, time.Now())
		return nil, &port.SendError{Err: err}
	}
	if !a.NotRun {
		r.Completed()
	}
	if a.Status < http.StatusInternalServerError {
		r.Health.Success(s.ID, time.Now())
	} else {
		r.Health.Failure(s.ID, time.Now())
	}
	return &task.Whole{Status: a.Status, Fields: a.Fields, NotRun: a.NotRun, Gone: a.Gone, Body: body}, nil
}

// skips returns the servers that are excluded by their rate limits. The random selection is
// made once for a call, so that retries do not raise the chance of using a limited server.
func (r *trial) skips(list []*backs.Server, now time.Time) map[ident.Server]bool {
	if r.limited != nil {
		return r.limited
	}
	ids := make([]ident.Server, len(list))
	for i, s := range list {
		ids[i] = s.ID
	}
	for i, skip := range r.Rates.Skips(r.Service.Name, ids, now) {
		if r.limited == nil {
			r.limited = make(map[ident.Server]bool, len(ids))
		}
		r.limited[ids[i]] = skip
	}
	return r.limited
}

// pick chooses a server that was not tried yet.
func (r *trial) pick() *backs.Server {
	now := time.Now()
	list := r.Servers.View().Service(r.Service.Name)
	loads := r.Seats.All(now)
	limited := r.skips(list, now)
	servers := make([]assign.Server, len(list))
	for i, s := range list {
		servers[i] = assign.Server{
			Slots:  s.Slots,
			Seats:  loads[s.ID].Seats,
			Far:    s.Domain != r.Config.Domain,
			Weight: r.Health.Weight(s.ID, now),
			Skip:   r.tried[s.ID] || r.Health.Paused(s.ID, now) > 0 || limited[s.ID],
		}
	}
	i := assign.ChoosePlain(servers, assign.Random())
	if i < 0 {
		return nil
	}
	return list[i]
}
