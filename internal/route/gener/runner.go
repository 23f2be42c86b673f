package gener

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"umberladder/internal/core/final"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/token"
	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
)

// Config bounds how long a flight waits.
type Config struct {
	Patience   time.Duration // longest time without a token from a live engine
	Detach     time.Duration // how long an engine goes on while nobody reads
	ResumeBase time.Duration // first delay before a link is resumed
	ResumeMax  time.Duration // longest such delay
	ResumeTry  int           // failed resumes in a row that make an engine lost
	StartTry   int           // engines tried that provably did not start
	FirstPace  time.Duration // expected time to the first token
	TokenPace  time.Duration // expected time between two tokens
}

// DefaultConfig returns the values that docs/SETTINGS.md lists.
func DefaultConfig() Config {
	return Config{
		Patience:   60 * time.Second,
		Detach:     15 * time.Second,
		ResumeBase: 100 * time.Millisecond,
		ResumeMax:  time.Second,
		ResumeTry:  4,
		StartTry:   3,
		FirstPace:  440 * time.Millisecond,
		TokenPace:  100 * time.Millisecond,
	}
}

// Engines is what a flight needs of the engines' protocol.
type Engines interface {
	Start(ctx context.Context, addr netip.AddrPort, s engine.Start) (*engine.Stream, error)
	Resume(ctx context.Context, addr netip.AddrPort, g ident.Generation, next uint64) (*engine.Stream, error)
	Cancel(ctx context.Context, addr netip.AddrPort, g ident.Generation) error
}

// Seat is a generation's place on an engine.
type Seat interface {
	At() config.Server
	Progress(n int)
	Release(end pool.Ending, now time.Time)
}

// Placer finds places for generations of one model.
type Placer interface {
	Model() ident.Model
	Acquire(ctx context.Context, ask *pool.Ask) (Seat, *refuse.Refusal)
}

// Call is one generation that a caller asked for.
type Call struct {
	Request    ident.Request
	Service    *config.Service
	Class      *config.Class
	Prompt     string
	MaxTokens  int
	AtMostOnce bool // it may be started once, ever
	Ask        pool.Ask
}

// Token is one token for the caller, or the end of the answer.
type Token struct {
	Index  uint64
	Text   string
	Finish string // set at the end: "stop" or "length"
}

// End reports whether t is the end of the answer.
func (t Token) End() bool { return t.Finish != "" }

// Group runs what outlives the call that asked for it.
type Group interface {
	Go(f func() error)
}

// Runner starts flights. It is safe for use by several goroutines.
type Runner struct {
	cfg     Config
	engines Engines
	budget  *retry.Budget
	book    *invar.Book
	rec     final.Recorder
	group   Group

	mu  sync.Mutex
	rng *rand.Rand
}

// New makes a runner.
func New(cfg Config, engines Engines, budget *retry.Budget, book *invar.Book, rec final.Recorder, group Group, rng *rand.Rand) *Runner {
	return &Runner{cfg: cfg, engines: engines, budget: budget, book: book, rec: rec, group: group, rng: rng}
}

// Open starts a generation and returns once its first token is at hand.
func (r *Runner) Open(ctx context.Context, p Placer, call Call) (*Flight, *refuse.Refusal) {
	r.budget.Earn()
	ctx, cancel := context.WithCancel(ctx)
	f := &Flight{
		runner:  r,
		placer:  p,
		call:    call,
		ctx:     ctx,
		cancel:  cancel,
		exclude: map[ident.Server]struct{}{},
		last:    time.Now(),
		pace:    r.cfg.FirstPace,
	}
	f.Record.Start = f.last
	return f.first()
}

// Rejoin goes on with a generation that another VM started, from token next
// on. The generation is followed and never run again.
func (r *Runner) Rejoin(ctx context.Context, call Call, addr netip.AddrPort, g ident.Generation, next uint64) (*Flight, *refuse.Refusal) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Flight{
		runner:    r,
		call:      call,
		ctx:       ctx,
		cancel:    cancel,
		addr:      addr,
		cursor:    token.New(g, next),
		started:   true,
		delivered: true,
		last:      time.Now(),
		pace:      r.cfg.FirstPace,
	}
	f.Record.Start = f.last
	return f.first()
}

func (r *Runner) delay(attempt int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Delay(r.rng, attempt, r.cfg.ResumeBase, r.cfg.ResumeMax)
}
