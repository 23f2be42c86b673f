// Package final defines how a request ended: the one record that logs,
// metrics and the report on service-level burn are made from.
package final

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
)

// Outcome is one of the ends of a request.
type Outcome uint8

// The outcomes.
const (
	Complete Outcome = iota // the caller has the whole answer
	Refused                 // the caller has a refusal
	Left                    // the caller went away before the end
)

func (o Outcome) String() string {
	return [...]string{"complete", "refused", "left"}[o]
}

// Record describes one finished request. It holds no prompt text and no key.
type Record struct {
	Request     ident.Request
	Workspace   ident.Workspace
	Service     ident.Service
	Class       ident.Class
	Server      ident.Server
	Outcome     Outcome
	Refusal     *refuse.Refusal // of a refused request
	Start       time.Time
	Queued      time.Duration // wait for a place on an engine
	First       time.Duration // time to the first token or to the answer
	Total       time.Duration
	Stall       time.Duration // time without progress past the expected pace
	Preemptions int
	Resumes     int
	Reruns      int
	Tokens      int
	Slow        int // tokens that came later than the expected gap
	Bytes       int
}

// Recorder takes the record of each finished request, once.
type Recorder interface {
	Done(r *Record)
	// Gap notes the time between two tokens of one stream.
	Gap(d time.Duration)
}
