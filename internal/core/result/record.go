// Package result defines the record of a finished request, from which logs, metrics and
// the burn-rate report of service-level objectives are derived.
package result

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
)

// Outcome says how a request ended.
type Outcome uint8

// The outcomes.
const (
	Complete  Outcome = iota // the client has the complete response
	Refused                  // the client received a refusal
	Abandoned                // the client disconnected before the end
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
	Refusal     *refuse.Refusal // set if Outcome is Refused
	Start       time.Time
	QueueTime   time.Duration // time in the queue for an engine
	TimeToFirst time.Duration // time to the first token or to the response
	Total       time.Duration
	Stall       time.Duration // time without progress beyond the expected token gap
	Preemptions int           // number of times that an engine paused the generation
	Resumes     int           // number of times that the token stream was resumed on a new connection
	Reruns      int           // number of times that the request was run again on another engine
	Tokens      int
	LateTokens  int // tokens after a longer gap than expected
	Bytes       int
}

// Recorder receives records of finished requests.
type Recorder interface {
	// RecordRequest records a finished request. It is called once for each request.
	RecordRequest(r *Record)
	// RecordGap records the time between two tokens of one stream.
	RecordGap(d time.Duration)
}
