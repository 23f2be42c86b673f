package task

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/state/srvtab"
)

// crashCheckTimeout bounds the check whether a server has terminated: a refused
// connection takes one round trip.
const crashCheckTimeout = 50 * time.Millisecond

// CheckCrash handles a response that broke off soon after the call started at the
// server. It checks whether the server has terminated, which is evidence that the
// request crashes servers.
func (t *Task) CheckCrash(ctx context.Context, s *srvtab.Server) {
	if s.IsRetired() {
		return // its end was announced, so it is not a crash
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	ended := t.Backend.RefusesConnections(ctx, s)
	crashes := 0
	if ended {
		crashes = t.Poison.RecordCrash(t.Result.Fingerprint, s.ID, time.Now())
	}
	t.LogInfo("answer broke off", zap.String("server", string(s.ID)), zap.Stringer("fingerprint", t.Result.Fingerprint),
		zap.Strings("prompt-parts", t.sharedPartIDs()), zap.Bool("server-ended", ended), zap.Int("crashes", crashes))
}

// sharedPartIDs returns the identifiers of the parts of the prompt that other requests may
// share: all but the last.
func (t *Task) sharedPartIDs() []string {
	var out []string
	for _, p := range t.Call.SharedParts() {
		out = append(out, p.ID)
	}
	return out
}

// Completed records that a server ran the call to its end.
func (t *Task) Completed() { t.Poison.RecordCompletion(t.Result.Fingerprint, time.Now()) }

// QuarantineRefusal returns the refusal of a call whose request is quarantined, or
// nil if it may run.
func (t *Task) QuarantineRefusal() *refuse.Refusal {
	now := time.Now()
	until, ok := t.Poison.QuarantinedUntil(t.Result.Fingerprint, now)
	if !ok {
		return nil
	}
	remaining := until.Sub(now)
	return refuse.New(refuse.Quarantined, "backend servers crashed when they began to run request %s; it is not sent to others for %s",
		t.Result.Fingerprint, remaining.Round(time.Second)).WithRetryAfter(remaining)
}
