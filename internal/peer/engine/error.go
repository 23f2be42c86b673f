package engine

import (
	"fmt"
	"time"
)

// ErrorKind classifies a failed call to an engine.
type Fault uint8

// The kinds of errors.
const (
	Unsent  Fault = iota // nothing was written: the generation can't have run
	Refused              // the engine responded that it did not start the generation
	Unknown              // the engine has no such generation
	Maybe                // the request was written, but whether it ran is not known
	Broken               // the stream was interrupted; it can be resumed
	Silent               // nothing was received within the idle timeout
	Invalid              // the response violates the protocol
)

func (f Fault) String() string {
	return [...]string{"unsent", "refused", "unknown", "maybe", "broken", "silent", "invalid"}[f]
}

// Error is a failed call to an engine.
type Error struct {
	Fault      Fault
	RetryAfter time.Duration // delay requested by an engine that refused; zero if none
	Err        error
}

func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %v", e.Fault, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the generation is known not to have run.
func (e *Error) NotRun() bool { return e.Fault == Unsent || e.Fault == Refused }
