package httpc

import (
	"fmt"
)

// Stage is the stage at which a request failed.
type Stage uint8

// The stages of a request.
const (
	Connect Stage = iota // no connection: the request cannot have run
	Write                // the request was not written completely
	Read                 // the response was not read completely
)

func (s Stage) String() string {
	return [...]string{"connect", "write", "read"}[s]
}

// Error is the failure of a request.
type Error struct {
	Stage   Stage
	Written int64 // number of bytes written to the connection
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s after %d bytes: %v", e.Stage, e.Written, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Unsent reports whether no byte of the request was sent.
func (e *Error) Unsent() bool { return e.Written == 0 }
