package retry

import (
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
)

// Window is a budget that all VMs share: in any window, the calls sent beyond
// the first sending of each stay under a share of the first ones and an extra.
//
// VMs tell each other what they sent. A VM that hears all others spends from
// what is left of the whole; one that does not keeps to its part of the extra
// and to its own first sendings. It is safe for use by several goroutines.
type Window struct {
	ratio float64
	extra float64
	span  time.Duration
	peers Peers

	mu       sync.Mutex
	services map[ident.Service]*spans
	heard    map[ident.VM]told
}

// Peers tells how many other VMs there are, by all that is known, and how many
// of them were heard lately.
type Peers interface {
	Others() (known, heard int)
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
	w.heard[vm] = told{at: now, sent: sent}
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

// others sums what the other VMs sent. A VM that fell silent counts until what
// it sent has left the window.
func (w *Window) others(s ident.Service, now time.Time) Sent {
	var sum Sent
	for vm, t := range w.heard {
		if now.Sub(t.at) > w.span {
			delete(w.heard, vm)
			continue
		}
		sum.First += t.sent[s].First
		sum.Again += t.sent[s].Again
	}
	return sum
}

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
	extra, others := w.extra, w.others(s, now)
	if known, heard := w.peers.Others(); heard < known || known == 0 {
		// What a silent VM sends isn't known.
		extra /= float64(max(known+1, leastVMs))
		others = Sent{}
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
