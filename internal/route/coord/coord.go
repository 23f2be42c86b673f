package coord

import (
	"context"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pick"
)

const (
	// requestTTL is how long a queued request is kept without being repeated.
	// After that its VM is down or its client has disconnected.
	requestTTL = 500 * time.Millisecond
	// responseTTL is how long a response is kept for repetitions of its request.
	responseTTL = time.Second
	// serveInterval is how often the queues are served, in addition to when
	// capacity may have changed.
	serveInterval = 10 * time.Millisecond
	// serveCostFactor is how many times as long as serving the queues took the coordinator
	// waits before it does so again. VMs report changes of loads more often the more VMs
	// there are.
	serveCostFactor = 4
	// refusedTTL is how long a refused call is remembered. If the client repeats
	// it within this time, it does not take capacity from calls that can still
	// start in time.
	refusedTTL = 15 * time.Second
	// MinRetryAfter and maxRetryAfter bound the retry delay given to a refused
	// run. A run is refused only if all priority levels are full, which does not
	// change quickly. One that returns early is given the rest of its delay.
	MinRetryAfter = 4 * time.Second
	maxRetryAfter = 12 * time.Second
)

// Request is a VM's request to place one run.
type Request struct {
	VM  ident.VM
	ID  uint64 // unique among the VM's requests
	Run pick.Request
	// ReportsGrants is whether the VM's reports state the grant of the run, which is brief, once
	// the VM has received it. Those of older VMs don't.
	ReportsGrants bool
}

// State is the state of a request.
type State uint8

// The states of a request.
const (
	Waiting State = iota // queued until an engine has capacity
	Granted
	NoCapacity // refused: no engine will have capacity in time
	NoServer   // refused: no server accepts work
)

// Response is the coordinator's response to a Request.
type Response struct {
	ID         uint64
	State      State
	Server     ident.Server  // set if granted
	Backup     ident.Server  // keeps a copy of the KV cache; empty: none
	Ahead      int           // runs queued before this one
	OwnAhead   int           // of these, runs of the same workspace
	Share      int           // of what was granted recently, what the workspace got, in thousandths
	RetryAfter time.Duration // delay after which capacity is likely, if refused for lack of it
}

// Coordinator places the runs of all VMs that send it requests. It is safe for
// concurrent use.
type Coordinator struct {
	chooser  *pick.Chooser
	observer Observer

	mu       sync.Mutex
	requests map[requestKey]*request
	queues   map[ident.Service]*serviceQueue
	grants   []grant
	refused  map[uint64]time.Time // time of the last refusal, by retry key
}

type requestKey struct {
	vm ident.VM
	id uint64
}

// New returns a Coordinator without queued requests.
func New(c *pick.Chooser) *Coordinator {
	return &Coordinator{
		chooser: c, observer: noObserver{}, requests: make(map[requestKey]*request),
		queues: make(map[ident.Service]*serviceQueue), refused: make(map[uint64]time.Time),
	}
}

// Run serves the queued requests until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(serveInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.chooser.Changed():
		case <-t.C:
		}
		start := time.Now()
		c.serve(start)
		if pause := min(serveInterval, serveCostFactor*time.Since(start)); pause > 0 {
			retry.Sleep(ctx, pause)
		}
	}
}

// Submit handles a new or repeated request. It calls reply with each response;
// reply must not call the Coordinator.
func (c *Coordinator) Submit(r Request, reply func(Response), now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := requestKey{vm: r.VM, id: r.ID}
	if old := c.requests[key]; old != nil {
		old.lastSeen, old.respond = now, reply
		if old.isQueued() && old.Run.Rank != r.Run.Rank {
			c.queueFor(old.Run.Service).setRank(old, r.Run.Rank, now)
		}
		reply(old.response)
		return
	}
	req := &request{
		Request: r, respond: reply, lastSeen: now, startBy: now.Add(r.Run.TargetWait), deadline: now.Add(r.Run.MaxWait),
		response: Response{ID: r.ID},
	}
	if r.Run.Remaining > 0 {
		req.leaves = now.Add(r.Run.Remaining)
	}
	sq := c.queueFor(r.Run.Service)
	if at, ok := c.refused[r.Run.RetryKey]; ok && now.Sub(at) < refusedTTL {
		req.startBy, req.due = now, sq.isDue(req, now)
	}
	c.requests[key] = req
	c.chooser.MarkUnreachable(r.Run.Unreachable, now)
	sq.decayRates(now)
	sq.recordDemand(req, now)
	if !sq.mustQueue(req, now) {
		if done, _ := c.tryPlace(sq, req, now); done {
			return
		}
	}
	req.response.Ahead, req.response.OwnAhead = sq.queueLen(), sq.ownQueued(req)
	if !c.enqueue(sq, req, now) {
		c.refuse(sq, req, now)
		return
	}
	reply(req.response)
}

// QueueLen returns the number of queued requests of all services.
func (c *Coordinator) QueueLen() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, sq := range c.queues {
		n += sq.queueLen()
	}
	return n
}

func (c *Coordinator) queueFor(s ident.Service) *serviceQueue {
	sq := c.queues[s]
	if sq == nil {
		sq = newServiceQueue(s)
		c.queues[s] = sq
	}
	return sq
}

// serve grants capacity to queued requests, in order, until there is none.
func (c *Coordinator) serve(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sq := range c.queues {
		sq.decayRates(now)
		c.serveContinued(sq, now)
		hasCapacity := !sq.blocked.CoversAny(&pick.Request{})
		for level := onTimeLevel; level < numLevels; level++ {
			hasCapacity = c.serveLevel(sq, level, hasCapacity, now)
		}
		c.updateLimited(sq, now)
	}
	for key, r := range c.requests {
		if !r.isQueued() && now.Sub(r.lastSeen) > responseTTL {
			delete(c.requests, key)
		}
	}
	for key, at := range c.refused {
		if now.Sub(at) > refusedTTL {
			delete(c.refused, key)
		}
	}
}
