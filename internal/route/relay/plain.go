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

// reply is a whole answer.
type whole struct {
	status int
	fields []call.Field
	signed bool
	notRun bool
	body   []byte
}

// plain serves a call with one whole answer.
func (t *task) plain(ctx context.Context) *refuse.Refusal {
	tried := make(map[ident.Server]bool)
	var last *whole
	refusal := refuse.New(refuse.NoServer, "no server of service %s takes work", t.service.Name).After(roomRetry)
	for unsent := 0; t.record.Sent < t.route.Attempts && unsent < maxUnsent; {
		if t.record.Sent > 0 && !t.relay.Budget.Spend(t.service.Name, time.Now()) {
			t.log("no retry", zap.String("reason", "the retry budget is used up"))
			break
		}
		s := t.pickPlain(tried)
		if s == nil {
			break
		}
		tried[s.ID] = true
		a, err := t.ask(ctx, s)
		if err != nil {
			var se *port.SendError
			if errors.As(err, &se) && se.Unsent {
				unsent++
				t.log("server not reached", zap.String("server", string(s.ID)), zap.Error(err))
				if ctx.Err() != nil {
					return t.over(ctx, refusal.Ran)
				}
				continue
			}
			t.record.Sent++
			if ctx.Err() != nil {
				return t.over(ctx, refuse.RanMaybe)
			}
			t.log("no whole answer", zap.String("server", string(s.ID)), zap.Error(err))
			refusal = refuse.New(refuse.ServerDied, "server %s broke off: %v", s.ID, err).With(refuse.RanMaybe)
			last = nil
			if t.route.Kind != call.Idempotent {
				break
			}
			continue
		}
		t.record.Sent++
		if a.notRun {
			refusal = refuse.New(refuse.ServerRefused, "server %s did not take the call, with status %d", s.ID, a.status).With(refusal.Ran).After(shedRetry)
			continue
		}
		if a.status < http.StatusInternalServerError {
			return t.deliver(a)
		}
		last = a
		refusal = refuse.New(refuse.ServerDied, "server %s failed with status %d", s.ID, a.status).With(refuse.RanMaybe)
		if t.route.Kind != call.Idempotent {
			break
		}
	}
	if last != nil {
		return t.deliver(last)
	}
	return truthful(refusal)
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
