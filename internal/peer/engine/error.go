package engine

import (
	"fmt"
	"time"
)

// Fault says how a call to an engine failed.
type Fault uint8

// The faults.
const (
	Unsent  Fault = iota // nothing was written: it can't have run
	Refused              // the engine said that it did not start
	Unknown              // the engine knows no such generation
	Maybe                // written, and no word came back
	Broken               // the stream broke off; it may be resumed
	Silent               // nothing came for the longest silence allowed
	Invalid              // the engine broke its protocol
)

func (f Fault) String() string {
	return [...]string{"unsent", "refused", "unknown", "maybe", "broken", "silent", "invalid"}[f]
}

// Error is a failed call to an engine.
type Error struct {
	Fault      Fault
	RetryAfter time.Duration // set by an engine that refused
	Err        error
}

func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %v", e.Fault, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the failed start provably never ran.
func (e *Error) NotRun() bool { return e.Fault == Unsent || e.Fault == Refused }
