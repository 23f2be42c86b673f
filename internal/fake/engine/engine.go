package engine

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/fake/cache"
	"umberladder/internal/fake/prompt"
	"umberladder/internal/fake/record"
)

const (
	cacheHead    = 64 // bytes of a prompt that make its cache key
	keepFinished = 30 * time.Second
	idleStep     = 5 * time.Millisecond
)

// Config sizes an engine.
type Config struct {
	Name       string
	Memory     int           // tokens held by running streams
	Batch      int           // most streams in one step
	StepBase   time.Duration // time of a step with an empty batch
	StepStream time.Duration // added for each stream in the batch
	Prefill    time.Duration // for each prompt token not in the cache
	Cache      int           // prompt prefixes held
	ReportLag  time.Duration // age of the load reports
	Fencing    bool          // orders with an old fencing number are refused
}

// DefaultConfig returns a small engine.
func DefaultConfig(name string) Config {
	return Config{
		Name:       name,
		Memory:     6000,
		Batch:      64,
		StepBase:   4 * time.Millisecond,
		StepStream: 100 * time.Microsecond,
		Prefill:    20 * time.Microsecond,
		Cache:      64,
		ReportLag:  200 * time.Millisecond,
	}
}

// Faults are what a test switches on.
type Faults struct {
	Stall    time.Duration // no step before this much time has passed
	CutAfter int           // each link is cut after so many tokens
	Refuse   bool          // new generations are refused before they start
	Late     time.Duration // heads of answers come this late
	Leaving  bool          // the engine is leaving
	NewRun   bool          // a resume is answered from another generation
	CutFrom  netip.Addr    // nothing goes to this address
}

// Count is what happened on an engine.
type Count struct {
	Starts    int
	Completed int
	Preempted int
	Late      int // new work offered after the engine had long been leaving
	Orders    int // orders taken
}

// Load is one load report.
type Load struct {
	Running, Waiting, MemoryUsed, MemorySize int
	Leaving                                  bool
	At                                       time.Time
	events                                   uint64 // cache events by then
}

// Engine is a stand-in engine. Its fields below mu are guarded by it.
type Engine struct {
	cfg    Config
	faults atomic.Pointer[Faults]

	mu      sync.Mutex
	changed *sync.Cond
	gens    map[string]*generation
	running []*generation
	waiting []*generation
	used    int
	record  *record.Record
	counts  Count
	cache   *cache.Cache
	fence   uint64
	reports []Load
	leaveAt time.Time
}

type generation struct {
	id       string
	order    prompt.Order
	run      string
	priority int
	prompt   int
	produced int
	limit    int
	ready    time.Time
	started  time.Time
	done     bool
	finish   string
	paused   bool
	readers  int
	left     time.Time
	detach   time.Duration
}

func (g *generation) memory() int { return g.prompt + g.produced }

// New makes an engine that records what it runs; Run drives it.
func New(cfg Config, rec *record.Record) *Engine {
	e := &Engine{cfg: cfg, gens: map[string]*generation{}, record: rec, cache: cache.New(cfg.Cache)}
	e.changed = sync.NewCond(&e.mu)
	e.faults.Store(&Faults{})
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Fault replaces the faults in force.
func (e *Engine) Fault(f Faults) {
	if f.Leaving && !e.faults.Load().Leaving {
		e.mu.Lock()
		e.leaveAt = time.Now()
		e.mu.Unlock()
	}
	e.faults.Store(&f)
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := e.step(time.Now())
		if stall := e.faults.Load().Stall; stall > 0 {
			wait = stall
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.gens {
		g.done = true
	}
	e.changed.Broadcast()
	return nil
}

// step produces one token of each running stream and returns the time the
// next step takes.
func (e *Engine) step(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(now)
	e.admit(now)
	for _, g := range slices.Clone(e.running) {
		if g.paused || now.Before(g.ready) {
			continue
		}
		if e.used >= e.cfg.Memory && !e.preempt(g) {
			continue
		}
		g.produced++
		e.used++
		if g.produced >= g.limit {
			e.finish(g, now)
		}
	}
	e.report(now)
	e.changed.Broadcast()
	if len(e.running) == 0 {
		return idleStep
	}
	return e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepStream
}

func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Batch {
		g := e.waiting[0]
		if e.used+g.memory() >= e.cfg.Memory {
			return
		}
		e.waiting = e.waiting[1:]
		g.paused = false
		g.ready = now.Add(e.prefill(g))
		e.used += g.memory()
		e.running = append(e.running, g)
	}
}

// prefill returns how long the prompt takes, and remembers its prefix. A
// stream that was preempted computes what it had produced anew.
func (e *Engine) prefill(g *generation) time.Duration {
	key := xxhash.Sum64String(g.order.Prompt()[:min(cacheHead, len(g.order.Prompt()))])
	cost := g.memory()
	if e.cache.Use(key) {
		cost = g.produced
	}
	return time.Duration(cost) * e.cfg.Prefill
}

// preempt frees memory for g by pausing the running stream of the lowest
// priority, the latest of several. It reports whether g itself goes on.
func (e *Engine) preempt(g *generation) bool {
	victim := g
	for _, r := range e.running {
		if r.priority > victim.priority ||
			r.priority == victim.priority && r.started.After(victim.started) {
			victim = r
		}
	}
	victim.paused = true
	e.counts.Preempted++
	e.used -= victim.memory()
	e.running = slices.DeleteFunc(e.running, func(r *generation) bool { return r == victim })
	e.wait(victim)
	return victim != g
}

// wait queues g by priority, then by start.
func (e *Engine) wait(g *generation) {
	at, _ := slices.BinarySearchFunc(e.waiting, g, func(a, b *generation) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.started.Compare(b.started)
	})
	e.waiting = slices.Insert(e.waiting, at, g)
}

func (e *Engine) finish(g *generation, now time.Time) {
	g.done = true
	g.left = now
	g.finish = "stop"
	if g.produced < g.order.Tokens {
		g.finish = "length"
	}
	e.counts.Completed++
	e.drop(g)
}

// drop takes g off the engine and frees its memory.
func (e *Engine) drop(g *generation) {
	same := func(r *generation) bool { return r == g }
	if slices.ContainsFunc(e.running, same) {
		e.used -= g.memory()
	}
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// forget cancels streams that nobody has read for their detach time, and
// drops finished ones later.
func (e *Engine) forget(now time.Time) {
	for id, g := range e.gens {
		switch {
		case g.readers > 0:
		case g.done && now.Sub(g.left) > keepFinished:
			delete(e.gens, id)
		case !g.done && now.Sub(g.left) > g.detach:
			e.drop(g)
			g.done = true
			g.finish = "cancelled"
		}
	}
}

// Report returns the load report that the engine shows now, which lags.
func (e *Engine) Report() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return Load{MemorySize: e.cfg.Memory, At: time.Now()}
	}
	return e.reports[0]
}

// Follow runs a generation without a network: token is called with the number
// of tokens produced, each time there are more. It returns how often the
// generation was preempted.
func (e *Engine) Follow(id, prompt string, priority int, token func(n int)) int {
	g := makeGeneration(id, prompt, priority)
	if status, _ := e.begin(g); status != 0 {
		return 0
	}
	preempted, paused, next := 0, false, 0
	for {
		upTo, done, _, pause := e.await(g, next, paused)
		if pause && !paused {
			preempted++
		}
		paused = pause
		if upTo > next {
			next = upTo
			token(next)
		}
		if done {
			return preempted
		}
	}
}

// Runs returns how often the order with the tag was started.
func (e *Engine) Runs(tag string) int { return e.record.Runs(tag) }

// Counts returns what happened so far.
func (e *Engine) Counts() Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

func (e *Engine) report(now time.Time) {
	e.reports = append(e.reports, Load{
		Running:    len(e.running),
		Waiting:    len(e.waiting),
		MemoryUsed: e.used,
		MemorySize: e.cfg.Memory,
		Leaving:    e.faults.Load().Leaving,
		At:         now,
		events:     e.cache.Seq(),
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}
