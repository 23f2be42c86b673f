package link

import (
	"fmt"
)

// Stage says where an exchange failed.
type Stage uint8

// The stages of an exchange.
const (
	Connect Stage = iota // no connection: the request can't have run
	Write                // the request was not written whole
	Read                 // the answer was not read whole
)

func (s Stage) String() string {
	return [...]string{"connect", "write", "read"}[s]
}

// Error is the failure of one exchange.
type Error struct {
	Stage   Stage
	Written int64 // bytes handed to the network
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s after %d bytes: %v", e.Stage, e.Written, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// Unsent reports whether no byte of the request left this VM.
func (e *Error) Unsent() bool { return e.Written == 0 }
