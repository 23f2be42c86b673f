package refuse

import (
	"fmt"
	"time"

	"umberladder/internal/core/ident"
)

// Rule identifies the setting whose limit caused a refusal.
type Rule struct {
	Path     string  // settings path, for instance /workspaces/a/limits/concurrency
	Version  uint64  // version of the settings value that holds it
	Limit    float64 // the limit, in the unit its path documents
	Observed float64 // the value that reached the limit
}

// Refusal describes a request that was not served. It implements error, so that all layers
// can return it.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	Request    ident.Request
	Workspace  ident.Workspace
	VM         ident.VM
	At         time.Time
	Rule       Rule
	RetryAfter time.Duration // zero: a retry of the same request won't help
	Detail     string
}

// New returns a refusal of a request that never ran.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRan sets whether the request ran.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// WithRule sets the rule that caused the refusal.
func (r *Refusal) WithRule(rule Rule) *Refusal {
	r.Rule = rule
	return r
}

// WithRetryAfter sets the time after which the client should retry.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// Explain returns the refusal as sentences, one per line.
func (r *Refusal) Explain() string {
	s := r.Reason.Title() + "."
	if r.Detail != "" {
		s += "\n" + r.Detail + "."
	}
	if r.Rule.Path != "" {
		s += fmt.Sprintf("\nThe limit was %g and the figure at that moment %g; it was set at %s, version %d.",
			r.Rule.Limit, r.Rule.Observed, r.Rule.Path, r.Rule.Version)
	}
	s += "\n" + executionSentence(r.Ran)
	if r.RetryAfter > 0 {
		s += fmt.Sprintf("\nThe caller was told to come back after %s.", r.RetryAfter)
	}
	return s
}

func executionSentence(r Ran) string {
	switch r {
	case RanNo:
		return "The request never ran."
	case RanPartial:
		return "The request ran in part; what reached the caller is all there is."
	default:
		return "The request may have run."
	}
}
