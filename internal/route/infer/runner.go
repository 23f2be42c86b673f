package infer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/result"
	"umberladder/internal/core/token"
	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
)

// Config holds the timeouts and retry limits of streams.
type Config struct {
	TokenTimeout     time.Duration // maximum time without a token from a live engine
	DetachTimeout    time.Duration // how long an engine continues a generation that nobody reads
	ResumeDelay      time.Duration // initial backoff before a generation is resumed
	ResumeDelayLimit time.Duration // maximum backoff
	ResumeTries      int           // consecutive failed resumes after which an engine is considered lost
	StartTries       int           // maximum number of engines tried while each provably did not start the generation
	FirstTokenPace   time.Duration // expected time to the first token
	TokenPace        time.Duration // expected time between two tokens
}

// DefaultConfig returns the values that docs/SETTINGS.md lists.
func DefaultConfig() Config {
	return Config{
		TokenTimeout:     60 * time.Second,
		DetachTimeout:    15 * time.Second,
		ResumeDelay:      100 * time.Millisecond,
		ResumeDelayLimit: time.Second,
		ResumeTries:      4,
		StartTries:       3,
		FirstTokenPace:   440 * time.Millisecond,
		TokenPace:        100 * time.Millisecond,
	}
}

// EngineClient is the part of the engine protocol that streams use.
type EngineClient interface {
	Start(ctx context.Context, addr netip.AddrPort, s engine.StartRequest) (*engine.Stream, error)
	Resume(ctx context.Context, addr netip.AddrPort, g ident.Generation, next uint64) (*engine.Stream, error)
	Cancel(ctx context.Context, addr netip.AddrPort, g ident.Generation) error
}

// Reservation is the capacity reserved for a generation on an engine.
type Reservation interface {
	Engine() config.Server
	Progress(n int)
	Release(end pool.Outcome, now time.Time)
}

// Placer reserves capacity for generations of one model.
type Placer interface {
	Model() ident.Model
	Acquire(ctx context.Context, req *pool.Request) (Reservation, *refuse.Refusal)
}

// Call describes a generation requested by a client.
type Call struct {
	Request          ident.Request
	Service          *config.Service
	Class            *config.Class
	Prompt           string
	MaxTokens        int
	AtMostOnce       bool // the generation must not be started more than once
	PlacementRequest pool.Request
}

// Token is one token for the client, or the end of the response.
type Token struct {
	Index  uint64
	Text   string
	Finish string // set at the end: "stop" or "length"
}

// End reports whether t is the end of the response.
func (t Token) End() bool { return t.Finish != "" }

// Group runs goroutines that may outlive the call that started them.
type Group interface {
	Go(f func() error)
}

// Runner starts streams. It is safe for concurrent use.
type Runner struct {
	cfg        Config
	engines    EngineClient
	budget     *retry.Budget
	invariants *invar.Checker
	recorder   result.Recorder
	group      Group

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a Runner.
func New(cfg Config, engines EngineClient, budget *retry.Budget, invariants *invar.Checker, rec result.Recorder, group Group, rng *rand.Rand) *Runner {
	return &Runner{cfg: cfg, engines: engines, budget: budget, invariants: invariants, recorder: rec, group: group, rng: rng}
}

// Open starts a generation and returns its stream once the first token has been received.
func (r *Runner) Open(ctx context.Context, p Placer, call Call) (*Stream, *refuse.Refusal) {
	r.budget.RecordFirstAttempt()
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{
		runner:      r,
		placer:      p,
		call:        call,
		ctx:         ctx,
		cancel:      cancel,
		exclude:     map[ident.Server]struct{}{},
		lastTokenAt: time.Now(),
		expectedGap: r.cfg.FirstTokenPace,
	}
	s.Record.Start = s.lastTokenAt
	return s.awaitFirst()
}

// Reattach resumes a generation that another VM may have started, from token next on. The
// generation is never run again.
func (r *Runner) Reattach(ctx context.Context, call Call, addr netip.AddrPort, g ident.Generation, next uint64) (*Stream, *refuse.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{
		runner:      r,
		call:        call,
		ctx:         ctx,
		cancel:      cancel,
		engineAddr:  addr,
		cursor:      token.New(g, next),
		started:     true,
		delivered:   true,
		lastTokenAt: time.Now(),
		expectedGap: r.cfg.FirstTokenPace,
	}
	s.Record.Start = s.lastTokenAt
	return s.awaitFirst()
}

// backoff returns the delay before the given attempt to resume.
func (r *Runner) backoff(attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Backoff(r.rng, attempt, r.cfg.ResumeDelay, r.cfg.ResumeDelayLimit)
}
