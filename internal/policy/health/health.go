package health

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// decayTime is the time after which past results count half if there is no newer one.
	decayTime = 2 * time.Second
	// negligible is the number of calls below which a server's results are dropped.
	negligible = 0.01
	// priorWeight is the weight of the prior assumption that a server is healthy, in
	// successful calls.
	priorWeight = 4.0
)

// Tracker weights servers by their recent failures. Servers may fail calls while their
// own health check passes, so only the results of calls count. It is safe for concurrent
// use.
type Tracker struct {
	mu      sync.Mutex
	servers map[ident.Server]*record
	pauses  map[ident.Server]time.Time // by server: when the pause that it requested ends
}

type record struct {
	updatedAt time.Time
	successes float64
	failures  float64
}

// New returns a tracker that considers all servers healthy.
func New() *Tracker {
	return &Tracker{servers: make(map[ident.Server]*record), pauses: make(map[ident.Server]time.Time)}
}

// Success records a call that the server completed.
func (t *Tracker) Success(id ident.Server, now time.Time) { t.add(id, now, 1, 0) }

// Failure records a call that failed at the server.
func (t *Tracker) Failure(id ident.Server, now time.Time) { t.add(id, now, 0, 1) }

func (t *Tracker) add(id ident.Server, now time.Time, successes, failures float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		r = &record{updatedAt: now}
		t.servers[id] = r
	}
	r.decay(now)
	r.successes += successes
	r.failures += failures
}

func (r *record) decay(now time.Time) {
	age := now.Sub(r.updatedAt)
	if age <= 0 {
		return
	}
	keep := 1 / (1 + float64(age)/float64(decayTime))
	r.successes *= keep
	r.failures *= keep
	r.updatedAt = now
}

// Weight returns the fraction of its normal load that the server should get, in (0, 1].
func (t *Tracker) Weight(id ident.Server, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return 1
	}
	r.decay(now)
	return r.weight()
}

func (r *record) weight() float64 {
	return (priorWeight + r.successes) / (priorWeight + r.successes + 3*r.failures)
}

// maxPause bounds the pause that a server may request.
const maxPause = 10 * time.Minute

// Pause records that a server requested that this VM send it no calls for the duration d.
func (t *Tracker) Pause(id ident.Server, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pauses[id] = now.Add(min(d, maxPause))
	for other, until := range t.pauses {
		if !now.Before(until) {
			delete(t.pauses, other)
		}
	}
}

// PauseRemaining returns the remaining time of a server's pause, or zero.
func (t *Tracker) PauseRemaining(id ident.Server, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.pauses[id].Sub(now), 0)
}

// Below returns the servers with a weight below the given one.
func (t *Tracker) Below(weight float64, now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for id, r := range t.servers {
		r.decay(now)
		if r.successes+r.failures < negligible {
			delete(t.servers, id)
			continue
		}
		if r.weight() < weight {
			out = append(out, id)
		}
	}
	return out
}

// Paused returns the servers that are paused.
func (t *Tracker) Paused(now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for id, until := range t.pauses {
		if now.Before(until) {
			out = append(out, id)
		}
	}
	return out
}

// Retain drops the results of servers for which known returns false.
func (t *Tracker) Retain(known func(ident.Server) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.servers {
		if !known(id) {
			delete(t.servers, id)
		}
	}
}
