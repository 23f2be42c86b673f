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
	"umberladder/internal/route/port"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/routes"
)

// RoomRetry is when a call refused for want of a server should come back.
const RoomRetry = 500 * time.Millisecond

// ErrTimeout is the cause that ends a call's context at its end.
var ErrTimeout = errors.New("task: the time allowed is over")

// Task is one call on its way, once its route is known.
type Task struct {
	Parts
	Call      *call.Call
	Reply     port.Reply
	Route     *routes.Route
	Service   *routes.Service
	Workspace ident.Workspace
	End       time.Time // no answer is of use after it
	Record    End

	mu   sync.Mutex // guards kept: orders to engines log beside the call
	kept []kept
}

// Left returns how long an answer is still of use.
func (t *Task) Left() time.Duration { return time.Until(t.End) }

// Over returns the refusal of a call whose time or client is gone. The call
// has not been written to any server that may still run it unless ran says so.
func (t *Task) Over(ctx context.Context, ran refuse.Ran) *refuse.Refusal {
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		r := refuse.New(refuse.TimedOut, "no answer within the %s allowed", t.End.Sub(t.Call.Arrived)).With(ran)
		if ran == refuse.RanNo {
			r.Reason = refuse.WaitedOut
		}
		return r
	}
	return refuse.New(refuse.CallerLeft, "the client closed the connection after %s", time.Since(t.Call.Arrived).Round(time.Millisecond)).With(ran)
}

const (
	// patientUnsent is how many servers that can't be connected to are passed over
	// in any case.
	patientUnsent = 3
	// mostUnsent is how many are passed over at most. A refused connection costs
	// little, and in an outage of the store many servers may have gone unnoticed.
	mostUnsent = 12
	// unsentShare is the share of the latency target in which more than
	// patientUnsent are passed over.
	unsentShare = 0.5
)

// PassOver reports whether another server is to be tried after unsent ones could
// not be connected to.
func (t *Task) PassOver(unsent int) bool {
	if unsent < patientUnsent {
		return true
	}
	return unsent < mostUnsent && time.Since(t.Call.Arrived) < time.Duration(unsentShare*float64(t.Route.Target))
}

// Lost notes that a server is gone: another one answers at its address. Its entry
// outlives it.
func (t *Task) Lost(s *backs.Server) {
	if t.Servers.Left(s.ID) {
		t.Note("server gone", zap.String("server", string(s.ID)), zap.Stringer("address", s.Addr), zap.String("reason", "another server answers at its address"))
	}
}

// Observe takes what an answer says of its server. One that drains is taken out of use:
// its entry may say so much later, or never. One that wants no calls for a time gets
// none from this VM. A rate limit is recorded and applies to all VMs together. sent is
// when the request was sent, and serves to order limits that were stated at different times.
func (t *Task) Observe(s *backs.Server, a *port.Answer, sent time.Time) {
	now := time.Now()
	if !a.Gone {
		t.Rates.Observe(s.ID, a.Limit, sent, now)
	}
	if a.Leaving && t.Servers.Drain(s.ID, now) {
		t.Note("server drains", zap.String("server", string(s.ID)), zap.String("reported-by", "itself"))
	}
	if a.Pause > 0 {
		t.Health.Pause(s.ID, a.Pause, now)
		t.Note("server wants a pause", zap.String("server", string(s.ID)), zap.Duration("pause", a.Pause))
	}
}

// NoServer refuses a call for which no server takes work now. Where all servers of the
// service want a pause, the client should come back after the shortest.
func (t *Task) NoServer() *refuse.Refusal {
	now := time.Now()
	retry, limited := time.Duration(0), 0
	for _, s := range t.Servers.View().Service(t.Service.Name) {
		if t.Rates.IsLimited(s.ID, now) {
			limited++
		}
		if left := t.Health.Paused(s.ID, now); left > 0 && (retry == 0 || left < retry) {
			retry = left
		}
	}
	r := refuse.New(refuse.NoServer, "no server of service %s takes work", t.Service.Name)
	if limited > 0 {
		r.Detail += fmt.Sprintf(", %d of them limit their requests", limited)
	}
	return r.After(max(retry, RoomRetry))
}

// Deliver writes a whole answer to the client.
func (t *Task) Deliver(a *Whole) *refuse.Refusal {
	t.Record.Status = a.Status
	t.Record.First = time.Since(t.Call.Arrived)
	if err := t.Reply.Whole(a.Status, a.Fields, a.Body); err != nil {
		return refuse.New(refuse.CallerLeft, "the answer could not be written: %v", err).With(refuse.RanMaybe)
	}
	return nil
}

// Whole is a whole answer.
type Whole struct {
	Status int
	Fields []call.Field
	NotRun bool // the server says that it did not run the call
	Gone   bool // another server answered in its place
	Body   []byte
}

// Truthful gives a refusal of a call that may have run a status that promises
// nothing.
func Truthful(r *refuse.Refusal) *refuse.Refusal {
	if r.Ran != refuse.RanNo && r.Reason.Status() == http.StatusServiceUnavailable {
		r.Reason = refuse.ServerDied
	}
	return r
}

// IsUnsent reports whether nothing of a call left this VM.
func IsUnsent(err error) bool {
	var se *port.SendError
	return errors.As(err, &se) && se.Unsent
}

// maxKept is how many declined lines a call keeps for its end.
const maxKept = 32

// kept is a log line that was declined when it was made.
type kept struct {
	what   string
	at     time.Time
	fields []zap.Field
}

// Note writes one line about the call. A line that the log declines under load
// is kept, and written if the call fails.
func (t *Task) Note(what string, fields ...zap.Field) {
	fields = append(fields, zap.String("request", string(t.Call.ID)))
	if ce := t.Log.Check(zap.InfoLevel, what); ce != nil {
		ce.Write(fields...)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.kept) < maxKept {
		t.kept = append(t.kept, kept{what: what, at: time.Now(), fields: fields})
	}
}

// Tell writes the declined lines of a call that failed.
func (t *Task) Tell() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.kept {
		t.Log.Warn(k.what, append(k.fields, zap.Time("at", k.at))...)
	}
	t.kept = nil
}
