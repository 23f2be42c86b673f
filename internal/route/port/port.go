package port

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/state/srvtab"
)

// Attempt is one attempt to have a server run a call.
type Attempt struct {
	Call        *call.Call
	Server      *srvtab.Server
	Workspace   ident.Workspace       // empty: the route is public
	Timeout     time.Duration         // after it the response is of no use
	Backup      netip.AddrPort        // engine that keeps a copy of the cache; not valid: none
	Copy        CacheRef              // KV cache to continue from
	LastEventID string                // ID of the last event that the client received
	Domains     []ident.FailureDomain // failure domains of VMs that the call may pass through; nil: all
	Urgency     *int                  // at the engine, 0 (first) to MaxUrgency (last); nil: not stated
}

// MaxUrgency is the urgency of the calls that an engine admits last and preempts first.
const MaxUrgency = 9

// CacheRef identifies the KV cache of a run that continues on another engine.
type CacheRef struct {
	Addr netip.AddrPort // engine that has the cache; not valid: none
	ID   string         // identifies the cache at that engine
}

// Response is a server's response.
type Response struct {
	Via         ident.VM // VM that carries the connection; empty: it is direct
	Status      int
	Fields      []call.HeaderField // as sent by the server, without those of the connection
	CallID      ident.Request      // of the call that the response says it answers; empty: it does not say
	Responder   string             // name of the server that says it responded; empty: it does not say
	Signed      bool               // carries a signature of the server
	NotExecuted bool               // the server says that it did not run the call
	Replaced    bool               // another server responded at the address: the called one has terminated
	EventStream bool               // the body is a series of events
	Delimited   bool               // the end of the body is marked, so truncation is detected
	// Draining reports that the server is draining: it accepts no new calls.
	Draining bool
	// Pause is how long a server that rejects the call wants no calls from this VM;
	// zero: it does not say.
	Pause time.Duration
	// Limit is the request rate, per second, that the server accepts from all VMs
	// together; zero: it states no limit.
	Limit float64
	// Brittle is how many rejections for lack of room a server survives within a second;
	// zero: any number.
	Brittle int
	// Cold is how much longer the server is cold; zero: it is not, or does not say.
	Cold time.Duration
	Body Body
}

// Body is the body of a response. Read returns io.EOF only at the end of a
// complete body. Close closes the connection, and with it ends the server's work.
type Body interface {
	Read(p []byte) (int, error)
	Close() error
}

// CopyResult is the result of an order to copy a run's KV cache.
type CopyResult struct {
	Handle string // identifies the cache at the engine of the run
	Events int    // produced so far
}

// EngineReport is the state that an engine reports of itself, with some delay.
type EngineReport struct {
	Draining  bool
	Remaining time.Duration // until it ends; zero: not known
	StartedAt time.Time     // when it started; zero: not reported
}

// Errors of an order to copy a KV cache.
var (
	ErrNoRun      = errors.New("port: the engine has no such run")
	ErrBusy       = errors.New("port: another order for the run is in progress")
	ErrNoCapacity = errors.New("port: the other engine has no capacity or is unreachable")
)

// SendError is the error of an attempt without a response.
type SendError struct {
	Unsent bool // nothing of the call was sent to the server, so it cannot have run
	// Unreachable reports that the server could not be connected to, and that other VMs
	// or other servers show that this VM's links are not the cause.
	Unreachable bool
	Err         error
}

func (e *SendError) Error() string { return e.Err.Error() }

func (e *SendError) Unwrap() error { return e.Err }

// Backend is a client of the backend servers.
type Backend interface {
	// Send sends the call and returns once the head of the response has arrived. Its
	// error is always a *SendError.
	Send(ctx context.Context, a Attempt) (*Response, error)
	// CopyCache copies the KV cache of a run to another engine. With stopRun it stops the
	// run first.
	CopyCache(ctx context.Context, from *srvtab.Server, id ident.Request, to netip.AddrPort, stopRun bool) (CopyResult, error)
	// Free frees a copy that is not used.
	Free(ctx context.Context, from *srvtab.Server, handle string) error
	// RefusesConnections reports whether the server's address refuses connections,
	// which means that its process has ended. Other connection failures prove
	// nothing.
	RefusesConnections(ctx context.Context, s *srvtab.Server) bool
	// AcceptsConnections reports whether the server still accepts connections shortly after
	// one of them ended. If its process ended with it, it does not.
	AcceptsConnections(ctx context.Context, s *srvtab.Server) bool
}

// ResponseWriter writes the response to the client.
type ResponseWriter interface {
	Started() bool
	WriteResponse(status int, fields []call.HeaderField, body []byte) error
	WriteHeader(status int, fields []call.HeaderField) error
	WriteChunk(p []byte) error
	Finish() error
	Abort()
}

// Refresher reads the newest settings.
type Refresher interface {
	Refresh(ctx context.Context, limit time.Duration) error
}
