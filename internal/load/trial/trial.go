// Package trial puts the decisions of a few VMs before a few stand-in engines,
// without a network, so that a change of policy can be judged in seconds. Run
// in virtual time it is repeatable up to the order of goroutines. It is no
// model of a cluster: VMs and engines are the real code, in one process, and
// whatever depends on the network is measured with processes.
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
	"umberladder/internal/fake/record"
	"umberladder/internal/load/drive"
	peer "umberladder/internal/peer/engine"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
)

const (
	firstPace   = 440 * time.Millisecond
	tokenPace   = 100 * time.Millisecond
	pollEvery   = 250 * time.Millisecond
	urgentShare = 0.4
	urgentMost  = 12
	median      = 120.0
	spread      = 0.9
	longest     = 1500
	// perEngine is how many generations of this mixture a second fill an
	// engine of engine.DefaultConfig; see docs/design/05-admission.md.
	perEngine = 38.0
)

// Config is one trial.
type Config struct {
	Placement string
	VMs       int
	Engines   int
	Load      float64 // arrivals, as a share of what the engines can carry
	Time      time.Duration
	Warm      time.Duration // not counted
	Overflow  float64       // bound on the chance of overflow
	Reserve   float64       // memory share kept for urgent calls
	Seed      uint64
}

// Figures are what a trial measured.
type Figures struct {
	Config
	Requests   int
	Complete   int
	Refused    int
	Preempted  int
	Stall      time.Duration // of all requests
	GapP50     time.Duration
	GapP99     time.Duration
	FirstP99   time.Duration
	UrgentP99  time.Duration
	Goodput    float64 // tokens a second of complete generations
	Violations uint64
}

// Per1000 returns the preemptions per 1,000 complete requests.
func (f *Figures) Per1000() float64 {
	return 1000 * float64(f.Preempted) / math.Max(1, float64(f.Complete))
}

// StallEach returns the mean stall time of a request.
func (f *Figures) StallEach() time.Duration {
	return f.Stall / time.Duration(max(1, f.Requests))
}

// Run runs a trial to its end.
func Run(ctx context.Context, cfg Config) *Figures {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRun(cfg)
	var loops, requests errgroup.Group
	for _, e := range r.engines {
		loops.Go(func() error { return e.Run(ctx) })
	}
	for _, p := range r.pools {
		for _, e := range r.engines {
			loops.Go(func() error { return r.poll(ctx, p, e) })
		}
	}
	r.arrivals(&requests)
	_ = requests.Wait()
	cancel()
	_ = loops.Wait()
	return r.figures()
}

type run struct {
	cfg      Config
	rng      *rand.Rand
	engines  map[ident.Server]*engine.Engine
	pools    []*pool.Pool
	book     *invar.Book
	services map[bool]*config.Service
	classes  map[bool]*config.Class
	start    time.Time

	mu     sync.Mutex
	fig    Figures
	tokens int
	gaps   *drive.Histogram
	first  *drive.Histogram
	urgent *drive.Histogram
}

func newRun(cfg Config) *run {
	r := &run{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 30)),
		engines: map[ident.Server]*engine.Engine{},
		book:    &invar.Book{},
		start:   time.Now(),
		fig:     Figures{Config: cfg},
		gaps:    drive.NewHistogram(),
		first:   drive.NewHistogram(),
		urgent:  drive.NewHistogram(),
		services: map[bool]*config.Service{
			false: {Name: "long", OverflowChance: cfg.Overflow},
			true:  {Name: "short", OverflowChance: cfg.Overflow},
		},
		classes: map[bool]*config.Class{
			false: {Name: "standard", Rank: 1, MaxWait: 20 * time.Second},
			true:  {Name: "urgent", Rank: 0, MaxWait: 5 * time.Second},
		},
	}
	var servers []config.Server
	for i := range cfg.Engines {
		name := ident.Server(fmt.Sprintf("engine-%d", i+1))
		r.engines[name] = engine.New(engine.DefaultConfig(string(name)), record.New())
		servers = append(servers, config.Server{Name: name})
	}
	for range cfg.VMs {
		p := pool.New("m", place.New(cfg.Placement), func() int { return cfg.VMs }, r.book, rand.New(rand.NewPCG(r.rng.Uint64(), 0)))
		p.Update(servers)
		r.pools = append(r.pools, p)
	}
	return r
}

// poll reads an engine's reports for one VM, at its own times.
func (r *run) poll(ctx context.Context, p *pool.Pool, e *engine.Engine) error {
	r.mu.Lock()
	rng := rand.New(rand.NewPCG(r.rng.Uint64(), 0))
	r.mu.Unlock()
	for ctx.Err() == nil {
		l := e.Report()
		p.Report(ident.Server(e.Name()), peer.Load{
			Running:    l.Running,
			Waiting:    l.Waiting,
			MemoryUsed: l.MemoryUsed,
			MemorySize: l.MemorySize,
			At:         l.At,
		}, time.Now())
		retry.Pause(ctx, pollEvery/2+time.Duration(rng.Int64N(int64(pollEvery))))
	}
	return nil
}

func (r *run) arrivals(g *errgroup.Group) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 31))
	rate := r.cfg.Load * perEngine * float64(r.cfg.Engines)
	time.Sleep(time.Second) // until every VM has read every report
	for n := 0; time.Since(r.start) < r.cfg.Time; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		urgent := rng.Float64() < urgentShare
		o := prompt.Order{Seed: rng.Uint64(), Tag: fmt.Sprint(n), Tokens: 1 + rng.IntN(urgentMost)}
		if !urgent {
			o.Tokens = min(longest, max(1, int(median*math.Exp(spread*rng.NormFloat64()))))
		}
		p := r.pools[rng.IntN(len(r.pools))]
		g.Go(func() error {
			r.request(p, o, urgent)
			return nil
		})
	}
}

// request is one generation from its arrival to its end.
func (r *run) request(p *pool.Pool, o prompt.Order, urgent bool) {
	start := time.Now()
	ask := &pool.Ask{Service: r.services[urgent], Class: r.classes[urgent], Prompt: len(o.Prompt())/4 + 1}
	if !urgent {
		ask.Reserve = r.cfg.Reserve
	}
	counted := time.Since(r.start) > r.cfg.Warm
	seat, refusal := p.Acquire(context.Background(), ask)
	if refusal != nil {
		r.note(counted, func() {
			r.fig.Requests++
			r.fig.Refused++
			r.fig.Stall += stallOf(time.Since(start), firstPace)
		})
		return
	}
	last, pace, stall, n := start, firstPace, time.Duration(0), 0
	preempted := r.engines[seat.Server.Name].Follow(o.Tag, o.Prompt(), ask.Class.Rank, func(produced int) {
		gap := time.Since(last)
		stall += stallOf(gap, pace)
		if counted && n > 0 {
			r.gaps.Add(gap)
		}
		if counted && n == 0 && !urgent {
			r.first.Add(gap)
		}
		last, pace, n = time.Now(), tokenPace, produced
		seat.Progress(produced)
	})
	seat.Release(pool.Whole, time.Now())
	r.note(counted, func() {
		r.fig.Requests++
		r.fig.Complete++
		r.fig.Preempted += preempted
		r.fig.Stall += stall
		r.tokens += n
		if urgent {
			r.urgent.Add(time.Since(start))
		}
	})
}

func stallOf(gap, pace time.Duration) time.Duration { return max(0, gap-pace) }

func (r *run) note(counted bool, f func()) {
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *run) figures() *Figures {
	f := &r.fig
	f.GapP50, f.GapP99 = r.gaps.Percentile(50), r.gaps.Percentile(99)
	f.FirstP99, f.UrgentP99 = r.first.Percentile(99), r.urgent.Percentile(99)
	f.Goodput = float64(r.tokens) / (r.cfg.Time - r.cfg.Warm).Seconds()
	f.Violations = r.book.Total()
	return f
}
