package retry

import (
	"maps"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// slots is into how many parts a window is divided. One part more is kept,
	// so that every span as long as the window is covered.
	slots = 20
	// safety is the share of the allowance that is used: VMs that die take the
	// memory of what they spent with them.
	safety = 0.8
	// leastVMs is how many VMs at least are taken to share the extra while not
	// all are heard: one that starts knows none, and each would take the whole.
	leastVMs = 12
	// totalTime is how long a hub's word counts: two of its answers may be lost.
	totalTime = 1300 * time.Millisecond
)

// Window is a budget that all VMs share: in any window, the calls sent beyond
// the first sending of each stay under a share of the first ones and an extra.
//
// VMs report what they sent to hubs, which tell each the sum of the others. A VM
// spends from what is left of the whole, less an even part of the extra for each VM
// that the hub does not hear; one that hears no hub keeps to its part of the extra
// and to its own first sendings. It is safe for use by several goroutines.
type Window struct {
	ratio float64
	extra float64
	span  time.Duration
	peers Peers

	mu       sync.Mutex
	services map[ident.Service]*spans
	heard    map[ident.VM]told
	all      map[ident.Service]Sent // sum of heard
	purged   time.Time              // when the VMs were last looked through
	totals   map[ident.VM]Total     // by the hub that told them
	known    int                    // most VMs that a hub told of last
}

// Peers tells how many other VMs report to this one or did of late, and how many
// do now.
type Peers interface {
	Count(now time.Time) (known, heard int)
}

// Total is what a hub knows of what VMs sent.
type Total struct {
	At    time.Time // when it was told
	Known int       // VMs that the hub knows of, the one that is told left out
	Heard int       // VMs of these whose sendings are counted
	Sent  map[ident.Service]Sent
}

// Sent counts the sendings of a VM in a window.
type Sent struct {
	First int
	Again int
}

type told struct {
	at   time.Time
	sent map[ident.Service]Sent
}

type spans struct {
	at    int64 // number of the newest part
	first [slots + 1]int
	again [slots + 1]int
}

// NewWindow makes a budget.
func NewWindow(ratio, extra float64, span time.Duration, peers Peers) *Window {
	return &Window{
		ratio:    ratio,
		extra:    extra,
		span:     span,
		peers:    peers,
		services: make(map[ident.Service]*spans),
		heard:    make(map[ident.VM]told),
		all:      make(map[ident.Service]Sent),
		totals:   make(map[ident.VM]Total),
	}
}

// Set changes what is allowed.
func (w *Window) Set(ratio, extra float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.extra = ratio, extra
}

// Hear takes what another VM sent in the window before now.
func (w *Window) Hear(vm ident.VM, sent map[ident.Service]Sent, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop(w.heard[vm])
	w.heard[vm] = told{at: now, sent: sent}
	for s, n := range sent {
		w.all[s] = w.all[s].plus(n)
	}
}

// drop takes what a VM told out of the sum.
func (w *Window) drop(t told) {
	for s, n := range t.sent {
		left := w.all[s].minus(n)
		if left == (Sent{}) {
			delete(w.all, s)
			continue
		}
		w.all[s] = left
	}
}

// purge forgets VMs that fell silent once what they sent has left the window.
func (w *Window) purge(now time.Time) {
	if now.Sub(w.purged) < w.span/slots {
		return
	}
	w.purged = now
	for vm, t := range w.heard {
		if now.Sub(t.at) > w.span {
			w.drop(t)
			delete(w.heard, vm)
		}
	}
}

// Sent returns what this VM sent in the window before now.
func (w *Window) Sent(now time.Time) map[ident.Service]Sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[ident.Service]Sent, len(w.services))
	for s := range w.services {
		out[s] = w.turn(s, now).sum()
	}
	return out
}

// Learn takes what a hub knows of the other VMs.
func (w *Window) Learn(hub ident.VM, t Total) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totals[hub] = t
	w.known = t.Known
	for _, o := range w.totals {
		if t.At.Sub(o.At) < totalTime {
			w.known = max(w.known, o.Known)
		}
	}
}

// Rest returns what a VM that reports to this one is told: what all others sent,
// this VM among them.
func (w *Window) Rest(vm ident.VM, now time.Time) Total {
	known, heard := w.peers.Count(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.purge(now)
	t := Total{At: now, Known: known, Heard: heard, Sent: maps.Clone(w.all)}
	for s, n := range w.heard[vm].sent {
		t.Sent[s] = t.Sent[s].minus(n)
	}
	for s := range w.services {
		t.Sent[s] = t.Sent[s].plus(w.turn(s, now).sum())
	}
	return t
}

// others returns the widest knowledge of the other VMs: that of a hub, or this VM's
// own if more report to it.
func (w *Window) others(now time.Time) Total {
	known, heard := w.peers.Count(now)
	known = max(known, w.known)
	best := Total{Heard: heard}
	own := true
	for hub, t := range w.totals {
		if now.Sub(t.At) > totalTime {
			delete(w.totals, hub)
			continue
		}
		if t.Heard > best.Heard {
			best, own = t, false
		}
	}
	best.Known = known
	if own {
		w.purge(now)
		best.Sent = w.all
	}
	return best
}

func (n Sent) minus(o Sent) Sent { return Sent{First: n.First - o.First, Again: n.Again - o.Again} }

func (n Sent) plus(o Sent) Sent { return Sent{First: n.First + o.First, Again: n.Again + o.Again} }

func (p *spans) sum() Sent {
	var sum Sent
	for i := range p.first {
		sum.First += p.first[i]
		sum.Again += p.again[i]
	}
	return sum
}

// Earn notes the first sending of a call.
func (w *Window) Earn(s ident.Service, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.turn(s, now)
	p.first[p.at%(slots+1)]++
}

// Spend takes one further sending out of the budget; false if there is none.
func (w *Window) Spend(s ident.Service, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.turn(s, now)
	own := p.sum()
	t := w.others(now)
	others := t.Sent[s]
	extra := w.extra
	if t.Heard < t.Known || t.Known == 0 {
		// Each VM that isn't heard may spend its part.
		extra *= float64(t.Heard+1) / float64(max(t.Known+1, leastVMs))
	}
	left := safety*(w.ratio*float64(own.First+others.First)+extra) - float64(others.Again)
	if float64(own.Again+1) > left {
		return false
	}
	p.again[p.at%(slots+1)]++
	return true
}

// turn returns the service's parts with those that have passed emptied.
func (w *Window) turn(s ident.Service, now time.Time) *spans {
	at := now.UnixNano() / (int64(w.span) / slots)
	p := w.services[s]
	if p == nil {
		p = &spans{at: at}
		w.services[s] = p
	}
	for steps := 0; p.at < at && steps <= slots; steps++ {
		p.at++
		p.first[p.at%(slots+1)], p.again[p.at%(slots+1)] = 0, 0
	}
	p.at = max(p.at, at)
	return p
}
