package timing

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

// serviceRetention is how long the state of a service is kept that gets no calls.
const serviceRetention = time.Minute

// Change says that a server has become slow, or is slow no more.
type Change struct {
	Service ident.Service
	Server  ident.Server
	Slow    bool
	Mean    time.Duration // of the server's response times; zero: not known
	Median  time.Duration // of the means of the service's servers; zero: not known
}

// Tracker tracks the response times of plain servers. It is safe for concurrent use.
type Tracker struct {
	changed func(Change)

	mu       sync.Mutex
	own      map[ident.Server]*window
	fleet    fleet
	services map[ident.Service]*service
}

// service is the state of one service's servers between assessments.
type service struct {
	assessedAt time.Time
	estimates  map[ident.Server]estimate
	slow       map[ident.Server]bool
}

// New returns a Tracker without figures. It calls changed when a server becomes slow and when
// that ends.
func New(changed func(Change)) *Tracker {
	return &Tracker{changed: changed, own: make(map[ident.Server]*window), fleet: newFleet(), services: make(map[ident.Service]*service)}
}

// Observe records that a server completed a call in the given time, without a failure.
func (t *Tracker) Observe(id ident.Server, took time.Duration, now time.Time) {
	t.add(id, Stats{Responses: 1, Time: max(took, 0)}, now)
}

// ObserveRejection records that a server did not run a call.
func (t *Tracker) ObserveRejection(id ident.Server, now time.Time) {
	t.add(id, Stats{Rejections: 1}, now)
}

func (t *Tracker) add(id ident.Server, s Stats, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.own[id]
	if w == nil {
		w = &window{}
		t.own[id] = w
	}
	w.add(s, now)
}

// Report returns this VM's sums of the servers that answered calls in the last Window.
// serviceOf returns the service of a server, inFlight the number of this VM's calls in flight at it.
func (t *Tracker) Report(serviceOf func(ident.Server) ident.Service, inFlight func(ident.Server) int, now time.Time) map[ident.Server]Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return busiest(t.ownSums(inFlight, now), serviceOf)
}

// ownSums returns this VM's sums, and drops the windows of servers without any.
func (t *Tracker) ownSums(inFlight func(ident.Server) int, now time.Time) map[ident.Server]Stats {
	out := make(map[ident.Server]Stats, len(t.own))
	for id, w := range t.own {
		s := w.sum(now)
		if s == (Stats{}) {
			delete(t.own, id)
			continue
		}
		s.InFlight = inFlight(id)
		out[id] = s
	}
	return out
}

// Response returns this VM's response, as a hub, to a VM that reports to it: the sums of all
// other VMs, this one included. It leaves out services whose servers have too few calls to be
// compared, of which large fleets have many servers. serviceOf returns the service of a server.
func (t *Tracker) Response(vm ident.VM, serviceOf func(ident.Server) ident.Service, inFlight func(ident.Server) int, now time.Time) map[ident.Server]Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.purge(now)
	out := t.ownSums(inFlight, now)
	receiver := t.fleet.reports[vm].stats
	for id, s := range t.fleet.total {
		if sum := out[id].add(s).sub(receiver[id]); sum != (Stats{}) {
			out[id] = sum
		}
	}
	keepComparable(out, serviceOf)
	return busiest(out, serviceOf)
}

// keepComparable removes the servers of services with fewer than minResponses calls per server on
// average.
func keepComparable(stats map[ident.Server]Stats, serviceOf func(ident.Server) ident.Service) {
	type load struct{ calls, servers int }
	loads := make(map[ident.Service]load)
	for id, s := range stats {
		l := loads[serviceOf(id)]
		loads[serviceOf(id)] = load{calls: l.calls + s.calls(), servers: l.servers + 1}
	}
	maps.DeleteFunc(stats, func(id ident.Server, _ Stats) bool {
		l := loads[serviceOf(id)]
		return l.calls < minResponses*l.servers
	})
}

// HandleReport records the sums of another VM. It keeps the map and may change it.
func (t *Tracker) HandleReport(vm ident.VM, stats map[ident.Server]Stats, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.addReport(vm, stats, now)
}

// HandleResponse records a hub's sums of all other VMs. reporting is the number of VMs that
// report to the hub. It keeps the map and may change it.
func (t *Tracker) HandleResponse(hub ident.VM, reporting int, stats map[ident.Server]Stats, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet.addResponse(hub, reporting, stats, now)
}

// Assess returns the assessments of a service's servers, in the order of the list. slots holds
// their numbers of slots in the same order; nil: all have the same.
func (t *Tracker) Assess(name ident.Service, list []ident.Server, slots []int, now time.Time) []Assessment {
	t.mu.Lock()
	s := t.service(name, now)
	all, others := make([]Stats, len(list)), t.fleet.others(now)
	out := make([]Assessment, len(list))
	for i, id := range list {
		all[i] = others.stats[id]
		out[i].PeerLoad = all[i].load()
		if w := t.own[id]; w != nil {
			all[i] = all[i].add(w.sum(now))
		}
	}
	if others.full {
		assumeLoads(list, slots, others.stats, out)
	}
	s.assess(list, slots, all, out, now)
	changes := s.update(name, list, out)
	t.mu.Unlock()
	for _, c := range changes {
		t.changed(c)
	}
	return out
}

// service returns the state of a service, and drops that of services without calls.
func (t *Tracker) service(name ident.Service, now time.Time) *service {
	s := t.services[name]
	if s == nil {
		for other, o := range t.services {
			if now.Sub(o.assessedAt) > serviceRetention {
				delete(t.services, other)
			}
		}
		s = &service{estimates: make(map[ident.Server]estimate), slow: make(map[ident.Server]bool)}
		t.services[name] = s
	}
	s.assessedAt = now
	return s
}

// update records which servers are slow and returns the changes.
func (s *service) update(name ident.Service, list []ident.Server, assessments []Assessment) []Change {
	var changes []Change
	for i, id := range list {
		a := assessments[i]
		if a.Slow == s.slow[id] {
			continue
		}
		if a.Slow {
			s.slow[id] = true
		} else {
			delete(s.slow, id)
		}
		changes = append(changes, Change{Service: name, Server: id, Slow: a.Slow, Mean: a.Mean, Median: a.Median})
	}
	maps.DeleteFunc(s.slow, func(id ident.Server, _ bool) bool { return !slices.Contains(list, id) })
	return changes
}

// SlowCount is the number of slow servers of one service.
type SlowCount struct {
	Service ident.Service
	Servers int
}

// SlowCounts returns the numbers of slow servers of the services that recently got calls, in
// the order of the services.
func (t *Tracker) SlowCounts(now time.Time) []SlowCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []SlowCount
	for name, s := range t.services {
		n := len(s.slow)
		if now.Sub(s.assessedAt) > retention {
			n = 0 // the figures that they were classified by are outdated
		}
		out = append(out, SlowCount{Service: name, Servers: n})
	}
	slices.SortFunc(out, func(a, b SlowCount) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
