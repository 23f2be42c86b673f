package routes

import (
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

// Route says which service serves the paths under a prefix of a host.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      call.Kind
	Timeout   time.Duration // longest time a call may be kept waiting
	Target    time.Duration // latency target: of the answer, or a stream's first event
	Gap       time.Duration // longest pause between two events that is in time; zero: none is set
	Priority  int           // 0 is the most urgent
	Attempts  int           // most backend servers that one call may be sent to
	Public    bool          // needs no API key
	Resumable bool          // a stream may go on in another run after the last event received
	Shares    []Share       // the services that serve it
}

// Share is one service's part of a route's calls.
type Share struct {
	Service ident.Service
	Weight  int
}

// Service is a set of backend servers that serve the same thing.
type Service struct {
	Name        ident.Service
	Health      string  // path of the health check
	Connections int     // most connections a server takes from all VMs
	Engine      *Engine // nil: a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int           // requests that run at once
	Memory     int           // tokens that fit into an engine's cache
	TokenBytes int           // bytes of cache a token takes
	Stride     int           // tokens in one event of a stream
	Mbps       float64       // bandwidth for copies of cache, in Mbit/s
	Moves      bool          // a running generation's cache can be copied to another engine
	Backups    bool          // an engine can send the cache to another as it grows
	CopyTTL    time.Duration // how long an unused copy is kept
}

// Workspace is one team's part of the settings.
type Workspace struct {
	Name     ident.Workspace
	Keys     []string
	Priority int // takes precedence over a route's
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	Header     int // bytes
	Body       int // bytes
	HeaderTime time.Duration
	Idle       time.Duration // between two calls of one connection
}
