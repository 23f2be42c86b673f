package task

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/routes"
)

// Config holds the settings of the deployment.
type Config struct {
	Domain ident.Domain
	// RevokeDelay returns how long an API key may still be served after it ended.
	Revoke func() time.Duration
	// ApplyDelay returns how long a change of the settings may take to be in force.
	Apply func() time.Duration
}

// Deps holds the dependencies for serving calls.
type Parts struct {
	Config   Config
	Settings *routes.Book
	Refresh  port.Refresher
	Servers  *backs.Table
	Seats    *seats.Book
	Budget   Budget
	Health   *health.Book
	Rates    *rates.Book
	Poison   *poison.Book
	Places   Placer
	Backend  port.Backend
	Clock    awake.Clock
	Log      *zap.Logger
	Group    *errgroup.Group
	Count    Counter
}

// Budget limits the attempts beyond the first of each call, over all VMs.
type Budget interface {
	Earn(service ident.Service, now time.Time)
	Spend(service ident.Service, now time.Time) bool
}

// Placer decides where runs go. Its error is pick.ErrNoServer, a
// *pick.NoCapacityError or the context's error.
type Placer interface {
	Place(ctx context.Context, r pick.Want) (pick.Spot, error)
}

// Counter counts the results of calls.
type Counter interface {
	Ended(r *End)
}

// Result describes how a call was served and how it ended.
type End struct {
	Call        *call.Call
	Fingerprint call.Fingerprint // zero: the call was refused before its workspace was known
	Route       *routes.Route    // nil: none was found
	Service     ident.Service
	Server      ident.Server
	Status      int             // sent to the client; zero: none
	Refusal     *refuse.Refusal // nil: a server's response was delivered
	Queued      time.Duration   // total wait for capacity on an engine
	First       time.Duration   // until the response or its first event
	Total       time.Duration
	Sent        int // attempts, including the first
	Moves       int // migrations of the stream to another engine
	Events      int
	Gap         time.Duration // longest time between two events
	Version     uint64        // version of the settings
	Age         time.Duration // time since the settings were known to be the newest
}
