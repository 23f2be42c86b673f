// Package trial runs the placement code of a few VMs against a few fake engines
// in one process and without a network, so that a change of the placement policy
// can be evaluated in seconds. In virtual time, results are reproducible up to
// the scheduling order of goroutines. VMs and engines are not modelled: they run
// the same code as in separate processes. Effects of the network are not covered;
// they are measured with separate processes (cmd/stress).
package trial

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/fake/engine"
	"umberladder/internal/fake/prompt"
	"umberladder/internal/fake/runlog"
	"umberladder/internal/load/drive"
	peer "umberladder/internal/peer/engine"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
)

const (
	firstTokenPace  = 440 * time.Millisecond
	tokenPace       = 100 * time.Millisecond
	pollInterval    = 250 * time.Millisecond
	urgentShare     = 0.4
	maxUrgentTokens = 12
	medianTokens    = 120.0
	lengthSigma     = 0.9
	maxTokens       = 1500
	// engineCapacity is the number of generations of this mix per second that
	// saturate an engine of engine.DefaultConfig; see docs/design/05-admission.md.
	engineCapacity = 38.0
)

// Config describes one trial.
type Config struct {
	Placement      string
	VMs            int
	Engines        int
	Load           float64 // arrival rate, as a fraction of the engines' capacity
	Duration       time.Duration
	Warmup         time.Duration // from the start; requests that arrive in it are not counted
	OverflowChance float64       // upper bound on the probability that an engine's memory overflows
	Reserve        float64       // share of engine memory that is reserved for urgent calls
	Seed           uint64
}

// Result holds the measurements of a trial.
type Result struct {
	Config
	Requests   int
	Complete   int
	Refused    int
	Preempted  int
	TotalStall time.Duration // summed over all requests
	GapP50     time.Duration
	GapP99     time.Duration
	FirstP99   time.Duration
	UrgentP99  time.Duration
	Goodput    float64 // tokens per second, of complete generations
	Violations uint64
}

// PreemptedPer1000 returns the preemptions per 1,000 complete requests.
func (res *Result) PreemptedPer1000() float64 {
	return 1000 * float64(res.Preempted) / math.Max(1, float64(res.Complete))
}

// MeanStall returns the mean stall time per request.
func (res *Result) MeanStall() time.Duration {
	return res.TotalStall / time.Duration(max(1, res.Requests))
}

// Run runs a trial until all its requests have ended.
func Run(ctx context.Context, cfg Config) *Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRun(cfg)
	var background, requests errgroup.Group
	for _, e := range r.engines {
		background.Go(func() error { return e.Run(ctx) })
	}
	for _, p := range r.pools {
		for _, e := range r.engines {
			background.Go(func() error { return r.poll(ctx, p, e) })
		}
	}
	r.generateRequests(&requests)
	_ = requests.Wait()
	cancel()
	_ = background.Wait()
	return r.finish()
}

type run struct {
	cfg      Config
	rng      *rand.Rand
	engines  map[ident.Server]*engine.Engine
	pools    []*pool.Pool
	checker  *invar.Checker
	services map[bool]*config.Service
	classes  map[bool]*config.Class
	start    time.Time

	mu         sync.Mutex
	result     Result
	tokens     int
	gaps       *drive.Histogram
	firstToken *drive.Histogram
	urgent     *drive.Histogram
}

func newRun(cfg Config) *run {
	r := &run{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 30)),
		engines:    map[ident.Server]*engine.Engine{},
		checker:    &invar.Checker{},
		start:      time.Now(),
		result:     Result{Config: cfg},
		gaps:       drive.NewHistogram(),
		firstToken: drive.NewHistogram(),
		urgent:     drive.NewHistogram(),
		services: map[bool]*config.Service{
			false: {Name: "long", OverflowChance: cfg.OverflowChance},
			true:  {Name: "short", OverflowChance: cfg.OverflowChance},
		},
		classes: map[bool]*config.Class{
			false: {Name: "standard", Rank: 1, MaxWait: 20 * time.Second},
			true:  {Name: "urgent", Rank: 0, MaxWait: 5 * time.Second},
		},
	}
	var servers []config.Server
	for i := range cfg.Engines {
		name := ident.Server(fmt.Sprintf("engine-%d", i+1))
		r.engines[name] = engine.New(engine.DefaultConfig(string(name)), runlog.New())
		servers = append(servers, config.Server{Name: name})
	}
	for range cfg.VMs {
		p := pool.New("m", place.New(cfg.Placement), func() int { return cfg.VMs }, r.checker, rand.New(rand.NewPCG(r.rng.Uint64(), 0)))
		p.Update(servers)
		r.pools = append(r.pools, p)
	}
	return r
}

// poll reads an engine's load reports for one VM, at random intervals of
// pollInterval on average.
func (r *run) poll(ctx context.Context, p *pool.Pool, e *engine.Engine) error {
	r.mu.Lock()
	rng := rand.New(rand.NewPCG(r.rng.Uint64(), 0))
	r.mu.Unlock()
	for ctx.Err() == nil {
		load := e.LoadReport()
		p.HandleReport(ident.Server(e.Name()), peer.Load{
			Running:    load.Running,
			Waiting:    load.Waiting,
			MemoryUsed: load.MemoryUsed,
			MemorySize: load.MemorySize,
			AsOf:       load.AsOf,
		}, time.Now())
		retry.Sleep(ctx, pollInterval/2+time.Duration(rng.Int64N(int64(pollInterval))))
	}
	return nil
}

func (r *run) generateRequests(requests *errgroup.Group) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 31))
	rate := r.cfg.Load * engineCapacity * float64(r.cfg.Engines)
	time.Sleep(time.Second) // until every VM has polled every engine
	for n := 0; time.Since(r.start) < r.cfg.Duration; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		urgent := rng.Float64() < urgentShare
		spec := prompt.Spec{Seed: rng.Uint64(), Tag: fmt.Sprint(n), Tokens: 1 + rng.IntN(maxUrgentTokens)}
		if !urgent {
			spec.Tokens = min(maxTokens, max(1, int(medianTokens*math.Exp(lengthSigma*rng.NormFloat64()))))
		}
		p := r.pools[rng.IntN(len(r.pools))]
		requests.Go(func() error {
			r.runRequest(p, spec, urgent)
			return nil
		})
	}
}

// runRequest runs one generation from its arrival to its end.
func (r *run) runRequest(p *pool.Pool, spec prompt.Spec, urgent bool) {
	start := time.Now()
	req := &pool.Request{Service: r.services[urgent], Class: r.classes[urgent], Prompt: len(spec.Prompt())/4 + 1}
	if !urgent {
		req.Reserve = r.cfg.Reserve
	}
	counted := time.Since(r.start) > r.cfg.Warmup
	reservation, refusal := p.Acquire(context.Background(), req)
	if refusal != nil {
		r.record(counted, func() {
			r.result.Requests++
			r.result.Refused++
			r.result.TotalStall += stallTime(time.Since(start), firstTokenPace)
		})
		return
	}
	last, pace, stall, tokens := start, firstTokenPace, time.Duration(0), 0
	preempted := r.engines[reservation.Server.Name].Generate(spec.Tag, spec.Prompt(), req.Class.Rank, func(produced int) {
		gap := time.Since(last)
		stall += stallTime(gap, pace)
		if counted && tokens > 0 {
			r.gaps.Add(gap)
		}
		if counted && tokens == 0 && !urgent {
			r.firstToken.Add(gap)
		}
		last, pace, tokens = time.Now(), tokenPace, produced
		reservation.Progress(produced)
	})
	reservation.Release(pool.Completed, time.Now())
	r.record(counted, func() {
		r.result.Requests++
		r.result.Complete++
		r.result.Preempted += preempted
		r.result.TotalStall += stall
		r.tokens += tokens
		if urgent {
			r.urgent.Add(time.Since(start))
		}
	})
}

func stallTime(gap, pace time.Duration) time.Duration { return max(0, gap-pace) }

func (r *run) record(counted bool, f func()) {
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *run) finish() *Result {
	res := &r.result
	res.GapP50, res.GapP99 = r.gaps.Percentile(50), r.gaps.Percentile(99)
	res.FirstP99, res.UrgentP99 = r.firstToken.Percentile(99), r.urgent.Percentile(99)
	res.Goodput = float64(r.tokens) / (r.cfg.Duration - r.cfg.Warmup).Seconds()
	res.Violations = r.checker.Total()
	return res
}
