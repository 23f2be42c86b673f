package rates

import (
	"math"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// paceWindow is the length of the sliding window in which grants count. The limit
	// applies to the requests that arrive within a second, and requests reach a server with
	// varying delays after they are granted.
	paceWindow = 1200 * time.Millisecond
	// paceShare is the share of a server's limit that is granted. The rest is for requests
	// that other VMs send without a grant.
	paceShare = 0.9
	// coldTailSigmas is by how many standard deviations of a Poisson process the mean rate of
	// independent requests stays below the limit, so that rarely more arrive in a second.
	coldTailSigmas = 3
	// minColdShare is the smallest share of the limit that is used by independent requests.
	minColdShare = 0.1
)

// Pacer bounds the requests that each server is granted within a second. It is exact for
// the VM that grants them and knows nothing of other VMs. It is safe for concurrent use.
type Pacer struct {
	mu      sync.Mutex
	granted map[ident.Server][]time.Time // grants of the last paceWindow, in order
}

// NewPacer returns a Pacer without grants.
func NewPacer() *Pacer { return &Pacer{granted: make(map[ident.Server][]time.Time)} }

// GrantLimit returns how many requests a coordinator may grant a server within a second
// that tolerates the given number. It is at least 1, since a server without requests would
// stay unused. Zero: there is no limit.
func GrantLimit(limit float64) int {
	if !(limit > 0) {
		return 0
	}
	return max(int(paceShare*limit), 1)
}

// IndependentRate returns the mean rate, in requests per second, at which VMs that decide
// independently of one another may together use a server that tolerates limit requests
// within any second.
func IndependentRate(limit float64) float64 {
	return max(limit-coldTailSigmas*math.Sqrt(limit), minColdShare*limit)
}

// Allows reports whether fewer than limit requests were granted to a server recently.
func (p *Pacer) Allows(id ident.Server, limit int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.recent(id, now)) < limit
}

// Record records a grant.
func (p *Pacer) Record(id ident.Server, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted[id] = append(p.recent(id, now), now)
	for other := range p.granted {
		p.recent(other, now)
	}
}

// recent removes the grants that have left the window and returns the others.
func (p *Pacer) recent(id ident.Server, now time.Time) []time.Time {
	list := p.granted[id]
	old := 0
	for old < len(list) && now.Sub(list[old]) > paceWindow {
		old++
	}
	if old == len(list) {
		delete(p.granted, id)
		return nil
	}
	p.granted[id] = list[old:]
	return list[old:]
}
