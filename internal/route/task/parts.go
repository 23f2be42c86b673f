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

// Config is what varies between deployments.
type Config struct {
	Domain ident.Domain
	// Revoke returns how long after its end an API key may still be served.
	Revoke func() time.Duration
	// Apply returns how long a change of the settings may take to be in force.
	Apply func() time.Duration
}

// Parts are what calls are served with.
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

// Budget bounds sendings beyond the first of each call, over all VMs.
type Budget interface {
	Earn(service ident.Service, now time.Time)
	Spend(service ident.Service, now time.Time) bool
}

// Placer decides where runs go. Its error is pick.ErrNoServer, a
// *pick.NoRoomError or the context's.
type Placer interface {
	Place(ctx context.Context, w pick.Want) (pick.Spot, error)
}

// Counter counts how calls end.
type Counter interface {
	Ended(e *End)
}

// End tells how a call ended.
type End struct {
	Call        *call.Call
	Fingerprint call.Fingerprint // zero: the call was refused before its workspace was known
	Route       *routes.Route    // nil: none was found
	Service     ident.Service
	Server      ident.Server
	Status      int             // sent to the client; zero: none
	Refusal     *refuse.Refusal // nil: answered by a server
	Queued      time.Duration   // wait for room at an engine
	First       time.Duration   // until the answer or its first event
	Total       time.Duration
	Sent        int // sendings
	Moves       int // times a stream went on at another engine
	Events      int
	Gap         time.Duration // longest pause between two events
	Version     uint64        // of the settings
	Age         time.Duration // of the knowledge that they are the newest
}
