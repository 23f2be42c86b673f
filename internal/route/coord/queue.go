package coord

import (
	"cmp"
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/fair"
	"umberladder/internal/policy/ticket"
	"umberladder/internal/route/pick"
)

// maxLate is the maximum number of queued calls that cannot start in time, at
// each of the two levels for them. They get the capacity that other calls do not
// use; calls beyond this number are refused at once.
const maxLate = 16

// maxSkipped is how many workspaces whose next calls no engine has room for are skipped until
// capacity is free again. Each costs one choice of an engine.
const maxSkipped = 8

// Requests that are bound to failure domains don't count as skipped workspaces, since others may
// fit elsewhere. At most maxBound of them are tried while the queue is served once, because each
// costs one choice of an engine; after maxBoundOfOne of a workspace, the whole workspace is skipped.
const (
	maxBound      = 32
	maxBoundOfOne = 8
)

// Priority levels of queued requests, in the order in which they are served.
const (
	continueLevel = iota // streams that have begun
	onTimeLevel          // calls that can still start in time
	dueLevel             // calls that were refused and came back when their tickets were due
	lateLevel            // calls that cannot start in time
	numLevels
)

// serviceQueue holds the requests queued for capacity on a service's engines.
type serviceQueue struct {
	service ident.Service
	levels  [numLevels]*levelQueue
	// blocked are the engines that streams that have begun may run at, and that they wait for
	// rather than for a link.
	blocked      pick.Reserved
	urgentTokens int                // tokens of queued requests of streams that have begun, and of queued calls of rank 0
	queuedTokens [numLevels]int     // tokens of queued requests
	grantRate    [numLevels]float64 // recently granted tokens per second while the queues were non-empty
	busySince    time.Time          // since when the queues have been non-empty
	updatedAt    time.Time          // when the rates were last updated

	tickets   *ticket.Book // of refused calls
	meter     *fair.Meter[ident.Workspace]
	queued    map[ident.Workspace]int       // queued requests of each workspace whose share is known
	limited   map[ident.Workspace]time.Time // workspaces held to their share, and when it last took effect
	checkedAt time.Time                     // when limited was last checked for workspaces that no longer are
}

func newServiceQueue(s ident.Service) *serviceQueue {
	sq := &serviceQueue{service: s, tickets: ticket.New(), meter: fair.NewMeter[ident.Workspace](), queued: make(map[ident.Workspace]int), limited: make(map[ident.Workspace]time.Time)}
	for i := range sq.levels {
		sq.levels[i] = newLevelQueue()
	}
	return sq
}

// serveContinued grants capacity to streams that have begun, and that other calls must not
// displace. Runs migrate one per source engine at a time: KV caches that share a link would all
// arrive late. It records for which engines more capacity is needed. As these are left to the
// streams that have been tried, a version costs at most one vain choice per failure domain.
func (c *Coordinator) serveContinued(sq *serviceQueue, now time.Time) {
	sq.blocked = nil
	for _, e := range sq.levels[continueLevel].ranked.Sorted() {
		r := e.Value
		switch {
		case now.Sub(r.lastSeen) > requestTTL:
			sq.remove(r, false, now)
			c.forget(r)
		case now.After(r.deadline):
			sq.remove(r, false, now)
			c.refuse(sq, r, now)
		case !sq.blocked.CoversOwn(&r.Run):
			done, noCapacity := c.tryPlace(sq, r, now)
			if done {
				sq.remove(r, r.response.State == Granted, now)
			}
			if noCapacity {
				sq.blocked = sq.blocked.Add(&r.Run)
			}
		}
	}
}

// serveLevel removes expired requests of a level and grants capacity to the
// others. It reports whether more capacity may be free, also if it is only in failure domains that
// the requests that were tried are not bound to. A request for which there is none keeps the others
// from being served only if it would do so without shares: requests that need much would otherwise
// never get it. One that is bound to failure domains does not.
func (c *Coordinator) serveLevel(sq *serviceQueue, level int, hasCapacity bool, now time.Time) bool {
	l := sq.levels[level]
	if l.isShared() {
		for r := l.expired(now); r != nil; r = l.expired(now) {
			c.expire(sq, r, now)
		}
	}
	defer l.resume(now)
	var tried []*request
	unbound, bound := 0, 0 // of those tried
	boundOf := make(map[ident.Workspace]int)
	for l.len() > 0 {
		r, withoutShares := l.first(), l.ranked.Peek().Value
		if r == nil || unbound >= maxSkipped || bound >= maxBound {
			r = withoutShares
		}
		switch {
		case slices.Contains(tried, r):
			return unbound == 0
		case r.isExpired(level, now):
			c.expire(sq, r, now)
			continue
		case !hasCapacity:
			return false
		}
		if done, _ := c.tryPlace(sq, r, now); done {
			sq.remove(r, r.response.State == Granted, now)
			continue
		}
		if r == withoutShares && (!l.isShared() || !r.isBound()) {
			return false
		}
		tried = append(tried, r)
		if !r.isBound() {
			unbound++
			l.skip(r)
			continue
		}
		bound++
		if boundOf[r.Run.Workspace]++; boundOf[r.Run.Workspace] < maxBoundOfOne {
			l.skipOne(r)
		} else {
			l.skip(r)
		}
	}
	return hasCapacity
}

// isExpired reports whether a request has to leave its level.
func (r *request) isExpired(level int, now time.Time) bool {
	return now.Sub(r.lastSeen) > requestTTL || level == onTimeLevel && now.After(r.startBy) || now.After(r.deadline)
}

// expire removes a request whose time at its level has ended. One that can no longer start in
// time becomes late.
func (c *Coordinator) expire(sq *serviceQueue, r *request, now time.Time) {
	level := r.level
	sq.remove(r, false, now)
	switch {
	case now.Sub(r.lastSeen) > requestTTL:
		c.forget(r)
	case level == onTimeLevel && now.After(r.startBy):
		if !c.enqueue(sq, r, now) {
			c.refuse(sq, r, now)
		}
	default:
		c.refuse(sq, r, now)
	}
}

// forget drops a request that was not repeated. If it is repeated nevertheless, it counts as new.
func (c *Coordinator) forget(r *request) {
	delete(c.requests, requestKey{vm: r.VM, id: r.ID})
	c.returnTicket(r)
}

// refuse responds to the request with NoCapacity.
func (c *Coordinator) refuse(sq *serviceQueue, r *request, now time.Time) {
	if r.Run.RetryKey != 0 {
		c.refused[r.Run.RetryKey] = r.lastSeen
	}
	c.recordRefusal(sq, r, now)
	r.response.State = NoCapacity
	r.response.Share = sq.share(r, now)
	r.response.OwnAhead = sq.ownQueued(r)
	r.response.RetryAfter = sq.retryAfter(r, now)
	r.respond(r.response)
}

func (sq *serviceQueue) queueLen() int {
	n := 0
	for _, l := range sq.levels {
		n += l.len()
	}
	return n
}

// levelAt returns the priority level of the request at a given time.
func (r *request) levelAt(now time.Time) int {
	switch {
	case r.Run.Continues():
		return continueLevel
	case r.due:
		return dueLevel
	case !now.Before(r.startBy):
		return lateLevel
	default:
		return onTimeLevel
	}
}

// mustQueue reports whether other requests have to be served before a new one.
func (sq *serviceQueue) mustQueue(r *request, now time.Time) bool {
	if r.Run.Continues() {
		return sq.blocked.CoversAny(&r.Run) || sq.blocked.CoversOwn(&r.Run)
	}
	return sq.blocked.CoversAny(&r.Run) || sq.levels[onTimeLevel].len() > 0 ||
		r.levelAt(now) >= dueLevel && sq.levels[dueLevel].len() > 0
}

// enqueue queues the request, or reports false if it would not be served in
// time.
func (c *Coordinator) enqueue(sq *serviceQueue, r *request, now time.Time) bool {
	level := r.levelAt(now)
	if level == onTimeLevel && sq.estimateWait(r, level) > r.startBy.Sub(now) {
		level = lateLevel
		c.checkLimited(sq, r, now)
	}
	remaining := r.deadline.Sub(now)
	if remaining <= 0 {
		return false
	}
	if level == dueLevel && !c.makeLatePlace(sq, r, level, now) {
		level = lateLevel
	}
	if level == lateLevel && !c.makeLatePlace(sq, r, level, now) {
		return false
	}
	bound := remaining
	if level == onTimeLevel {
		bound = r.startBy.Sub(now)
	}
	r.level = level
	sq.push(r, bound, now)
	return true
}

// makeLatePlace reports whether a level of calls that cannot start in time has a place for the
// request. If it is full, a request of the workspace that has most places for its weight is refused
// instead, or moved from dueLevel to lateLevel if there is a place, unless the request's own
// workspace would then have as many. Requests of rank 0 are refused only for others of rank 0, and
// if no request of another rank can be; they also displace requests of other ranks of their own
// workspace.
func (c *Coordinator) makeLatePlace(sq *serviceQueue, r *request, level int, now time.Time) bool {
	l := sq.levels[level]
	if l.len() < maxLate {
		return true
	}
	if !l.isShared() || !r.hasShare() {
		return false
	}
	places := map[ident.Workspace]float64{r.Run.Workspace: 1 / float64(r.Run.Weight)}
	var victim *request
	queued := l.byExpiry.Sorted()
	for _, e := range queued {
		places[e.Value.Run.Workspace] += 1 / float64(e.Value.Run.Weight)
	}
	for _, e := range queued { // of one workspace, the request with the latest deadline
		q := e.Value
		if q.Run.Rank == 0 && r.Run.Rank != 0 {
			continue
		}
		outranked := q.Run.Workspace == r.Run.Workspace && r.Run.Rank == 0 && q.Run.Rank != 0
		if places[q.Run.Workspace] <= places[r.Run.Workspace] && !outranked {
			continue
		}
		if victim == nil || cmp.Or(
			cmp.Compare(min(q.Run.Rank, 1), min(victim.Run.Rank, 1)),
			cmp.Compare(places[q.Run.Workspace], places[victim.Run.Workspace]),
		) >= 0 {
			victim = q
		}
	}
	if victim == nil {
		return false
	}
	c.displace(sq, victim, now)
	return true
}

// displace moves a request from dueLevel to lateLevel, if there is a place, or refuses it.
func (c *Coordinator) displace(sq *serviceQueue, r *request, now time.Time) {
	level := r.level
	sq.remove(r, false, now)
	if level == dueLevel && sq.levels[lateLevel].len() < maxLate {
		r.level = lateLevel
		sq.push(r, r.deadline.Sub(now), now)
		return
	}
	c.refuse(sq, r, now)
}

// setRank changes the rank of a queued request. It keeps its level, and its deadline within it.
func (sq *serviceQueue) setRank(r *request, rank int, now time.Time) {
	bound := r.expiry.Deadline.Sub(now)
	sq.remove(r, false, now)
	r.Run.Rank = rank
	sq.push(r, bound, now)
}

// push queues a request at its level, which it has to leave after bound.
func (sq *serviceQueue) push(r *request, bound time.Duration, now time.Time) {
	sq.levels[r.level].push(r, bound, now)
	sq.addTokens(r, r.Run.Need)
	if r.hasShare() {
		sq.queued[r.Run.Workspace]++
	}
}

func (sq *serviceQueue) remove(r *request, granted bool, now time.Time) {
	sq.levels[r.level].remove(r, granted, now)
	sq.addTokens(r, -r.Run.Need)
	if !r.hasShare() {
		return
	}
	if sq.queued[r.Run.Workspace]--; sq.queued[r.Run.Workspace] == 0 {
		delete(sq.queued, r.Run.Workspace)
	}
}

func (sq *serviceQueue) addTokens(r *request, tokens int) {
	sq.queuedTokens[r.level] += tokens
	if r.isUrgent() {
		sq.urgentTokens += tokens
	}
}
