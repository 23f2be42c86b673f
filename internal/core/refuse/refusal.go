package refuse

import (
	"fmt"
	"time"

	"umberladder/internal/core/ident"
)

// Rule names what set the limit that a refusal met.
type Rule struct {
	Path     string  // settings path, for instance /workspaces/a/limits/concurrency
	Version  uint64  // version of the settings value that holds it
	Limit    float64 // the limit, in the unit its path documents
	Observed float64 // the figure that met it
}

// Refusal is the truthful end of a request that was not served. It is an
// error, so that each layer returns it like any other.
type Refusal struct {
	Reason     Reason
	Ran        Ran
	Request    ident.Request
	Workspace  ident.Workspace
	VM         ident.VM
	At         time.Time
	Rule       Rule
	RetryAfter time.Duration // zero: coming back as is won't help
	Detail     string
}

// New makes a refusal of a request that never ran.
func New(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// With sets what is known of whether the request ran.
func (r *Refusal) With(ran Ran) *Refusal {
	r.Ran = ran
	return r
}

// Under names the rule that was met.
func (r *Refusal) Under(rule Rule) *Refusal {
	r.Rule = rule
	return r
}

// After sets when the caller should come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, ran: %s): %s", r.Reason, r.Ran, r.Detail)
}

// Explain returns the refusal as plain sentences.
func (r *Refusal) Explain() string {
	s := r.Reason.Title() + "."
	if r.Detail != "" {
		s += "\n" + r.Detail + "."
	}
	if r.Rule.Path != "" {
		s += fmt.Sprintf("\nThe limit was %g and the figure at that moment %g; it was set at %s, version %d.",
			r.Rule.Limit, r.Rule.Observed, r.Rule.Path, r.Rule.Version)
	}
	s += "\n" + ranSentence(r.Ran)
	if r.RetryAfter > 0 {
		s += fmt.Sprintf("\nThe caller was told to come back after %s.", r.RetryAfter)
	}
	return s
}

func ranSentence(r Ran) string {
	switch r {
	case RanNo:
		return "The request never ran."
	case RanPartial:
		return "The request ran in part; what reached the caller is all there is."
	default:
		return "The request may have run."
	}
}
