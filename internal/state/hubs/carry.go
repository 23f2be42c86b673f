package hubs

import (
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// maxCarriers is the maximum number of carriers that a hub names at a time. It names
	// others with each response, so that the connections of many VMs spread.
	maxCarriers = 8
	// carrierTTL is how long named carriers are used. It tolerates the loss of two responses.
	carrierTTL = 1300 * time.Millisecond
)

// CarriersFor returns VMs that may carry the connections of a VM that reaches no backend
// server over its own links, in random order, or none if the VM has not reported that it is
// isolated. The chance of a VM is in proportion to its capacity.
func (t *Tracker) CarriersFor(vm ident.VM, now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[vm]; p == nil || !p.isolated {
		return nil
	}
	var all []Candidate
	for name, p := range t.peers {
		if name != vm && p.live(now) && !p.isolated && p.Capacity > 0 {
			all = append(all, p.Candidate)
		}
	}
	return sampleByCapacity(all, maxCarriers)
}

// sampleByCapacity returns up to n of the candidates in random order. It reorders list.
func sampleByCapacity(list []Candidate, n int) []Candidate {
	total := uint64(0)
	for _, c := range list {
		total += weight(c)
	}
	n = min(n, len(list))
	for i := range n {
		at := rand.Uint64N(total) //nolint:gosec // spreads load
		j := i
		for ; at >= weight(list[j]); j++ {
			at -= weight(list[j])
		}
		total -= weight(list[j])
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// weight returns a number in proportion to what a VM can handle.
func weight(c Candidate) uint64 { return 1 << c.level() }

// SetCarriers records the carriers that a hub has named.
func (t *Tracker) SetCarriers(hub ident.VM, list []Candidate, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(list) == 0 {
		delete(t.carriers, hub)
		return
	}
	t.carriers[hub] = listing{at: now, list: list}
}

// Carriers returns VMs that may carry this VM's connections to backend servers, in random
// order: those that hubs have named or, if there are none, candidates that may respond.
func (t *Tracker) Carriers(now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Candidate
	for hub, l := range t.carriers {
		if now.Sub(l.at) > carrierTTL {
			delete(t.carriers, hub)
			continue
		}
		out = append(out, l.list...)
	}
	if len(out) == 0 {
		out = slices.DeleteFunc(t.responding(now), func(c Candidate) bool {
			p := t.peers[c.VM]
			return p != nil && p.isolated
		})
	}
	out = slices.DeleteFunc(out, func(c Candidate) bool { return c.VM == t.self.VM || !c.Addr.IsValid() })
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return compactByVM(out)
}

// Responding returns the first other VMs of the order that may respond, whatever their roles are.
func (t *Tracker) Responding(now time.Time) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.responding(now)
}

func (t *Tracker) responding(now time.Time) []Candidate {
	var out []Candidate
	for _, c := range t.topCandidates(now) {
		if c.VM != t.self.VM && c.Addr.IsValid() && !t.peers[c.VM].notResponding(now) {
			out = append(out, c)
		}
	}
	return out
}

// compactByVM removes repeated VMs from a short list.
func compactByVM(list []Candidate) []Candidate {
	out := list[:0]
	for _, c := range list {
		if !slices.ContainsFunc(out, func(o Candidate) bool { return o.VM == c.VM }) {
			out = append(out, c)
		}
	}
	return out
}
