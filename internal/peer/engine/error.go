package engine

import (
	"fmt"
	"time"
)

// ErrorKind classifies a failed call to an engine.
type ErrorKind uint8

// The kinds of errors.
const (
	Unsent         ErrorKind = iota // nothing was written: the generation can't have run
	Rejected                        // the engine responded that it did not start the generation
	NotFound                        // the engine has no such generation
	OutcomeUnknown                  // the request was written, but whether it ran is not known
	Interrupted                     // the stream was interrupted; it can be resumed
	Timeout                         // nothing was received within the idle timeout
	Invalid                         // the response violates the protocol
)

func (k ErrorKind) String() string {
	return [...]string{"unsent", "refused", "unknown", "maybe", "broken", "silent", "invalid"}[k]
}

// Error is a failed call to an engine.
type Error struct {
	Kind       ErrorKind
	RetryAfter time.Duration // delay requested by an engine that refused; zero if none
	Err        error
}

func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %v", e.Kind, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the generation is known not to have run.
func (e *Error) NotRun() bool { return e.Kind == Unsent || e.Kind == Rejected }
