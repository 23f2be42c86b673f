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
	"umberladder/internal/fake/runlog"
)

const (
	cacheKeyBytes     = 64 // length of the prompt prefix that is hashed to the cache key
	finishedRetention = 30 * time.Second
	idleStepTime      = 5 * time.Millisecond
)

// Config holds the sizes and timings of an engine.
type Config struct {
	Name            string
	MemoryTokens    int           // capacity in tokens, shared by the running streams
	MaxBatch        int           // maximum number of streams in one step
	StepBase        time.Duration // duration of a step with an empty batch
	StepPerStream   time.Duration // added to a step for each stream in the batch
	PrefillPerToken time.Duration // time for each prompt token that is not in the cache
	CacheEntries    int           // capacity of the prefix cache, in prefixes
	ReportLag       time.Duration // age of the load reports
	CheckFencing    bool          // refuse commands with a stale fencing number
}

// DefaultConfig returns the configuration of a small engine.
func DefaultConfig(name string) Config {
	return Config{
		Name:            name,
		MemoryTokens:    6000,
		MaxBatch:        64,
		StepBase:        4 * time.Millisecond,
		StepPerStream:   100 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		CacheEntries:    64,
		ReportLag:       200 * time.Millisecond,
	}
}

// Faults are the failures that a test injects.
type Faults struct {
	Stall           time.Duration // time between steps, in place of the normal step time
	DropAfter       int           // each connection is closed after this many tokens
	Refuse          bool          // new generations are refused before they start
	ResponseDelay   time.Duration // delay before each response
	Draining        bool          // the engine reports that it drains and refuses new generations
	WrongGeneration bool          // a resume returns the events of another generation
	PartitionedFrom netip.Addr    // simulated network partition: nothing is sent to this address
	RawResponse     string        // a generation starts and this is sent in place of its response; empty: the response is sent
}

// Counts holds the event counters of an engine.
type Counts struct {
	Starts       int
	Completed    int
	Preempted    int
	LateRequests int // generations requested, and refused, later than drainGrace after the drain began
	Commands     int // commands accepted
}

// Load is a load report.
type Load struct {
	Running, Waiting, MemoryUsed, MemorySize int
	Draining                                 bool
	AsOf                                     time.Time
	lastCacheEvent                           uint64 // sequence number of the newest cache event
}

// Engine is a fake model engine.
type Engine struct {
	cfg    Config
	faults atomic.Pointer[Faults]

	mu          sync.Mutex // guards the fields below
	changed     *sync.Cond
	generations map[string]*generation
	running     []*generation
	waiting     []*generation
	memoryUsed  int
	runLog      *runlog.Log
	counts      Counts
	cache       *cache.Cache
	maxFence    uint64
	reports     []Load
	drainStart  time.Time
}

type generation struct {
	id            string
	spec          prompt.Spec
	runID         string
	priority      int
	promptTokens  int
	produced      int
	maxTokens     int
	prefillDone   time.Time
	started       time.Time
	done          bool
	finishReason  string
	paused        bool
	readers       int
	idleSince     time.Time
	detachTimeout time.Duration
}

func (g *generation) memory() int { return g.promptTokens + g.produced }

// New returns an engine that records the generations it starts in runLog. They
// make progress only while Run is running.
func New(cfg Config, runLog *runlog.Log) *Engine {
	e := &Engine{cfg: cfg, generations: map[string]*generation{}, runLog: runLog, cache: cache.New(cfg.CacheEntries)}
	e.changed = sync.NewCond(&e.mu)
	e.faults.Store(&Faults{})
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	if f.Draining && !e.faults.Load().Draining {
		e.mu.Lock()
		e.drainStart = time.Now()
		e.mu.Unlock()
	}
	e.faults.Store(&f)
}

// Run steps the engine until ctx is done, then ends all generations.
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
	for _, g := range e.generations {
		g.done = true
	}
	e.changed.Broadcast()
	return nil
}

// step produces one token for each running stream and returns the time until
// the next step.
func (e *Engine) step(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	e.admit(now)
	for _, g := range slices.Clone(e.running) {
		if g.paused || now.Before(g.prefillDone) {
			continue
		}
		if e.memoryUsed >= e.cfg.MemoryTokens && !e.preempt(g) {
			continue
		}
		g.produced++
		e.memoryUsed++
		if g.produced >= g.maxTokens {
			e.finish(g, now)
		}
	}
	e.recordLoad(now)
	e.changed.Broadcast()
	if len(e.running) == 0 {
		return idleStepTime
	}
	return e.cfg.StepBase + time.Duration(len(e.running))*e.cfg.StepPerStream
}

func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxBatch {
		g := e.waiting[0]
		if e.memoryUsed+g.memory() >= e.cfg.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		g.paused = false
		g.prefillDone = now.Add(e.prefill(g))
		e.memoryUsed += g.memory()
		e.running = append(e.running, g)
	}
}

// prefill returns the prefill time of g and adds its prompt prefix to the
// cache. A preempted stream also recomputes the tokens it had produced.
func (e *Engine) prefill(g *generation) time.Duration {
	key := xxhash.Sum64String(g.spec.Prompt()[:min(cacheKeyBytes, len(g.spec.Prompt()))])
	cost := g.memory()
	if e.cache.Use(key) {
		cost = g.produced
	}
	return time.Duration(cost) * e.cfg.PrefillPerToken
}

// preempt frees memory for g by pausing the running stream with the lowest
// priority, and among equals the one that started last. It reports whether g
// keeps running.
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
	e.memoryUsed -= victim.memory()
	e.running = slices.DeleteFunc(e.running, func(r *generation) bool { return r == victim })
	e.enqueue(victim)
	return victim != g
}

// enqueue adds g to the waiting streams, ordered by priority and start time.
func (e *Engine) enqueue(g *generation) {
	i, _ := slices.BinarySearchFunc(e.waiting, g, func(a, b *generation) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.started.Compare(b.started)
	})
	e.waiting = slices.Insert(e.waiting, i, g)
}

func (e *Engine) finish(g *generation, now time.Time) {
	g.done = true
	g.idleSince = now
	g.finishReason = "stop"
	if g.produced < g.spec.Tokens {
		g.finishReason = "length"
	}
	e.counts.Completed++
	e.remove(g)
}

// remove takes g out of the running and waiting streams and frees its memory.
func (e *Engine) remove(g *generation) {
	same := func(r *generation) bool { return r == g }
	if slices.ContainsFunc(e.running, same) {
		e.memoryUsed -= g.memory()
	}
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
}

// expire cancels generations that have had no reader for their detach timeout,
// and deletes finished ones after finishedRetention.
func (e *Engine) expire(now time.Time) {
	for id, g := range e.generations {
		switch {
		case g.readers > 0:
		case g.done && now.Sub(g.idleSince) > finishedRetention:
			delete(e.generations, id)
		case !g.done && now.Sub(g.idleSince) > g.detachTimeout:
			e.remove(g)
			g.done = true
			g.finishReason = "cancelled"
		}
	}
}

// LoadReport returns the published load report, which lags by Config.ReportLag.
func (e *Engine) LoadReport() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return Load{MemorySize: e.cfg.MemoryTokens, AsOf: time.Now()}
	}
	return e.reports[0]
}

// Generate runs a generation in process, without HTTP. It calls onToken with
// the number of tokens produced so far whenever that number has grown, and
// returns how often the generation was preempted.
func (e *Engine) Generate(id, prompt string, priority int, onToken func(n int)) int {
	g := newGeneration(id, prompt, priority)
	if status, _ := e.submit(g); status != 0 {
		return 0
	}
	preempted, paused, next := 0, false, 0
	for {
		upTo, done, _, nowPaused := e.waitForProgress(g, next, paused)
		if nowPaused && !paused {
			preempted++
		}
		paused = nowPaused
		if upTo > next {
			next = upTo
			onToken(next)
		}
		if done {
			return preempted
		}
	}
}

// Runs returns how often a generation with the tag was started.
func (e *Engine) Runs(tag string) int { return e.runLog.Runs(tag) }

// Counts returns the current event counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

func (e *Engine) recordLoad(now time.Time) {
	e.reports = append(e.reports, Load{
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		MemoryUsed:     e.memoryUsed,
		MemorySize:     e.cfg.MemoryTokens,
		Draining:       e.faults.Load().Draining,
		AsOf:           now,
		lastCacheEvent: e.cache.LastSeq(),
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].AsOf) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}
