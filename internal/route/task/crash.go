package task

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/state/backs"
)

// checkTime bounds the check whether a server has ended: a refused connection takes one
// round trip.
const checkTime = 50 * time.Millisecond

// CheckCrash checks whether a server has ended whose answer broke off soon after the call
// had begun to run there, which is evidence against the request.
func (t *Task) CheckCrash(ctx context.Context, s *backs.Server) {
	if s.Left() {
		return // it has announced its end
	}
	ctx, cancel := context.WithTimeout(ctx, checkTime)
	defer cancel()
	ended := t.Backend.Refuses(ctx, s)
	crashes := 0
	if ended {
		crashes = t.Poison.Crashed(t.Record.Fingerprint, s.ID, time.Now())
	}
	t.Note("answer broke off", zap.String("server", string(s.ID)), zap.Stringer("fingerprint", t.Record.Fingerprint),
		zap.Bool("server-ended", ended), zap.Int("crashes", crashes))
}

// Completed notes that a server ran the call to its end.
func (t *Task) Completed() { t.Poison.Completed(t.Record.Fingerprint, time.Now()) }

// Quarantined refuses a call whose request is quarantined; nil: it may run.
func (t *Task) Quarantined() *refuse.Refusal {
	now := time.Now()
	until, ok := t.Poison.Until(t.Record.Fingerprint, now)
	if !ok {
		return nil
	}
	left := until.Sub(now)
	return refuse.New(refuse.Quarantined, "backend servers crashed when they began to run request %s; it is not sent to others for %s",
		t.Record.Fingerprint, left.Round(time.Second)).After(left)
}
