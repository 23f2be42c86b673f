package shed

import (
	"math/rand/v2"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// targetDelay is the delay of connections above which the VM is overloaded.
	targetDelay = 20 * time.Millisecond
	// minSamples and minWindow are the least number of connections and the least time over
	// which the delay is measured. A measurement that takes longer than maxWindow is
	// discarded, or while connections are shed, ends after shedWindow with what there is.
	minSamples = 6
	minWindow  = 50 * time.Millisecond
	maxWindow  = time.Second
	shedWindow = 250 * time.Millisecond
	// decrease and increase are the factors by which the admitted share of connections changes
	// after each measurement. The share falls fast, as a queue that has formed delays all
	// requests, and stays above minAdmitted, which leaves connections to measure by.
	decrease    = 0.6
	increase    = 1.3
	minAdmitted = 0.02
	// maxQueueTime is how long requests may wait for their connections while the VM is
	// overloaded. No connection is admitted while more requests wait than are connected to
	// servers in that time.
	maxQueueTime = 100 * time.Millisecond
	// idleTime is the time without connections after which a measurement is outdated.
	idleTime = 2 * time.Second
	// minExcess is the factor by which the VM's requests have to exceed the mean of the fleet.
	minExcess = 1.5
	// excessTTL is how long that factor is relied on while the other VMs' requests are not
	// known. An overloaded link loses their reports.
	excessTTL = 10 * time.Second
	// floorPeriod is the time after which the shortest connection is measured again, as paths
	// change.
	floorPeriod = 30 * time.Second
)

// Gate admits client connections. It is safe for concurrent use.
type Gate struct {
	// excess returns this VM's requests in relation to the mean of the fleet; zero if the
	// other VMs' requests are not known.
	excess   func(now time.Time) float64
	onChange func(shedding bool)
	random   func() float64 // returns a number in [0, 1)

	mu         sync.Mutex
	floors     map[ident.FailureDomain]*floor
	start      time.Time     // of the current measurement
	samples    int           // connections of the current measurement
	delay      time.Duration // shortest delay of the current measurement
	waiting    int           // connections to servers that are being opened
	overloaded bool          // by the last measurement
	maxWaiting int           // while overloaded
	admitted   float64       // share of connections to admit while this VM gets more than others
	measuredAt time.Time
	lastExcess float64 // last known
	excessAt   time.Time
	shedding   bool // as last passed to onChange
	shed       uint64
}

// floor is the shortest time that a connection took in this period and in the last one.
type floor struct {
	start         time.Time
	current, last time.Duration
}

// New returns a gate that admits all connections until it has measured an overload. It calls
// onChange, without holding locks, when it starts and stops shedding connections.
func New(excess func(now time.Time) float64, onChange func(shedding bool)) *Gate {
	return &Gate{excess: excess, onChange: onChange, random: rand.Float64, admitted: 1, floors: make(map[ident.FailureDomain]*floor)}
}

// Connecting records that a connection to a server is being opened.
func (g *Gate) Connecting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting++
}

// Failed records that a connection to a server could not be opened. That says nothing about
// this VM's load.
func (g *Gate) Failed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
}

// Connected records how long a connection to a server in a failure domain took.
func (g *Gate) Connected(domain ident.FailureDomain, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
	delay := took - g.floor(domain, took, now)
	if now.Sub(g.start) > maxWindow {
		g.start, g.samples = now, 0
	}
	if g.samples == 0 || delay < g.delay {
		g.delay = delay
	}
	g.samples++
	if g.samples >= minSamples && now.Sub(g.start) >= minWindow {
		g.measure(now)
	}
}

// measure ends the current measurement. Without samples, the VM is overloaded if several
// connections are being opened.
func (g *Gate) measure(now time.Time) {
	g.overloaded = g.samples > 0 && g.delay > targetDelay || g.samples == 0 && g.waiting >= minSamples
	if g.overloaded {
		g.admitted = max(g.admitted*decrease, minAdmitted)
		g.maxWaiting = max(int(float64(g.samples)*float64(maxQueueTime)/float64(now.Sub(g.start))), minSamples)
	} else {
		g.admitted = min(g.admitted*increase, 1)
	}
	g.measuredAt, g.start, g.samples = now, now, 0
}

// floor returns the shortest recent time of a connection to a failure domain, including one
// that took the given time.
func (g *Gate) floor(domain ident.FailureDomain, took time.Duration, now time.Time) time.Duration {
	f := g.floors[domain]
	if f == nil {
		f = &floor{start: now, current: took, last: took}
		g.floors[domain] = f
	}
	if now.Sub(f.start) > floorPeriod {
		f.start, f.last, f.current = now, f.current, took
	}
	f.current = min(f.current, took)
	return min(f.current, f.last)
}

// Admit reports whether to serve a new client connection. Otherwise, it is to be closed before
// anything is read from it.
func (g *Gate) Admit(now time.Time) bool {
	g.mu.Lock()
	share := g.shareAt(now)
	admit := share == 1 || g.random() < share
	if !admit {
		g.shed++
	}
	changed := (share < 1) != g.shedding
	g.shedding = share < 1
	g.mu.Unlock()
	if changed {
		g.onChange(share < 1)
	}
	return admit
}

// Shedding reports whether connections are being shed. Connections that are open should then
// be closed after their responses, so that their clients spread over the VMs.
func (g *Gate) Shedding(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shareAt(now) < 1
}

// Overloaded reports whether this VM is overloaded or was so recently, however many requests the
// other VMs get. It lasts until measurements would allow all connections to be admitted again.
func (g *Gate) Overloaded(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(now)
	return g.admitted < 1
}

// ShedCount returns the number of connections that were not admitted.
func (g *Gate) ShedCount() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shed
}

// shareAt returns the share of connections to admit.
func (g *Gate) shareAt(now time.Time) float64 {
	g.refresh(now)
	if g.admitted == 1 || !g.exceedsMean(now) {
		return 1
	}
	if g.overloaded && g.waiting > g.maxWaiting {
		return 0
	}
	return g.admitted
}

// refresh ends a measurement that takes too long because few connections are admitted.
func (g *Gate) refresh(now time.Time) {
	elapsed := now.Sub(g.measuredAt)
	switch {
	case g.admitted == 1 || elapsed < shedWindow:
	case elapsed > idleTime:
		g.admitted, g.overloaded = 1, false
	default:
		g.measure(now)
	}
}

// exceedsMean reports whether this VM gets clearly more requests than the mean of the fleet.
func (g *Gate) exceedsMean(now time.Time) bool {
	if e := g.excess(now); e > 0 {
		g.lastExcess, g.excessAt = e, now
	}
	return g.lastExcess >= minExcess && now.Sub(g.excessAt) < excessTTL
}
