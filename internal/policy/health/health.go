package health

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// half is the time after which what was seen of a server counts half.
	half = 2 * time.Second
	// prior is the weight of the belief that a server is sound, in calls.
	prior = 4.0
)

// Book weighs servers by the calls they failed lately. Servers fail while
// their own health check is good, so only what calls met counts.
type Book struct {
	mu      sync.Mutex
	servers map[ident.Server]*record
	pauses  map[ident.Server]time.Time // until when a server wants no calls of this VM
}

type record struct {
	at   time.Time
	good float64
	bad  float64
}

// New makes a record of sound servers.
func New() *Book {
	return &Book{servers: make(map[ident.Server]*record), pauses: make(map[ident.Server]time.Time)}
}

// Success notes a call that the server answered.
func (h *Book) Success(id ident.Server, now time.Time) { h.note(id, now, 1, 0) }

// Failure notes a call that the server failed.
func (h *Book) Failure(id ident.Server, now time.Time) { h.note(id, now, 0, 1) }

func (h *Book) note(id ident.Server, now time.Time, good, bad float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.servers[id]
	if r == nil {
		r = &record{at: now}
		h.servers[id] = r
	}
	r.fade(now)
	r.good += good
	r.bad += bad
}

func (r *record) fade(now time.Time) {
	age := now.Sub(r.at)
	if age <= 0 {
		return
	}
	keep := 1 / (1 + float64(age)/float64(half))
	r.good *= keep
	r.bad *= keep
	r.at = now
}

// Weight returns the share of its usual work that the server should get, in (0, 1].
func (h *Book) Weight(id ident.Server, now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.servers[id]
	if r == nil {
		return 1
	}
	r.fade(now)
	w := (prior + r.good) / (prior + r.good + 3*r.bad)
	return w
}

// mostPause bounds the pause that a server may ask for.
const mostPause = 10 * time.Minute

// Pause notes that a server wants no calls of this VM for a time.
func (h *Book) Pause(id ident.Server, d time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauses[id] = now.Add(min(d, mostPause))
	for other, until := range h.pauses {
		if !now.Before(until) {
			delete(h.pauses, other)
		}
	}
}

// Paused returns for how long a server still wants no calls of this VM.
func (h *Book) Paused(id ident.Server, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.pauses[id].Sub(now), 0)
}

// Keep forgets the servers that known does not report.
func (h *Book) Keep(known func(ident.Server) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.servers {
		if !known(id) {
			delete(h.servers, id)
		}
	}
}
