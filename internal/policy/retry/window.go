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
)

// Window is this VM's part of a budget that all VMs share: in any window, the
// calls sent beyond the first sending of each stay under a share of the first
// ones and an extra. It is safe for use by several goroutines.
type Window struct {
	ratio float64
	extra float64
	span  time.Duration
	vms   func() int

	mu       sync.Mutex
	services map[ident.Service]*spans
}

type spans struct {
	at    int64 // number of the newest part
	first [slots + 1]int
	again [slots + 1]int
}

// NewWindow makes a budget; vms returns how many VMs share the extra.
func NewWindow(ratio, extra float64, span time.Duration, vms func() int) *Window {
	return &Window{ratio: ratio, extra: extra, span: span, vms: vms, services: make(map[ident.Service]*spans)}
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
	first, again := 0, 0
	for i := range p.first {
		first += p.first[i]
		again += p.again[i]
	}
	allowed := safety * (w.ratio*float64(first) + w.extra/float64(max(w.vms(), 1)))
	if float64(again+1) > allowed {
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
