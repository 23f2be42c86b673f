package srvtab

import (
	"maps"
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

// Evacuations are the failure domains that operators have evacuated. Their servers get no
// new work until the evacuation ends; calls that already run there may complete.
type Evacuations struct {
	// Rev is the revision of the store, later eras higher, at which Domains was complete.
	// Zero: the evacuations are not known.
	Rev     uint64
	Domains []ident.FailureDomain // sorted
}

// NewEvacuations returns the evacuations at a revision. The domains may be in any order.
func NewEvacuations(rev uint64, domains []ident.FailureDomain) Evacuations {
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	return Evacuations{Rev: rev, Domains: slices.Compact(sorted)}
}

// supersedes reports whether e is later than other. At one revision the one with fewer
// domains is later: VMs add domains that a restored store may have lost, for a limited time.
func (e Evacuations) supersedes(other Evacuations) bool {
	return e.Rev > other.Rev || e.Rev == other.Rev && len(e.Domains) < len(other.Domains)
}

// ApplyEvacuations puts the evacuations in force unless later ones are known. It reports
// whether the evacuated domains changed.
func (t *Table) ApplyEvacuations(e Evacuations) bool {
	if e.Rev < t.evacuationRev.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !e.supersedes(t.evacuations) {
		return false
	}
	changed := !slices.Equal(t.evacuations.Domains, e.Domains)
	t.evacuations = e
	t.evacuationRev.Store(e.Rev)
	if !changed {
		return false
	}
	since := make(map[ident.FailureDomain]time.Time, len(e.Domains))
	for _, d := range e.Domains {
		at, ok := t.evacuatedSince[d]
		if !ok {
			at = time.Now()
		}
		since[d] = at
	}
	returned := maps.Clone(t.returnedAt)
	for d := range t.evacuatedSince {
		if _, ok := since[d]; ok {
			continue
		}
		if returned == nil {
			returned = make(map[ident.FailureDomain]time.Time)
		}
		returned[d] = time.Now()
	}
	t.evacuatedSince, t.returnedAt = since, returned
	t.servers.Refresh()
	t.publish()
	return true
}

// Evacuations returns the evacuations in force.
func (t *Table) Evacuations() Evacuations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuations
}

// EvacuationsKnown reports whether it is known which domains are evacuated.
func (t *Table) EvacuationsKnown() bool { return t.evacuationRev.Load() > 0 }

// IsEvacuated reports whether operators have evacuated a failure domain.
func (v *View) IsEvacuated(d ident.FailureDomain) bool {
	_, ok := v.evacuatedSince[d]
	return ok
}

// EvacuatedFor returns for how long this VM has known that operators have evacuated a
// failure domain; zero: the domain is not evacuated.
func (v *View) EvacuatedFor(d ident.FailureDomain, now time.Time) time.Duration {
	since, ok := v.evacuatedSince[d]
	if !ok {
		return 0
	}
	return max(now.Sub(since), 1)
}

// Accepts reports whether a server may be sent new work now. A placement made earlier, or
// by another VM, may name a server that has stopped accepting it.
func (v *View) Accepts(id ident.Server) bool {
	s := v.Server(id)
	return s != nil && !s.Draining && !v.IsEvacuated(s.Domain)
}

// EvacuatedOf returns how many servers of a service are unused only because their failure
// domain is evacuated.
func (v *View) EvacuatedOf(name ident.Service) int {
	return v.servers.Unused(name)
}
