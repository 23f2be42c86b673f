package timing

import (
	"maps"
	"time"

	"umberladder/internal/core/ident"
)

// ServerStatus is what a Tracker knows of one server.
type ServerStatus struct {
	Server   ident.Server
	Mean     time.Duration // of the response times; zero: not known
	Weight   float64       // fraction of its normal load that the server gets
	Slow     bool          // its response times count as slow
	InFlight int           // calls in flight: those of this VM now, of the others at their last reports
}

// Status returns what is known of a service's servers, in the order of the list, and the median of
// their mean response times; zero: not known. It changes nothing that an assessment depends on. The
// other VMs' calls are included as far as hubs return them. inFlight returns the number of this VM's
// calls in flight at a server.
func (t *Tracker) Status(name ident.Service, list []ident.Server, inFlight func(ident.Server) int, now time.Time) ([]ServerStatus, time.Duration) {
	s, all, peers := t.copyService(name, list, now)
	assessments := make([]Assessment, len(list))
	s.assess(list, nil, all, assessments, now) // slots matter only for loads and probes
	out, median := make([]ServerStatus, len(list)), time.Duration(0)
	for i, id := range list {
		a := assessments[i]
		out[i] = ServerStatus{Server: id, Mean: a.Mean, Weight: a.Weight, Slow: a.Slow, InFlight: peers[i].InFlight + inFlight(id)}
		median = a.Median
	}
	return out, median
}

// copyService returns a copy of a service's state, and the sums of the servers in the list: those
// of all VMs, and those of the others.
func (t *Tracker) copyService(name ident.Service, list []ident.Server, now time.Time) (s service, all, peers []Stats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s = service{estimates: make(map[ident.Server]estimate), slow: make(map[ident.Server]bool)}
	if known := t.services[name]; known != nil {
		s = service{assessedAt: known.assessedAt, estimates: maps.Clone(known.estimates), slow: maps.Clone(known.slow)}
	}
	all, peers = make([]Stats, len(list)), make([]Stats, len(list))
	others := t.fleet.others(now)
	for i, id := range list {
		peers[i] = others.stats[id]
		all[i] = peers[i]
		if w := t.own[id]; w != nil {
			own := *w // sum advances the window
			all[i] = all[i].add(own.sum(now))
		}
	}
	return s, all, peers
}
