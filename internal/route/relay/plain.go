package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/assign"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

const (
	// maxBody is the largest answer of a plain server that is taken, in bytes.
	maxBody = 16 << 20
	// maxUnsent is how many servers that can't be connected to are passed over.
	maxUnsent = 3
	// shedRetry is when a call should come back whose server was full: the
	// queue of a plain server empties within it at 15 ms a call.
	shedRetry = 100 * time.Millisecond
)

// whole is a whole answer.
type whole struct {
	status int
	fields []call.Field
	signed bool
	notRun bool
	body   []byte
}

// trial is the way of a plain call from server to server.
type trial struct {
	*task
	tried   map[ident.Server]bool
	unsent  int             // servers that could not be connected to
	last    *whole          // failure of the last server that answered
	refusal *refuse.Refusal // what is said if no server answers any more
}

// plain serves a call with one whole answer.
func (t *task) plain(ctx context.Context) *refuse.Refusal {
	r := &trial{task: t, tried: make(map[ident.Server]bool)}
	r.refusal = refuse.New(refuse.NoServer, "no server of service %s takes work", t.service.Name).After(roomRetry)
	for r.more() {
		s := t.pickPlain(r.tried)
		if s == nil {
			break
		}
		r.tried[s.ID] = true
		a, err := t.ask(ctx, s)
		if err != nil && ctx.Err() != nil {
			return t.over(ctx, r.ranBy(err))
		}
		if err != nil && !r.broken(s, err) {
			break
		}
		if err == nil && r.answered(s, a) {
			return t.deliver(a)
		}
		if err == nil && !a.notRun && t.route.Kind != call.Idempotent {
			break
		}
	}
	if r.last != nil {
		return t.deliver(r.last)
	}
	return truthful(r.refusal)
}

// more reports whether another server may be asked.
func (r *trial) more() bool {
	if r.record.Sent >= r.route.Attempts || r.unsent >= maxUnsent {
		return false
	}
	if r.record.Sent == 0 || r.relay.Budget.Spend(r.service.Name, time.Now()) {
		return true
	}
	r.log("no retry", zap.String("reason", "the retry budget is used up"))
	return false
}

// isUnsent reports whether nothing of a call left this VM.
func isUnsent(err error) bool {
	var se *port.SendError
	return errors.As(err, &se) && se.Unsent
}

// ranBy returns what is known of the call's runs after a sending that failed.
func (r *trial) ranBy(err error) refuse.Ran {
	if isUnsent(err) {
		return r.refusal.Ran
	}
	return refuse.RanMaybe
}

// broken judges a sending without a whole answer; false ends the trial.
func (r *trial) broken(s *backs.Server, err error) bool {
	if isUnsent(err) {
		r.unsent++
		r.log("server not reached", zap.String("server", string(s.ID)), zap.Error(err))
		return true
	}
	r.record.Sent++
	r.last = nil
	r.log("no whole answer", zap.String("server", string(s.ID)), zap.Error(err))
	r.refusal = refuse.New(refuse.ServerDied, "server %s broke off: %v", s.ID, err).With(refuse.RanMaybe)
	return r.route.Kind == call.Idempotent
}

// answered judges a whole answer; true if it is the client's.
func (r *trial) answered(s *backs.Server, a *whole) bool {
	r.record.Sent++
	switch {
	case a.notRun:
		r.refusal = refuse.New(refuse.ServerRefused, "server %s did not take the call, with status %d", s.ID, a.status).With(r.refusal.Ran).After(shedRetry)
		return false
	case a.status < http.StatusInternalServerError:
		return true
	}
	r.last = a
	r.refusal = refuse.New(refuse.ServerDied, "server %s failed with status %d", s.ID, a.status).With(refuse.RanMaybe)
	return false
}

// truthful gives a refusal of a call that may have run a status that promises
// nothing.
func truthful(r *refuse.Refusal) *refuse.Refusal {
	if r.Ran != refuse.RanNo && r.Reason.Status() == http.StatusServiceUnavailable {
		r.Reason = refuse.ServerDied
	}
	return r
}

// ask sends the call to a server and reads the whole answer.
func (t *task) ask(ctx context.Context, s *backs.Server) (*whole, error) {
	seat := t.relay.Seats.Take(s.ID, seats.Load{Seats: 1})
	defer seat.Release()
	t.record.Server = s.ID
	a, err := t.relay.Backend.Send(ctx, port.Send{Call: t.call, Server: s, Workspace: t.workspace, Left: t.left(), After: t.call.After})
	if err != nil {
		t.relay.Health.Failure(s.ID, time.Now())
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		t.relay.Health.Failure(s.ID, time.Now())
		return nil, &port.SendError{Err: err}
	}
	if a.Status < http.StatusInternalServerError {
		t.relay.Health.Success(s.ID, time.Now())
	} else {
		t.relay.Health.Failure(s.ID, time.Now())
	}
	return &whole{status: a.Status, fields: a.Fields, signed: a.Signed, notRun: a.NotRun, body: body}, nil
}

func (t *task) deliver(a *whole) *refuse.Refusal {
	t.record.Status = a.status
	t.record.First = time.Since(t.call.Arrived)
	if err := t.reply.Whole(a.status, a.fields, a.body); err != nil {
		return refuse.New(refuse.CallerLeft, "the answer could not be written: %v", err).With(refuse.RanMaybe)
	}
	return nil
}

// pickPlain chooses a server that was not tried yet.
func (t *task) pickPlain(tried map[ident.Server]bool) *backs.Server {
	now := time.Now()
	list := t.relay.Servers.View().Service(t.service.Name)
	loads := t.relay.Seats.All(now)
	servers := make([]assign.Server, len(list))
	for i, s := range list {
		servers[i] = assign.Server{
			Slots:  s.Slots,
			Seats:  loads[s.ID].Seats,
			Far:    s.Domain != t.relay.Config.Domain,
			Weight: t.relay.Health.Weight(s.ID, now),
			Skip:   tried[s.ID],
		}
	}
	i := assign.ChoosePlain(servers, random())
	if i < 0 {
		return nil
	}
	return list[i]
}

func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// maxKept is how many declined lines a call keeps for its end.
const maxKept = 32

// kept is a log line that was declined when it was made.
type kept struct {
	what   string
	at     time.Time
	fields []zap.Field
}

// log writes one line about the call. A line that the log declines under load
// is kept, and written if the call fails.
func (t *task) log(what string, fields ...zap.Field) {
	fields = append(fields, zap.String("request", string(t.call.ID)))
	if ce := t.relay.Log.Check(zap.InfoLevel, what); ce != nil {
		ce.Write(fields...)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.kept) < maxKept {
		t.kept = append(t.kept, kept{what: what, at: time.Now(), fields: fields})
	}
}

// tell writes the declined lines of a call that failed.
func (t *task) tell() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.kept {
		t.relay.Log.Warn(k.what, append(k.fields, zap.Time("at", k.at))...)
	}
	t.kept = nil
}
