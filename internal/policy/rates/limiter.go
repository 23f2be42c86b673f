package rates

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// Span is the length of the sliding window in which requests count against a limit.
	Span = 4 * time.Second
	// tolerance is the factor by which requests in a Span may exceed a limit, and
	// extraRequests is allowed on top. They absorb random arrivals, which matter most for
	// small limits.
	tolerance     = 1.1
	extraRequests = 2
	// expiry is how long a limit stays in force without being confirmed by a response.
	expiry = 30 * time.Second
	// fadeAfter is how long a limit applies as stated without being confirmed. Then its rate
	// doubles every fadeDoubling, so that a request confirms it before it expires at all VMs at
	// once: a server whose calls mostly go to others may get no request for as long as expiry.
	// maxFade bounds the increase, in requests a second: after a pause, the rate applies to all
	// demand until a request confirms the limit.
	fadeAfter    = 10 * time.Second
	fadeDoubling = 1500 * time.Millisecond
	maxFade      = 4
	// endedRetention is how long an ended limit is remembered and reported, so that outdated
	// reports do not restore it.
	endedRetention = 10 * time.Second
	// minRate is the lowest limit that is enforced, in requests a second. Some requests
	// must be sent for their responses to show that the limit has ended.
	minRate = 0.25
	// maxReported bounds the number of limits in one message.
	maxReported = 64
	// burstTime sets the token bucket's capacity: the requests that a limit allows in this
	// time may be granted at once.
	burstTime = 500 * time.Millisecond
)

// Demand provides request rates and the number of VMs.
type Demand interface {
	// Rates returns the request rates, per second, of this VM and of all VMs to a service.
	Rates(s ident.Service, now time.Time) (own, all float64)
	// VMs returns the number of VMs, this one included.
	VMs(now time.Time) int
}

// Limit is a server's rate limit as one VM reports it to another.
type Limit struct {
	Server ident.Server
	Rate   float64   // requests a second; zero: the limit has ended
	At     time.Time // when the server stated the limit or its end
	Sent   int       // requests sent in the last Span by the VM or, in a hub's response, by all VMs but the receiver
}

// Limiter enforces the rate limits that servers have stated. It is safe for concurrent use.
type Limiter struct {
	demand  Demand
	changed func(id ident.Server, rate float64)

	entryCount atomic.Int64 // len(servers); lets callers skip the lock when it is zero
	mu         sync.Mutex
	servers    map[ident.Server]*entry
	peers      peers
}

// entry is the state of a server that has stated a limit.
type entry struct {
	rate float64   // zero: the limit has ended
	at   time.Time // when the server stated the limit or its end
	sent window
	// tokens is the number of requests that may be granted now. It refills at the rate.
	tokens     float64
	refilledAt time.Time
}

// New returns a limiter without limits. The limiter calls changed when a limit is first
// stated and when a response or a report ends it, but not when it expires.
func New(d Demand, changed func(id ident.Server, rate float64)) *Limiter {
	return &Limiter{demand: d, changed: changed, servers: make(map[ident.Server]*entry), peers: newPeers()}
}

// Observe records the limit in a server's response, in requests a second; zero: it states
// none. A response without a limit is dated to when its request was sent, because the server
// may have produced it at any time since. A limit is dated to now.
func (l *Limiter) Observe(id ident.Server, rate float64, sent, now time.Time) {
	if !(rate > 0) {
		if l.entryCount.Load() > 0 {
			l.setLimit(id, 0, sent, now)
		}
		return
	}
	l.setLimit(id, rate, now, now)
}

// setLimit records a limit that a server stated at the given time, and calls changed if
// needed.
func (l *Limiter) setLimit(id ident.Server, rate float64, at, now time.Time) {
	l.mu.Lock()
	changed := l.update(id, rate, at, now)
	l.mu.Unlock()
	if changed {
		l.changed(id, rate)
	}
}

// update records a limit unless a later one is known. It reports whether the server went
// from unlimited to limited or back. The caller holds the lock.
func (l *Limiter) update(id ident.Server, rate float64, at, now time.Time) bool {
	l.expire(now)
	e := l.servers[id]
	if e == nil && (rate == 0 || now.Sub(at) > expiry) {
		return false
	}
	if e == nil {
		e = &entry{tokens: 1, refilledAt: now}
		l.servers[id] = e
		l.entryCount.Store(int64(len(l.servers)))
	}
	if !at.After(e.at) {
		return false
	}
	e.at = at
	if rate > 0 {
		rate = max(rate, minRate)
	}
	changed := (e.rate > 0) != (rate > 0)
	e.rate = rate
	return changed
}

// expire removes limits that were not confirmed in time, and ended limits after endedRetention.
func (l *Limiter) expire(now time.Time) {
	for id, e := range l.servers {
		if age := now.Sub(e.at); age > expiry || e.rate == 0 && age > endedRetention {
			delete(l.servers, id)
		}
	}
	l.entryCount.Store(int64(len(l.servers)))
}

// limited returns the entry of a server whose limit is in force, or nil.
func (l *Limiter) limited(id ident.Server, now time.Time) *entry {
	e := l.servers[id]
	if e == nil || e.rate == 0 || now.Sub(e.at) > expiry {
		return nil
	}
	return e
}

// VMs returns the number of VMs, this one included.
func (l *Limiter) VMs(now time.Time) int { return max(l.demand.VMs(now), 1) }

// ColdSkips reports, for each server in the list, whether a call to the service must not be
// sent to it because the server is cold and tolerates only limit requests a second from all
// VMs together. cold says which servers are. Like Skips, it leaves a server available with
// a probability that keeps the fleet's mean rate low enough.
func (l *Limiter) ColdSkips(s ident.Service, cold []bool, limit float64, now time.Time) []bool {
	out := make([]bool, len(cold))
	_, all := l.demand.Rates(s, now)
	share := IndependentRate(limit) / max(all, float64(l.VMs(now)))
	for i := range cold {
		out[i] = cold[i] && rand.Float64() > share
	}
	return out
}

// RecordSent counts a request that is sent to a server.
func (l *Limiter) RecordSent(id ident.Server, now time.Time) {
	if l.entryCount.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.servers[id]; e != nil {
		e.sent.add(now)
	}
}

// IsLimited reports whether a server's limit is in force.
func (l *Limiter) IsLimited(id ident.Server, now time.Time) bool {
	if l.entryCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limited(id, now) != nil
}

// LimitedCount returns the number of servers whose limits are in force.
func (l *Limiter) LimitedCount(now time.Time) int {
	if l.entryCount.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for id := range l.servers {
		if l.limited(id, now) != nil {
			n++
		}
	}
	return n
}

// Skips reports, for each server in the list, whether a call to the service must not be
// sent to it. A server whose limit is not used up stays available with a probability of its
// limit divided by the fleet's demand. Skips may return nil if no server is limited.
func (l *Limiter) Skips(s ident.Service, list []ident.Server, now time.Time) []bool {
	if l.entryCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	own, all := l.demand.Rates(s, now)
	out := make([]bool, len(list))
	available := make([]float64, len(list)) // limits that are not used up
	total, open := 0.0, false
	for i, id := range list {
		e := l.limited(id, now)
		if e == nil {
			open = true
			continue
		}
		total += e.rate
		if l.exhausted(id, e, own, all, now) {
			out[i] = true
			continue
		}
		available[i] = e.rate
		rate := e.fadedRate(now)
		out[i] = all > rate && rand.Float64() > rate/all
		open = open || !out[i]
	}
	if !open && total >= all {
		if i := weightedIndex(available); i >= 0 {
			out[i] = false
		}
	}
	return out
}

// fadedRate returns the limit with its increase while no response confirms it, in requests a
// second. The requests that count against the limit in a Span do not increase.
func (e *entry) fadedRate(now time.Time) float64 {
	unconfirmed := now.Sub(e.at) - fadeAfter
	return min(e.rate*math.Exp2(max(float64(unconfirmed)/float64(fadeDoubling), 0)), e.rate+maxFade)
}

// exhausted reports whether, in the last Span, the fleet has used up the limit or this VM
// has used up its share.
func (l *Limiter) exhausted(id ident.Server, e *entry, own, all float64, now time.Time) bool {
	allowed := tolerance * e.rate * Span.Seconds()
	sent := float64(e.sent.sum(now))
	if others, ok := l.peers.sent(id, now); ok && sent+float64(others) >= allowed+extraRequests {
		return true
	}
	return all > 0 && sent >= allowed*min(own/all, 1)+extraRequests
}

// weightedIndex returns a random index with a probability proportional to its weight, or -1
// if all weights are zero.
func weightedIndex(weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rand.Float64() * sum
	for i, w := range weights {
		if at -= w; w > 0 && at < 0 {
			return i
		}
	}
	return -1
}

// CanGrant reports whether a server may be granted a request now. It is called by the
// coordinator of the service.
func (l *Limiter) CanGrant(id ident.Server, now time.Time) bool {
	if l.entryCount.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.limited(id, now)
	return e == nil || l.refill(id, e, now) >= 1
}

// Grant takes one token from a limited server's bucket.
func (l *Limiter) Grant(id ident.Server, now time.Time) {
	if l.entryCount.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.limited(id, now); e != nil {
		e.tokens = l.refill(id, e, now) - 1
	}
}

// refill adds the tokens accrued since the last call and returns how many requests may be
// granted now. A VM that has no counts from other VMs refills at an equal share of the
// limit.
func (l *Limiter) refill(id ident.Server, e *entry, now time.Time) float64 {
	rate := e.rate
	others, ok := l.peers.sent(id, now)
	if !ok {
		rate /= float64(max(l.demand.VMs(now), 1))
	} else if float64(others+e.sent.sum(now)) >= tolerance*e.rate*Span.Seconds()+extraRequests {
		return 0
	}
	capacity := math.Max(1, rate*burstTime.Seconds())
	e.tokens = min(e.tokens+rate*max(now.Sub(e.refilledAt), 0).Seconds(), capacity)
	e.refilledAt = now
	return e.tokens
}

// Report returns the limits that this VM reports to hubs, with its own request counts.
func (l *Limiter) Report(now time.Time) []Limit {
	return l.limits(now, func(ident.Server) int { return 0 })
}

// Response returns the limits that this VM, as a hub, sends to another VM, with the request
// counts of all VMs but that one.
func (l *Limiter) Response(to ident.VM, now time.Time) []Limit {
	return l.limits(now, func(id ident.Server) int { return l.peers.reported(id, to, now) })
}

// limits returns the latest limits, with this VM's request counts plus those that others
// returns.
func (l *Limiter) limits(now time.Time, others func(ident.Server) int) []Limit {
	if l.entryCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	out := make([]Limit, 0, len(l.servers))
	for id, e := range l.servers {
		out = append(out, Limit{Server: id, Rate: e.rate, At: e.at, Sent: e.sent.sum(now) + others(id)})
	}
	slices.SortFunc(out, func(a, c Limit) int { return cmp.Or(c.At.Compare(a.At), cmp.Compare(a.Server, c.Server)) })
	return out[:min(len(out), maxReported)]
}

// HandleReport records the limits and request counts that another VM reports to this hub.
func (l *Limiter) HandleReport(vm ident.VM, list []Limit, now time.Time) {
	if len(list) == 0 && l.entryCount.Load() == 0 {
		return
	}
	l.merge(list, now, func() { l.peers.addReport(vm, sentByServer(list), now) })
}

// HandleResponse records a hub's limits and its request counts of all other VMs. reporting
// is the number of VMs that report to the hub.
func (l *Limiter) HandleResponse(hub ident.VM, reporting int, list []Limit, now time.Time) {
	if len(list) == 0 && l.entryCount.Load() == 0 {
		return
	}
	l.merge(list, now, func() { l.peers.addResponse(hub, reporting, sentByServer(list), now) })
}

// merge calls record under the lock, then applies the valid limits of another VM that were
// stated later than the known ones.
func (l *Limiter) merge(list []Limit, now time.Time, record func()) {
	changed := make(map[ident.Server]float64)
	l.mu.Lock()
	record()
	for _, limit := range list {
		if limit.Server == "" || !(limit.Rate >= 0) || math.IsInf(limit.Rate, 0) || limit.At.After(now) {
			continue
		}
		if l.update(limit.Server, limit.Rate, limit.At, now) {
			changed[limit.Server] = limit.Rate
		}
	}
	l.mu.Unlock()
	for id, rate := range maps.All(changed) {
		l.changed(id, rate)
	}
}

func sentByServer(list []Limit) map[ident.Server]int {
	out := make(map[ident.Server]int, len(list))
	for _, l := range list {
		out[l.Server] = max(l.Sent, 0)
	}
	return out
}
