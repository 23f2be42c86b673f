package task

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/poison"
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
	ended, now := t.Backend.RefusesConnections(ctx, s), time.Now()
	crashes := 0
	if ended {
		crashes = t.Poison.RecordCrash(t.Result.Suspects, s.ID, now)
	} else {
		t.Poison.RecordUnconfirmed(t.Result.Suspects, s.ID, now)
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

// RecordPass records that a server got past the beginning of its response, during which some
// requests crash it.
func (t *Task) RecordPass(s *srvtab.Server) { t.Poison.RecordPass(t.Result.Suspects, s.ID, time.Now()) }

// RecordResponse records that a server sent a complete response. An internal error says nothing
// about what the request does to servers: it may have been sent before the request ran.
func (t *Task) RecordResponse(s *srvtab.Server, status int) {
	if status < http.StatusInternalServerError {
		t.RecordPass(s)
	}
}

// IdentifySuspects sets what of the call may make servers of its service crash.
func (t *Task) IdentifySuspects() {
	t.Result.Suspects = poison.Suspects(t.Result.Fingerprint, t.Call.PartFingerprints(t.Service.Name))
}

// QuarantineRefusal returns the refusal of a call whose request, or a part of whose prompt, is
// quarantined, or nil if it may run.
func (t *Task) QuarantineRefusal() *refuse.Refusal {
	now := time.Now()
	s, until, ok := t.Poison.Quarantined(t.Result.Suspects, now)
	if !ok {
		return nil
	}
	remaining := until.Sub(now)
	if s.Depth == poison.WholeRequest {
		return refuse.New(refuse.Quarantined, "backend servers crashed when they began to run request %s; it is not sent to others for %s",
			s.ID, remaining.Round(time.Second)).WithRetryAfter(remaining)
	}
	return refuse.New(refuse.PartQuarantined, "backend servers crashed when they began to run requests with part %.40q of the prompt, fingerprint %s; such requests are not sent to others for %s",
		t.Call.PromptParts[s.Depth-1].ID, s.ID, remaining.Round(time.Second)).WithRetryAfter(remaining)
}
