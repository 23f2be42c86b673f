package task

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/state/backs"
)

// crashCheckTimeout bounds the check whether a server has terminated: a refused
// connection takes one round trip.
const crashCheckTimeout = 50 * time.Millisecond

// CheckCrash checks whether a server has terminated after its response broke off
// soon after the call started there. A termination is evidence that the request
// crashes servers.
func (t *Task) CheckCrash(ctx context.Context, s *backs.Server) {
	if s.Left() {
		return // it announced its end, so this is not a crash
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	ended := t.Backend.Refuses(ctx, s)
	crashes := 0
	if ended {
		crashes = t.Poison.Crashed(t.Record.Fingerprint, s.ID, time.Now())
	}
	t.Note("answer broke off", zap.String("server", string(s.ID)), zap.Stringer("fingerprint", t.Record.Fingerprint),
		zap.Bool("server-ended", ended), zap.Int("crashes", crashes))
}

// Completed records that a server ran the call to its end.
func (t *Task) Completed() { t.Poison.Completed(t.Record.Fingerprint, time.Now()) }

// QuarantineRefusal returns the refusal of a call whose request is quarantined, or
// nil if it may run.
func (t *Task) Quarantined() *refuse.Refusal {
	now := time.Now()
	until, ok := t.Poison.Until(t.Record.Fingerprint, now)
	if !ok {
		return nil
	}
	remaining := until.Sub(now)
	return refuse.New(refuse.Quarantined, "backend servers crashed when they began to run request %s; it is not sent to others for %s",
		t.Record.Fingerprint, remaining.Round(time.Second)).After(remaining)
}
