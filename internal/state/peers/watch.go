package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/ident"
)

const (
	// watchers is how many VMs ask the store for changes and tell the others. With
	// one, its death would be noticed only by its silence.
	watchers = 2
	// silence is how long a VM that watches may say nothing before the next one
	// takes its place: it tells its state each 500 ms, and a server that leaves
	// must get no call 2 s later.
	silence = 800 * time.Millisecond
	// answerAge is how long ago the store must have answered a VM that watches.
	// Servers' heartbeats end each wait within a fraction of a second.
	answerAge = 900 * time.Millisecond
)

// Watch decides which VMs ask the store for changes: the first ones in an order
// that all agree on, of those that are heard and that the store answers. VMs
// that disagree for a while cost calls and nothing else.
type Watch struct {
	vm ident.VM

	mu    sync.Mutex
	heard map[ident.VM]word
}

type word struct {
	at   time.Time
	asks bool
	from netip.AddrPort
	age  time.Duration // since the store answered the VM; negative: the VM does not ask
}

// NewWatch makes a decider that has heard nobody.
func NewWatch(vm ident.VM) *Watch {
	return &Watch{vm: vm, heard: make(map[ident.VM]word)}
}

// Hear takes another VM's word on how long ago the store answered it.
func (w *Watch) Hear(vm ident.VM, from netip.AddrPort, age time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard[vm] = word{at: now, asks: age >= 0, from: from, age: age}
}

// Told reports whether enough other VMs watch the store: those before this one,
// or any while the store does not answer this VM.
func (w *Watch) Told(now time.Time, answered bool) bool {
	return len(w.Watching(now)) >= watchers || !answered && len(w.Asking(now)) >= watchers
}

// Asking returns the addresses of the VMs that the store answers.
func (w *Watch) Asking(now time.Time) []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []netip.AddrPort
	for _, h := range w.heard {
		if h.asks && now.Sub(h.at) < silence && h.age < answerAge {
			out = append(out, h.from)
		}
	}
	return out
}

// Quiet returns how long the store has answered none of the VMs that are heard
// and ask it; if there is none, as long as one would be remembered.
func (w *Watch) Quiet(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	quiet := forget
	for _, h := range w.heard {
		if h.asks {
			quiet = min(quiet, h.age+now.Sub(h.at))
		}
	}
	return quiet
}

// First reports whether this VM is one of the first in the order of those that
// are heard. While the store is down, the others leave it to them to find out
// that it is back: at 62 VMs that ask twice in 0.4 s each, refused calls cost a
// fifth of all worth.
func (w *Watch) First(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	own, before := rank(w.vm), 0
	for vm, h := range w.heard {
		if rank(vm) < own && now.Sub(h.at) < silence {
			before++
		}
	}
	return before < watchers
}

// Watching returns the addresses of the VMs before this one that watch the
// store, or would if one of them fell silent.
func (w *Watch) Watching(now time.Time) []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := rank(w.vm)
	var out []netip.AddrPort
	for vm, h := range w.heard {
		if now.Sub(h.at) > forget {
			delete(w.heard, vm)
			continue
		}
		if rank(vm) < own && now.Sub(h.at) < silence && h.age < answerAge {
			out = append(out, h.from)
		}
	}
	return out
}

// homeSilence is how long a VM may say nothing before another decides in its
// place: one lost message of the two a second is borne. Who asks it notices
// sooner.
const homeSilence = 1300 * time.Millisecond

// Rank is a VM in the order of those that decide for a service.
type Rank struct {
	VM   ident.VM
	Addr netip.AddrPort // not valid: this VM
}

// Order returns the first n VMs, of those that are heard and this one, in the
// order in which they decide for a service. All VMs agree on it but for those
// that are not heard by all.
func (w *Watch) Order(service ident.Service, n int, now time.Time) []Rank {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Rank, 0, n+1)
	out = append(out, Rank{VM: w.vm})
	for vm, h := range w.heard {
		if now.Sub(h.at) >= homeSilence {
			continue
		}
		out = append(out, Rank{VM: vm, Addr: h.from})
		slices.SortFunc(out, func(a, b Rank) int { return cmp.Compare(homeRank(service, a.VM), homeRank(service, b.VM)) })
		out = out[:min(len(out), n)]
	}
	return out
}

// homeRank is a VM's place in the order for a service: each service has another
// first VM, and it is seldom one that watches the store.
func homeRank(service ident.Service, vm ident.VM) uint64 {
	return xxhash.Sum64String(string(service) + "/" + string(vm))
}

const forget = time.Minute

func rank(vm ident.VM) uint64 { return xxhash.Sum64String(string(vm)) }
