package routes

import (
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

// Route says which service serves the paths under a prefix of a host.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          call.Kind
	Timeout       time.Duration  // maximum time for which a call may be kept waiting
	LatencyTarget time.Duration  // latency target of the response, or of a stream's first event
	GapTarget     time.Duration  // target for the time between two events; zero if there is none
	Priority      int            // 0 is the most urgent
	MaxAttempts   int            // maximum number of backend servers that one call is sent to
	Public        bool           // calls need no API key
	Resumable     bool           // another run may continue a stream after the last event received
	Shares        []Share        // the services that serve the route
	Regions       []ident.Region // the calls may run only in these regions; empty: in all
}

// Share is one service's share of a route's calls, relative to the weights of the others.
type Share struct {
	Service ident.Service
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           ident.Service
	HealthPath     string        // path of the health check
	MaxConnections int           // maximum number of connections from all VMs to one server
	ColdTime       time.Duration // how long a server is cold after it starts; zero: not at all
	ColdRate       float64       // requests per second that a cold server tolerates
	Engine         *Engine       // nil for a service whose servers are not engines
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots            int           // number of requests that run concurrently
	KVCapacityTokens int           // capacity of the KV cache, in tokens
	KVTokenBytes     int           // bytes per token in the KV cache
	TokensPerEvent   int           // tokens per event of a stream
	LinkMbps         float64       // bandwidth for KV cache copies, in Mbit/s
	CanMigrate       bool          // whether the KV cache of a running generation can be copied to another engine
	CanBackUp        bool          // whether the KV cache can be sent to a backup engine as it grows
	CopyTTL          time.Duration // how long an unused KV cache copy is kept
}

// Workspace holds the settings of one team.
type Workspace struct {
	Name     ident.Workspace
	Keys     []string
	Priority *int           // replaces the priority of a route; nil: the workspace states none
	Regions  []ident.Region // the workspace's calls may run only in these regions; empty: in all
}

// Limits bound the size of a client's requests and the time that the client may take.
type Limits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration // between two calls on one connection
}
