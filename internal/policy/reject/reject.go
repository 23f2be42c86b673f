package reject

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// expiry is how long a statement holds without being confirmed by a response.
	expiry = 30 * time.Second
	// endedRetention is how long an ended statement is remembered and reported, so that
	// outdated reports do not restore it.
	endedRetention = 10 * time.Second
)

// Limit says that the servers of a service fail if they have to reject too many
// requests, as one VM reports it to another.
type Limit struct {
	Service    ident.Service
	Rejections int       // per second that a server survives; zero: the servers are brittle no more
	At         time.Time // when a server stated it
}

// Tracker tracks which services have brittle servers. All servers of a service state it in
// all their responses, so the first response without it ends it. It is safe for concurrent
// use.
type Tracker struct {
	changed func(Limit)

	count    atomic.Int64 // len(services); lets callers skip the lock when it is zero
	mu       sync.Mutex
	services map[ident.Service]Limit
}

// New returns a Tracker without services. It calls changed when a service becomes
// brittle and when that ends.
func New(changed func(Limit)) *Tracker {
	return &Tracker{changed: changed, services: make(map[ident.Service]Limit)}
}

// Observe records what a server's response states; zero rejections: nothing. Like a rate
// limit, a response that states nothing is dated to when its request was sent.
func (t *Tracker) Observe(s ident.Service, rejections int, sent, now time.Time) {
	switch {
	case rejections > 0:
		t.Merge([]Limit{{Service: s, Rejections: rejections, At: now}}, now)
	case t.count.Load() > 0:
		t.Merge([]Limit{{Service: s, At: sent}}, now)
	}
}

// Merge records the statements of another VM that are later than the known ones.
func (t *Tracker) Merge(list []Limit, now time.Time) {
	if len(list) == 0 {
		return
	}
	var changes []Limit
	t.mu.Lock()
	t.expire(now)
	for _, l := range list {
		old, known := t.services[l.Service]
		if l.Service == "" || l.At.After(now) || now.Sub(l.At) > expiry || !l.At.After(old.At) || !known && l.Rejections == 0 {
			continue
		}
		t.services[l.Service] = l
		if (old.Rejections > 0) != (l.Rejections > 0) {
			changes = append(changes, l)
		}
	}
	t.count.Store(int64(len(t.services)))
	t.mu.Unlock()
	for _, c := range changes {
		t.changed(c)
	}
}

// expire drops statements that were not confirmed in time, and ended ones after
// endedRetention.
func (t *Tracker) expire(now time.Time) {
	for s, l := range t.services {
		if age := now.Sub(l.At); age > expiry || l.Rejections == 0 && age > endedRetention {
			delete(t.services, s)
		}
	}
	t.count.Store(int64(len(t.services)))
}

// Rejections returns how many rejections within a second a server of the service survives;
// zero: any number.
func (t *Tracker) Rejections(s ident.Service, now time.Time) int {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.services[s].Rejections
}

// Report returns the statements to send to other VMs, in the order of the services.
func (t *Tracker) Report(now time.Time) []Limit {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Limit, 0, len(t.services))
	for _, l := range t.services {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, c Limit) int { return cmp.Compare(a.Service, c.Service) })
	return out
}

// Services returns the services with brittle servers.
func (t *Tracker) Services(now time.Time) []ident.Service {
	var out []ident.Service
	for _, l := range t.Report(now) {
		if l.Rejections > 0 {
			out = append(out, l.Service)
		}
	}
	return out
}
