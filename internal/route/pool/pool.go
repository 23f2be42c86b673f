package pool

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/length"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/queue"
	"umberladder/internal/state/config"
)

// Request is a generation to be placed.
type Request struct {
	Service   *config.Service
	Class     *config.Class
	Rule      refuse.Rule               // the class's wait limit, as named in refusals
	Reserve   float64                   // memory share kept free for higher classes
	Prompt    int                       // in tokens
	Prefix    uint64                    // hash of the start of the prompt
	Exclude   map[ident.Server]struct{} // engines that failed this request
	Workspace ident.Workspace           // whose generation lengths are learned and used
}

// NewRequest returns the request for a generation of a service and class, without
// its prompt.
func NewRequest(w *config.Workspace, s *config.Service, c *config.Class, sys *config.System) Request {
	return Request{
		Service: s,
		Class:   c,
		Rule: refuse.Rule{
			Path:    config.SystemPath + "/classes/" + string(c.Name) + "/max-wait",
			Version: sys.Version,
			Limit:   c.MaxWait.Seconds(),
		},
		Reserve:   reserve(c, sys),
		Workspace: w.Name,
	}
}

// reserve returns the share of memory that the classes above c keep free.
func reserve(c *config.Class, sys *config.System) float64 {
	sum := 0.0
	for _, o := range sys.Classes {
		if o.Rank < c.Rank {
			sum += o.Reserve
		}
	}
	return min(sum, maxReserve)
}

// maxReserve is the largest share of memory that classes together keep free.
const maxReserve = 0.9

// Pool places generations on the engines of one model. It is safe for concurrent
// use.
type Pool struct {
	model      ident.Model
	invariants *invar.Checker
	liveVMs    func() int // number of live VMs, including this one

	mu            sync.Mutex
	chooser       place.Chooser
	rng           *rand.Rand
	engines       []*engineState
	queue         *queue.Queue[*waiter]
	throughput    throughput
	placementRate rateMeter
	estimators    map[estimatorKey]*length.Estimator
	views         []place.Engine
}

type estimatorKey struct {
	workspace ident.Workspace
	service   ident.Service
	class     ident.Class
}

type waiter struct {
	req    *Request
	placed chan *Reservation
}

// New returns the pool of a model whose placements chooser decides.
func New(model ident.Model, chooser place.Chooser, vms func() int, invariants *invar.Checker, rng *rand.Rand) *Pool {
	return &Pool{
		model:      model,
		invariants: invariants,
		liveVMs:    vms,
		chooser:    chooser,
		rng:        rng,
		queue:      queue.New[*waiter](),
		estimators: map[estimatorKey]*length.Estimator{},
	}
}

// Model returns the pool's model.
func (p *Pool) Model() ident.Model { return p.model }

// Update sets the engines that the settings list. The state of engines that stay
// is kept; streams on removed engines continue to their end.
func (p *Pool) Update(servers []config.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []*engineState
	for _, s := range servers {
		e := p.find(s.Name)
		if e == nil || e.server.Address != s.Address {
			e = newEngineState(s)
		}
		e.server = s
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b *engineState) int { return cmp.Compare(a.server.Name, b.server.Name) })
	p.engines = engines
}

// Servers returns the engines that the settings list.
func (p *Pool) Servers() []config.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]config.Server, 0, len(p.engines))
	for _, e := range p.engines {
		out = append(out, e.server)
	}
	return out
}

func (p *Pool) find(name ident.Server) *engineState {
	for _, e := range p.engines {
		if e.server.Name == name {
			return e
		}
	}
	return nil
}

// HandleReport handles a load report of an engine and places queued generations
// that now fit.
func (p *Pool) HandleReport(name ident.Server, l engine.Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(name)
	if e == nil {
		return
	}
	e.update(l, p.typicalCurve(), now)
	if e.breaker.IsOpen() && e.breaker.ProbeAllowed(now) {
		e.breaker.Success(now)
	}
	p.dispatch(now)
}

// ReportFailure records that an engine did not respond.
func (p *Pool) ReportFailure(name ident.Server, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.find(name); e != nil {
		e.breaker.Failure(now, p.rng.Float64())
	}
}

// typicalCurve returns the length curve for streams whose service is not known.
func (p *Pool) typicalCurve() *length.Curve {
	return p.estimator(estimatorKey{}).Curve()
}

func (p *Pool) estimator(k estimatorKey) *length.Estimator {
	e := p.estimators[k]
	if e == nil {
		e = length.New()
		p.estimators[k] = e
	}
	return e
}

// Acquire returns a reservation for the generation, or the refusal that explains
// why there is none. It waits for at most the class's limit, and refuses at once
// if the predicted wait exceeds it.
func (p *Pool) Acquire(ctx context.Context, req *Request) (*Reservation, *refuse.Refusal) {
	now := time.Now()
	w, e, res, refusal := p.admit(req, now)
	if res != nil || refusal != nil {
		return res, refusal
	}
	timer := time.NewTimer(req.Class.MaxWait)
	defer timer.Stop()
	select {
	case res := <-w.placed:
		return res, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.withdraw(w, e, req, now)
}

// admit places the generation, refuses it, or queues it.
func (p *Pool) admit(req *Request, now time.Time) (*waiter, *queue.Entry[*waiter], *Reservation, *refuse.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.anyUsable(now, req.Exclude) {
		return nil, nil, nil, refuse.New(refuse.NoServer,
			"of the %d engines of model %s, %d failed this request and no other takes new work now",
			len(p.engines), p.model, len(req.Exclude)).WithRetryAfter(time.Second)
	}
	ahead := p.queue.Ahead(req.Class.Rank, now, req.Class.MaxWait)
	if ahead == 0 {
		if res := p.tryPlace(req, now); res != nil {
			return nil, nil, res, nil
		}
	}
	if wait, ok := p.throughput.predictWait(ahead, now); ok && wait > req.Class.MaxWait {
		rule := req.Rule
		rule.Observed = wait.Seconds()
		return nil, nil, nil, refuse.New(refuse.PredictedWait,
			"%d requests wait before this one for model %s", ahead, p.model).
			WithRule(rule).WithRetryAfter(p.throughput.scheduleRetry(req.Class.Rank, wait-req.Class.MaxWait+time.Second, now))
	}
	w := &waiter{req: req, placed: make(chan *Reservation, 1)}
	if p.queue.Len() == 0 {
		p.throughput.start(now)
	}
	return w, p.queue.Push(w, req.Class.Rank, now, req.Class.MaxWait), nil, nil
}

// withdraw removes a waiter from the queue, unless it was placed meanwhile.
func (p *Pool) withdraw(w *waiter, e *queue.Entry[*waiter], req *Request, since time.Time) (*Reservation, *refuse.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queue.Remove(e) {
		return <-w.placed, nil
	}
	now := time.Now()
	rule := req.Rule
	rule.Observed = now.Sub(since).Seconds()
	after := time.Second
	if wait, ok := p.throughput.predictWait(p.queue.Len(), now); ok {
		after = p.throughput.scheduleRetry(req.Class.Rank, after+wait, now)
	}
	return nil, refuse.New(refuse.WaitExceeded, "no engine of model %s had room in time", p.model).
		WithRule(rule).WithRetryAfter(after)
}

// anyUsable reports whether some engine accepts new work and has not failed this
// request. If none does, waiting is pointless.
func (p *Pool) anyUsable(now time.Time, failed map[ident.Server]struct{}) bool {
	return slices.ContainsFunc(p.engines, func(e *engineState) bool {
		_, bad := failed[e.server.Name]
		return !bad && e.usable(now)
	})
}

// tryPlace places the request on the engine that the chooser selects, or returns
// nil.
func (p *Pool) tryPlace(req *Request, now time.Time) *Reservation {
	est := p.estimator(estimatorKey{req.Workspace, req.Service.Name, req.Class.Name})
	forecast := est.Curve().Forecast(0, req.Prompt)
	p.views = p.views[:0]
	unreportedRate := p.placementRate.rate(now) * float64(p.liveVMs()-1) / float64(len(p.engines))
	newForecast := p.typicalCurve().Forecast(0, req.Prompt)
	for _, e := range p.engines {
		v := e.policyView(now, unreportedRate, &newForecast, req.Prefix)
		if _, failed := req.Exclude[e.server.Name]; failed {
			v.Skip = true
		}
		p.views = append(p.views, v)
	}
	placeReq := place.Request{Forecast: forecast, OverflowZ: length.NormalQuantile(req.Service.OverflowChance), MaxFill: 1 - req.Reserve, PromptTokens: req.Prompt}
	i := p.chooser.Choose(&placeReq, p.views, p.rng)
	if i < 0 {
		return nil
	}
	return p.reserve(p.engines[i], req, est, forecast, now)
}

func (p *Pool) reserve(e *engineState, req *Request, est *length.Estimator, forecast length.Forecast, now time.Time) *Reservation {
	p.invariants.Assert(invar.RetiredServer, e.drainingSince.IsZero() || now.Sub(e.drainingSince) < DrainGrace,
		"%s has been draining since %s", e.server.Name, e.drainingSince)
	e.localStreams++
	e.localMemory += req.Prompt
	e.localForecast.Add(&forecast, 1)
	e.changes = append(e.changes, change{at: now, streams: 1, memory: req.Prompt})
	p.placementRate.record(now)
	return &Reservation{
		Server:          e.server,
		pool:            p,
		engine:          e,
		estimator:       est,
		commonEstimator: p.estimator(estimatorKey{}),
		prompt:          req.Prompt,
		countedMemory:   req.Prompt,
		forecast:        forecast,
		nextBound:       length.BucketStart(1),
	}
}

// dispatch places waiters in order until the first that does not fit.
func (p *Pool) dispatch(now time.Time) {
	for {
		e := p.queue.Peek()
		if e == nil {
			p.throughput.reset()
			return
		}
		res := p.tryPlace(e.Value.req, now)
		if res == nil {
			return
		}
		p.queue.Remove(e)
		p.invariants.Assert(invar.UrgentFirst, e.Rank == 0 || p.queue.Urgent() == 0,
			"%d urgent generations are queued while another is placed", p.queue.Urgent())
		p.throughput.record(now)
		e.Value.placed <- res
	}
}

// QueueLen returns the number of queued generations.
func (p *Pool) QueueLen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}
