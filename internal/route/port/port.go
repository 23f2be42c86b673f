package port

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/state/backs"
)

// Send is one sending of a call to a server.
type Send struct {
	Call      *call.Call
	Server    *backs.Server
	Workspace ident.Workspace // empty: the route is public
	Left      time.Duration   // how long the answer is of use
	Backup    netip.AddrPort  // engine that keeps a copy of the cache; not valid: none
	Copy      Copy            // cache to go on from
	After     string          // identifier of the last event the client has
}

// Copy names the cache of a run that goes on elsewhere.
type Copy struct {
	At netip.AddrPort // not valid: none
	ID string
}

// Answer is a server's answer.
type Answer struct {
	Status int
	Fields []call.Field // as the server sent them, without the connection's own
	Signed bool         // bears the server's signature
	NotRun bool         // the server says that it did not run the call
	Gone   bool         // another server answers at the address: the one that was called is gone
	Framed bool         // the end of the body is marked
	// Leaving says that the server is draining: it takes no new calls.
	Leaving bool
	// Pause is how long a server that rejects the call wants none of this VM; zero: it
	// does not say.
	Pause time.Duration
	// Limit is the request rate, per second, that the server accepts from all VMs
	// together; zero: it states no limit.
	Limit float64
	Body  Body
}

// Body is the rest of an answer. Read returns io.EOF only at the end of a
// whole body. Close ends the connection, and with it the server's work.
type Body interface {
	Read(p []byte) (int, error)
	Close() error
}

// Moved is the outcome of an order to copy a run's cache.
type Moved struct {
	Handle string
	Events int // made so far
}

// Report is what an engine says of itself, as of some time ago.
type Report struct {
	Leaving bool
	Left    time.Duration // until it ends; zero: not known
	Born    time.Time     // when it started; zero: it does not tell
}

// Errors of an order to copy.
var (
	ErrNoRun  = errors.New("port: the engine has no such run")
	ErrBusy   = errors.New("port: an order for the run is under way")
	ErrNoRoom = errors.New("port: the other engine has no room or can't be reached")
)

// SendError is a sending without an answer.
type SendError struct {
	Unsent bool // nothing of the call left this VM: it can't have run
	Err    error
}

func (e *SendError) Error() string { return e.Err.Error() }

func (e *SendError) Unwrap() error { return e.Err }

// Backend speaks to backend servers.
type Backend interface {
	// Send sends the call and returns once the head of the answer is there. Its
	// error is always a *SendError.
	Send(ctx context.Context, s Send) (*Answer, error)
	// Move copies the cache of a run to another engine; with last the run stops first.
	Move(ctx context.Context, from *backs.Server, id ident.Request, to netip.AddrPort, last bool) (Moved, error)
	// Free gives up a copy that is not used.
	Free(ctx context.Context, from *backs.Server, handle string) error
	// Refuses reports whether the server's address refuses connections: its process has
	// ended. A connection that fails in another way proves nothing.
	Refuses(ctx context.Context, s *backs.Server) bool
}

// Reply writes the answer to the client.
type Reply interface {
	Begun() bool
	Whole(status int, fields []call.Field, body []byte) error
	Start(status int, fields []call.Field) error
	Piece(p []byte) error
	End() error
	Abort()
}

// Refresher reads the settings anew.
type Refresher interface {
	Refresh(ctx context.Context, limit time.Duration) error
}
