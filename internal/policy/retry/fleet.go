package retry

import (
	"maps"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/source"
)

const (
	// slots is the number of slots that a window is divided into. One more slot is kept,
	// so that the counts always cover a full window.
	slots = 20
	// safetyFactor is the fraction of the budget that is used. The retries of VMs that
	// fail are no longer counted, so the rest is kept as a margin.
	safetyFactor = 0.8
	// minVMs is the minimum number of VMs that are assumed to share the extra retries while
	// the reports of some are missing. A VM that starts knows no other VMs, and without the
	// minimum each of several starting VMs would use all of the extra retries.
	minVMs = 12
	// responseTTL is how long a hub's response is valid. It tolerates the loss of two
	// responses.
	responseTTL = 1300 * time.Millisecond
)

// FleetBudget is a retry budget that all VMs share. In any window, the retries to a
// service stay below a ratio of the first attempts plus a fixed number of extra retries.
//
// VMs report their attempts to hubs, and each hub responds with the sum of the other VMs'
// attempts. A VM may use the remaining budget, less an equal share of the extra retries for
// each VM that does not report to the hub. A VM that receives no responses uses only its
// share of the extra retries and the ratio of its own first attempts. It is safe for
// concurrent use.
type FleetBudget struct {
	ratio float64
	extra float64
	span  time.Duration
	peers Peers

	mu        sync.Mutex
	counts    map[ident.Service]*slidingCounts
	reports   map[ident.VM]report
	reportSum map[ident.Service]Attempts // sum of reports
	purgedAt  time.Time                  // when expired reports were last removed
	responses map[ident.VM]FleetTotal    // by hub
	maxKnown  int                        // largest number of VMs in the hubs' last responses
	rises     riseMeter
}

// Peers counts the VMs that report to this one.
type Peers interface {
	// ReporterCounts returns the number of other VMs that have reported to this VM in the
	// recent past, and the number of those that still do.
	ReporterCounts(now time.Time) (known, reporting int)
}

// FleetTotal is a hub's response: the sum of the attempts of VMs in a window.
type FleetTotal struct {
	At        time.Time // when the hub responded
	Known     int       // number of VMs that the hub knows, without the receiver
	Reporting int       // number of those whose attempts are included
	Attempts  map[ident.Service]Attempts
}

// Attempts counts the attempts to send requests in a window.
type Attempts struct {
	First   int // first attempts
	Retries int
}

// report holds the attempts that a VM has reported.
type report struct {
	at       time.Time
	attempts map[ident.Service]Attempts
}

// slidingCounts counts the attempts in a sliding window.
type slidingCounts struct {
	newest  int64 // number of the newest slot, counted from the Unix epoch
	first   [slots + 1]int
	retries [slots + 1]int
}

// NewFleetBudget returns a budget of ratio retries per first attempt plus extra retries in
// any window of length span.
func NewFleetBudget(ratio, extra float64, span time.Duration, peers Peers) *FleetBudget {
	return &FleetBudget{
		ratio:     ratio,
		extra:     extra,
		span:      span,
		peers:     peers,
		counts:    make(map[ident.Service]*slidingCounts),
		reports:   make(map[ident.VM]report),
		reportSum: make(map[ident.Service]Attempts),
		responses: make(map[ident.VM]FleetTotal),
	}
}

// SetLimits changes the ratio and the number of extra retries.
func (b *FleetBudget) SetLimits(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.extra = ratio, extra
}

// HandleReport records the attempts of another VM in the window before now.
func (b *FleetBudget) HandleReport(vm ident.VM, attempts map[ident.Service]Attempts, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subtract(b.reports[vm])
	b.reports[vm] = report{at: now, attempts: attempts}
	for s, n := range attempts {
		b.reportSum[s] = b.reportSum[s].add(n)
	}
	b.sampleRates(now)
}

// subtract removes a report from the sum.
func (b *FleetBudget) subtract(r report) {
	for s, n := range r.attempts {
		remaining := b.reportSum[s].sub(n)
		if remaining == (Attempts{}) {
			delete(b.reportSum, s)
			continue
		}
		b.reportSum[s] = remaining
	}
}

// purge removes the reports of VMs that have not reported for a whole window.
func (b *FleetBudget) purge(now time.Time) {
	if now.Sub(b.purgedAt) < b.span/slots {
		return
	}
	b.purgedAt = now
	for vm, r := range b.reports {
		if now.Sub(r.at) > b.span {
			b.subtract(r)
			delete(b.reports, vm)
		}
	}
}

// Report returns this VM's attempts in the window before now.
func (b *FleetBudget) Report(now time.Time) map[ident.Service]Attempts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ident.Service]Attempts, len(b.counts))
	for s := range b.counts {
		out[s] = b.advance(s, now).sum()
	}
	return out
}

// HandleResponse records a hub's response.
func (b *FleetBudget) HandleResponse(hub ident.VM, t FleetTotal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responses[hub] = t
	b.maxKnown = t.Known
	for _, o := range b.responses {
		if t.At.Sub(o.At) < responseTTL {
			b.maxKnown = max(b.maxKnown, o.Known)
		}
	}
	b.sampleRates(t.At)
}

// Response returns this VM's response, as a hub, to a VM that reports to it: the attempts
// of all other VMs, this one included.
func (b *FleetBudget) Response(vm ident.VM, now time.Time) FleetTotal {
	known, reporting := b.peers.ReporterCounts(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.purge(now)
	t := FleetTotal{At: now, Known: known, Reporting: reporting, Attempts: maps.Clone(b.reportSum)}
	for s, n := range b.reports[vm].attempts {
		t.Attempts[s] = t.Attempts[s].sub(n)
	}
	for s := range b.counts {
		t.Attempts[s] = t.Attempts[s].add(b.advance(s, now).sum())
	}
	return t
}

// others returns the attempts of the other VMs from the source that includes the most VMs:
// a hub's response or the reports to this VM.
func (b *FleetBudget) others(now time.Time) FleetTotal {
	known, reporting := b.peers.ReporterCounts(now)
	best, ok := choice.Best(b.responses, reporting, now)
	if !ok {
		b.purge(now)
		best = FleetTotal{Reporting: reporting, Attempts: b.reportSum}
	}
	best.Known = max(known, b.maxKnown)
	return best
}

// choice is how the source of the other VMs' attempts is chosen.
var choice = source.Choice[FleetTotal]{
	TTL: responseTTL, MinCoverage: 1,
	Of: func(t FleetTotal) (time.Time, int) { return t.At, t.Reporting },
}

func (a Attempts) sub(o Attempts) Attempts {
	return Attempts{First: a.First - o.First, Retries: a.Retries - o.Retries}
}

func (a Attempts) add(o Attempts) Attempts {
	return Attempts{First: a.First + o.First, Retries: a.Retries + o.Retries}
}

func (c *slidingCounts) sum() Attempts {
	var sum Attempts
	for i := range c.first {
		sum.First += c.first[i]
		sum.Retries += c.retries[i]
	}
	return sum
}

// RecordFirstAttempt records the first attempt of a call, which adds to the budget.
func (b *FleetBudget) RecordFirstAttempt(s ident.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(s, now)
	c.first[c.newest%(slots+1)]++
}

// AllowRetry takes one retry from the budget. It returns false if the budget is used up.
func (b *FleetBudget) AllowRetry(s ident.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(s, now)
	own := c.sum()
	t := b.others(now)
	others := t.Attempts[s]
	extra := b.extra
	if t.Reporting < t.Known || t.Known == 0 {
		// Leave a share of the extra retries to each VM whose attempts are not known.
		extra *= float64(t.Reporting+1) / float64(max(t.Known+1, minVMs))
	}
	remaining := safetyFactor*(b.ratio*float64(own.First+others.First)+extra) - float64(others.Retries)
	if float64(own.Retries+1) > remaining {
		return false
	}
	c.retries[c.newest%(slots+1)]++
	return true
}

// ReturnRetry returns a retry that was taken from the budget at the given time and has not been
// sent.
func (b *FleetBudget) ReturnRetry(s ident.Service, takenAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, slot := b.counts[s], takenAt.UnixNano()/(int64(b.span)/slots)
	if c == nil || slot > c.newest || c.newest-slot > slots {
		return // it has left the window
	}
	if n := &c.retries[slot%(slots+1)]; *n > 0 {
		*n--
	}
}

// Excess returns this VM's first attempts in the window in relation to the mean of the VMs
// whose attempts are known, or zero if no others are.
func (b *FleetBudget) Excess(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := 0
	for s := range b.counts {
		own += b.advance(s, now).sum().First
	}
	t := b.others(now)
	others := 0
	for _, n := range t.Attempts {
		others += n.First
	}
	if t.Reporting == 0 || own+others == 0 {
		return 0
	}
	return float64(own) * float64(t.Reporting+1) / float64(own+others)
}

// advance clears the slots that have left the window and returns the service's counts.
func (b *FleetBudget) advance(s ident.Service, now time.Time) *slidingCounts {
	current := now.UnixNano() / (int64(b.span) / slots)
	c := b.counts[s]
	if c == nil {
		c = &slidingCounts{newest: current}
		b.counts[s] = c
	}
	for steps := 0; c.newest < current && steps <= slots; steps++ {
		c.newest++
		c.first[c.newest%(slots+1)], c.retries[c.newest%(slots+1)] = 0, 0
	}
	c.newest = max(c.newest, current)
	return c
}
