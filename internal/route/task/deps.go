package task

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/uptime"
	"umberladder/internal/policy/expect"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/hold"
	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/reject"
	"umberladder/internal/policy/stop"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/port"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

// Config holds the settings of the deployment.
type Config struct {
	Domain ident.FailureDomain
	// RevokeDelay returns how long an API key may still be served after it ended.
	RevokeDelay func() time.Duration
	// ApplyDelay returns how long a change of the settings may take to be in force.
	ApplyDelay func() time.Duration
	// Regions are the regions of the failure domains.
	Regions map[ident.FailureDomain]ident.Region
	// ColdLimit returns how many requests a cold server may get within a second from all
	// VMs, given the rate that its service states; zero: any number.
	ColdLimit func(rate float64) float64
	// WorkspaceWeight returns the weight of a workspace where workspaces compete for too little
	// capacity; nil: all weights are 1.
	WorkspaceWeight func(w ident.Workspace) float64
	// Preemption returns whether streams state the priorities of their workspaces to engines, which
	// then preempt less urgent ones; nil: they do not.
	Preemption func() bool
}

// Deps holds the dependencies for serving calls.
type Deps struct {
	Config    Config
	Settings  *routes.Current
	Refresher port.Refresher
	Servers   *srvtab.Table
	Alloc     *alloc.Tracker
	Budget    Budget
	Health    *health.Tracker
	Rates     *rates.Limiter
	Reject    *reject.Tracker
	Timings   *timing.Tracker
	Durations *expect.Longest[string] // of calls that were sent to a server, by the name of the route
	Speeds    Speeds
	Stop      *stop.Shutdown
	Held      *hold.Pool
	Poison    *poison.Detector
	Placer    Placer
	Origins   Origins
	Backend   port.Backend
	Clock     uptime.Clock
	Log       *zap.Logger
	Group     *errgroup.Group
	Recorder  Recorder
}

// Budget limits the attempts beyond the first of each call, over all VMs.
type Budget interface {
	RecordFirstAttempt(service ident.Service, now time.Time)
	AllowRetry(service ident.Service, now time.Time) bool
	// ReturnRetry returns a retry that was allowed at the given time and has not been sent.
	ReturnRetry(service ident.Service, allowedAt time.Time)
}

// Speeds returns the engines of a service whose time per token is known, and the median.
type Speeds func(service ident.Service, now time.Time) ([]pace.Speed, time.Duration)

// Placer decides where runs go. Its error is pick.ErrNoServer, a
// *pick.NoCapacityError or the context's error.
type Placer interface {
	Place(ctx context.Context, r pick.Request) (pick.Placement, error)
}

// Origins knows which version of the software began the streams that clients take up.
type Origins interface {
	// Began records that the first event of a stream is about to be forwarded. recordOnly says
	// that nothing but the record will show the origin.
	Began(r origin.Record, recordOnly bool)
	// Completed drops the record of a stream.
	Completed(s origin.Stream)
	// Find returns what began a stream, at most lifetime ago, whose route has led to one service
	// since, or to several if service is empty. Its error is an origin.ErrUnknown.
	Find(ctx context.Context, s origin.Stream, service ident.Service, lifetime time.Duration) (origin.Origin, error)
}

// Recorder records the results of calls.
type Recorder interface {
	RecordResult(r *Result)
}

// Result describes how a call was served and how it ended.
type Result struct {
	Call            *call.Call
	Fingerprint     call.Fingerprint // zero: the call was refused before its workspace was known
	Suspects        []poison.Suspect // what may make servers crash: the request, and parts of its prompt
	Route           *routes.Route    // nil: none was found
	Service         ident.Service
	Server          ident.Server
	Version         ident.Version   // of the software of Server
	Origin          origin.Source   // where the version that began the stream was found; empty: the call takes up none
	Via             ident.VM        // VM through which the server was reached last; empty: directly
	Status          int             // sent to the client; zero: none
	Refusal         *refuse.Refusal // nil: a server's response was delivered
	QueueTime       time.Duration   // total wait for capacity on an engine
	TimeToFirst     time.Duration   // until the response or its first event
	Total           time.Duration
	Attempts        int // attempts, including the first
	Migrations      int // migrations of the stream to another engine
	Events          int
	MaxEventGap     time.Duration // longest time between two events
	CloseDelimited  bool          // only the end of the server's last connection marked the end of its response
	SettingsVersion uint64        // version of the settings
	SettingsAge     time.Duration // time since the settings were known to be the newest
}
