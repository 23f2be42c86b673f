package coord

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/queue"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
)

const (
	// grantTTL is how long a grant is added to the reported loads. By then the
	// VM that got it has reported the run in its own load, even if one message
	// was lost.
	grantTTL = 60 * time.Millisecond
	// briefGrantTTL is the same for a brief run, which usually ends before a lost message
	// would be repeated.
	briefGrantTTL = 25 * time.Millisecond
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
	// rateWindow is the time constant of the moving average of granted tokens.
	rateWindow = time.Second
	// minBusyTime is how long the queues must have been non-empty before the grant
	// rate is used for estimates.
	minBusyTime = 100 * time.Millisecond
	// maxLate is the maximum number of queued calls that cannot start in time. They
	// get the capacity that other calls do not use; calls beyond this number are
	// refused at once.
	maxLate = 16
	// refusedTTL is how long a refused call is remembered. If the client repeats
	// it within this time, it does not take capacity from calls that can still
	// start in time.
	refusedTTL = 15 * time.Second
	// MinRetryAfter and maxRetryAfter bound the retry delay given to a refused
	// run. A run is refused only if all priority levels are full, which does not
	// change quickly.
	MinRetryAfter = 4 * time.Second
	maxRetryAfter = 12 * time.Second
)

// Request is a VM's request to place one run.
type Request struct {
	VM  ident.VM
	ID  uint64 // unique among the VM's requests
	Run pick.Request
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
	RetryAfter time.Duration // delay after which capacity is likely, if refused for lack of it
}

// Coordinator places the runs of all VMs that send it requests. It is safe for
// concurrent use.
type Coordinator struct {
	chooser *pick.Chooser

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

// request is a queued or decided Request.
type request struct {
	Request
	respond  func(Response)
	lastSeen time.Time // when the VM last sent the request
	startBy  time.Time // latest start that is in time
	deadline time.Time // end of the wait
	response Response
	level    int
	entry    *queue.Entry[*request]
}

// Priority levels of queued requests, in the order in which they are served.
const (
	continueLevel = iota // streams that have begun
	onTimeLevel          // calls that can still start in time
	lateLevel            // calls that cannot start in time
	numLevels
)

// serviceQueue holds the requests queued for capacity on a service's engines.
type serviceQueue struct {
	queues [numLevels]*queue.Queue[*request]
	// blocked are the versions of the software for whose engines a stream that has begun waits
	// for capacity rather than for a link; the empty version stands for all.
	blocked      []ident.Version
	urgentTokens int                // tokens of queued requests of streams that have begun, and of queued calls of rank 0
	queuedTokens [numLevels]int     // tokens of queued requests
	grantRate    [numLevels]float64 // recently granted tokens per second while the queues were non-empty
	busySince    time.Time          // since when the queues have been non-empty
	updatedAt    time.Time          // when the rates were last updated
}

// grant is capacity granted to a VM that may not have reported it yet.
type grant struct {
	server ident.Server
	load   alloc.Load
	until  time.Time
}

// New returns a Coordinator without queued requests.
func New(c *pick.Chooser) *Coordinator {
	return &Coordinator{chooser: c, requests: make(map[requestKey]*request), queues: make(map[ident.Service]*serviceQueue), refused: make(map[uint64]time.Time)}
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
	old := c.requests[key]
	if old != nil {
		old.lastSeen, old.respond = now, reply
		if old.entry != nil && old.Run.Rank != r.Run.Rank {
			c.queueFor(old.Run.Service).setRank(old, r.Run.Rank, now)
		}
		reply(old.response)
		return
	}
	req := &request{
		Request: r, respond: reply, lastSeen: now, startBy: now.Add(r.Run.TargetWait), deadline: now.Add(r.Run.MaxWait),
		response: Response{ID: r.ID},
	}
	if at, ok := c.refused[r.Run.RetryKey]; ok && now.Sub(at) < refusedTTL {
		req.startBy = now
	}
	c.requests[key] = req
	c.chooser.MarkUnreachable(r.Run.Unreachable, now)
	sq := c.queueFor(r.Run.Service)
	sq.decayRates(now)
	if !sq.mustQueue(req) {
		if done, _ := c.tryPlace(sq, req, now); done {
			return
		}
	}
	req.response.Ahead = sq.queueLen()
	if !sq.enqueue(req, now) {
		c.refuse(sq, req)
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
		sq = &serviceQueue{}
		for i := range sq.queues {
			sq.queues[i] = queue.New[*request]()
		}
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
		sq.blocked = c.serveContinued(sq, now)
		hasCapacity := !sq.isBlocked("")
		for level := onTimeLevel; level < numLevels; level++ {
			hasCapacity = c.serveLevel(sq, level, hasCapacity, now)
		}
	}
	for key, r := range c.requests {
		if r.entry == nil && now.Sub(r.lastSeen) > responseTTL {
			delete(c.requests, key)
		}
	}
	for key, at := range c.refused {
		if now.Sub(at) > refusedTTL {
			delete(c.refused, key)
		}
	}
}

// serveContinued grants capacity to streams that have begun, and that other calls must not
// displace. Runs migrate one per source engine at a time: KV caches that share a link would all
// arrive late. It returns the versions of which more capacity is needed.
func (c *Coordinator) serveContinued(sq *serviceQueue, now time.Time) []ident.Version {
	var blocked []ident.Version
	for _, e := range sq.queues[continueLevel].Sorted() {
		r := e.Value
		switch {
		case now.Sub(r.lastSeen) > requestTTL:
			sq.remove(r)
		case now.After(r.deadline):
			sq.remove(r)
			c.refuse(sq, r)
		case !slices.Contains(blocked, r.Run.Version):
			granted, noCapacity := c.tryPlace(sq, r, now)
			if granted {
				sq.remove(r)
			}
			if noCapacity {
				blocked = append(blocked, r.Run.Version)
			}
		}
	}
	return blocked
}

// isBlocked reports whether streams that have begun precede a request for the engines of a
// version, or of all versions if it is empty.
func (sq *serviceQueue) isBlocked(v ident.Version) bool {
	return slices.Contains(sq.blocked, "") || v != "" && slices.Contains(sq.blocked, v)
}

// serveLevel removes expired requests of a level and grants capacity to the
// others. It reports whether more capacity may be free.
func (c *Coordinator) serveLevel(sq *serviceQueue, level int, hasCapacity bool, now time.Time) bool {
	for {
		e := sq.queues[level].Peek()
		if e == nil {
			return hasCapacity
		}
		r := e.Value
		switch {
		case now.Sub(r.lastSeen) > requestTTL:
			sq.remove(r)
		case level == onTimeLevel && now.After(r.startBy):
			sq.remove(r)
			if !sq.enqueue(r, now) {
				c.refuse(sq, r)
			}
		case now.After(r.deadline):
			sq.remove(r)
			c.refuse(sq, r)
		case hasCapacity:
			if granted, _ := c.tryPlace(sq, r, now); !granted {
				return false
			}
			sq.remove(r)
		default:
			return false
		}
	}
}

// tryPlace grants the request capacity, or responds with NoServer. It reports
// whether it responded, and if not, whether the reason is a lack of capacity
// rather than a busy link.
func (c *Coordinator) tryPlace(sq *serviceQueue, r *request, now time.Time) (done, noCapacity bool) {
	r.Run.Reserved = sq.blocked
	placement, err := c.chooser.Choose(&r.Run, c.pendingGrants(now), now)
	switch {
	case errors.Is(err, pick.ErrNoServer):
		r.response.State = NoServer
	case err != nil:
		var full *pick.NoCapacityError
		return false, !errors.As(err, &full) || !full.LinkBusy
	default:
		r.response.State, r.response.Server = Granted, placement.Server.ID
		c.grants = append(c.grants, grant{server: placement.Server.ID, load: r.Run.Load(), until: now.Add(r.grantTTL())})
		if r.Run.Source != "" {
			c.grants = append(c.grants, grant{server: r.Run.Source, load: alloc.Load{CopiesOut: 1}, until: now.Add(grantTTL)})
		}
		if placement.Backup != nil {
			r.response.Backup = placement.Backup.ID
			c.grants = append(c.grants, grant{server: placement.Backup.ID, load: r.Run.BackupLoad(), until: now.Add(grantTTL)})
		}
		sq.grantRate[r.levelAt(now)] += float64(r.Run.Need) / rateWindow.Seconds()
	}
	r.respond(r.response)
	return true, false
}

func (r *request) grantTTL() time.Duration {
	if r.Run.Brief {
		return briefGrantTTL
	}
	return grantTTL
}

// refuse responds to the request with NoCapacity.
func (c *Coordinator) refuse(sq *serviceQueue, r *request) {
	if r.Run.RetryKey != 0 {
		c.refused[r.Run.RetryKey] = r.lastSeen
	}
	r.response.State = NoCapacity
	r.response.RetryAfter = min(max(sq.estimateWait(r, onTimeLevel), MinRetryAfter), maxRetryAfter)
	r.respond(r.response)
}

// pendingGrants returns the granted loads that VMs may not have reported yet.
func (c *Coordinator) pendingGrants(now time.Time) map[ident.Server]alloc.Load {
	n := 0
	for n < len(c.grants) && now.After(c.grants[n].until) {
		n++
	}
	c.grants = c.grants[n:]
	out := make(map[ident.Server]alloc.Load, len(c.grants))
	for _, g := range c.grants {
		if now.After(g.until) {
			continue // brief grants end before longer ones that were made earlier
		}
		out[g.server] = out[g.server].Plus(g.load)
	}
	return out
}

// decayRates updates the grant rates. It resets them while the queues are empty,
// because they then say nothing about the engines' throughput.
func (sq *serviceQueue) decayRates(now time.Time) {
	if sq.queueLen() == 0 {
		sq.grantRate = [numLevels]float64{}
		sq.busySince, sq.updatedAt = now, now
		return
	}
	elapsed := now.Sub(sq.updatedAt)
	if elapsed <= 0 {
		return
	}
	for i := range sq.grantRate {
		sq.grantRate[i] *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	}
	sq.updatedAt = now
}

func (sq *serviceQueue) queueLen() int {
	n := 0
	for _, q := range sq.queues {
		n += q.Len()
	}
	return n
}

// levelAt returns the priority level of the request at a given time.
func (r *request) levelAt(now time.Time) int {
	switch {
	case r.Run.Continues():
		return continueLevel
	case !now.Before(r.startBy):
		return lateLevel
	default:
		return onTimeLevel
	}
}

// mustQueue reports whether other requests have to be served before a new one.
func (sq *serviceQueue) mustQueue(r *request) bool {
	if r.Run.Continues() {
		return sq.isBlocked(r.Run.Version)
	}
	return sq.isBlocked("") || sq.queues[onTimeLevel].Len() > 0
}

// isUrgent reports whether the request is for a stream that has begun or has rank 0, and so
// precedes the other calls.
func (r *request) isUrgent() bool { return r.Run.Continues() || r.Run.Rank == 0 }

// maxEstimate caps wait estimates; it is longer than any wait.
const maxEstimate = time.Hour

// estimateWait returns how long it takes to serve the request and all that
// precede it at a level, at the recent grant rate; zero if that is not known.
func (sq *serviceQueue) estimateWait(r *request, level int) time.Duration {
	tokens, rate := r.Run.Need, 0.0
	for i := range level + 1 {
		tokens += sq.queuedTokens[i]
		rate += sq.grantRate[i]
	}
	if r.isUrgent() {
		tokens = r.Run.Need + sq.urgentTokens
	}
	busy := sq.updatedAt.Sub(sq.busySince)
	if busy < minBusyTime {
		return 0
	}
	// The grant rates are moving averages that start at zero, so after this time
	// they are too low by the factor warmup.
	warmup := 1 - math.Exp(-busy.Seconds()/rateWindow.Seconds())
	seconds := float64(tokens) * warmup / rate
	if seconds > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(seconds * float64(time.Second))
}

// enqueue queues the request, or reports false if it would not be served in
// time.
func (sq *serviceQueue) enqueue(r *request, now time.Time) bool {
	level := r.levelAt(now)
	if level == onTimeLevel && sq.estimateWait(r, level) > r.startBy.Sub(now) {
		level = lateLevel
	}
	remaining := r.deadline.Sub(now)
	if remaining <= 0 || level == lateLevel && sq.queues[level].Len() >= maxLate {
		return false
	}
	bound := remaining
	if level == onTimeLevel {
		bound = r.startBy.Sub(now)
	}
	r.level = level
	r.entry = sq.queues[level].Push(r, r.Run.Rank, now, bound)
	sq.addTokens(r, r.Run.Need)
	return true
}

// setRank changes the rank of a queued request. It keeps its level, and its deadline within it.
func (sq *serviceQueue) setRank(r *request, rank int, now time.Time) {
	bound := r.entry.Deadline.Sub(now)
	sq.remove(r)
	r.Run.Rank = rank
	r.entry = sq.queues[r.level].Push(r, rank, now, bound)
	sq.addTokens(r, r.Run.Need)
}

func (sq *serviceQueue) remove(r *request) {
	sq.queues[r.level].Remove(r.entry)
	r.entry = nil
	sq.addTokens(r, -r.Run.Need)
}

func (sq *serviceQueue) addTokens(r *request, tokens int) {
	sq.queuedTokens[r.level] += tokens
	if r.isUrgent() {
		sq.urgentTokens += tokens
	}
}
