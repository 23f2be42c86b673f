package unary

import (
	"net/http"
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

// pick chooses a server that has not been tried yet, or returns nil if none is usable. Plain
// servers that differ are chosen by the figures of all VMs. The samples of the other VMs' calls
// in flight then outweigh this VM's health weights, which therefore count squared.
func (r *requester) pick() *srvtab.Server {
	now, rng := time.Now(), assign.NewRand()
	list := r.Servers.View().ServersOf(r.Service.Name)
	r.Alloc.Expire(now)
	limited := r.rateLimited(list, now)
	allowed := r.AllowedDomains()
	servers := make([]assign.Server, len(list))
	for i, s := range list {
		servers[i] = assign.Server{
			Slots:       s.Slots,
			CrossDomain: s.Domain != r.Config.Domain,
			Weight:      r.Health.Weight(s.ID, now),
			Skip:        r.tried[s.ID] || allowed != nil && !slices.Contains(allowed, s.Domain) || r.Health.PauseRemaining(s.ID, now) > 0 || limited[s.ID],
		}
	}
	if r.Service.Engine != nil {
		for i, s := range list {
			servers[i].InFlight = r.Alloc.Load(s.ID).Calls
		}
		return chosen(list, assign.ChoosePlain(servers, rng))
	}
	assessments := r.Timings.Assess(r.Service.Name, serverIDs(list), slotsOf(list), now)
	differ := timing.Differ(assessments)
	health := make([]float64, len(list))
	for i, s := range list {
		if !servers[i].Skip {
			health[i] = servers[i].Weight
		}
		servers[i].InFlight = r.Alloc.Own(s.ID).Calls
		if differ {
			servers[i].InFlight += timing.SampleLoad(assessments[i].PeerLoad, rng)
			servers[i].Weight *= servers[i].Weight * assessments[i].Weight
		}
	}
	if i := timing.Probe(assessments, func(i int) float64 { return health[i] }, rng); i >= 0 {
		return list[i]
	}
	return chosen(list, assign.ChoosePlain(servers, rng))
}

// chosen returns the server with the given index, or nil if it is -1.
func chosen(list []*srvtab.Server, i int) *srvtab.Server {
	if i < 0 {
		return nil
	}
	return list[i]
}

func serverIDs(list []*srvtab.Server) []ident.Server {
	ids := make([]ident.Server, len(list))
	for i, s := range list {
		ids[i] = s.ID
	}
	return ids
}

func slotsOf(list []*srvtab.Server) []int {
	slots := make([]int, len(list))
	for i, s := range list {
		slots[i] = s.Slots
	}
	return slots
}

// observeTiming records how long a plain server took for a call, or that it did not run the
// call. A failure says nothing about the time that calls take, and the way through another VM
// takes time that is not the server's.
func (r *requester) observeTiming(s *srvtab.Server, resp *port.Response, sent time.Time) {
	now := time.Now()
	switch {
	case r.Service.Engine != nil || resp.Replaced || resp.Via != "":
	case resp.NotExecuted && resp.Status == http.StatusServiceUnavailable && !resp.Draining:
		r.Timings.ObserveRejection(s.ID, now)
	case !resp.NotExecuted && resp.Status < http.StatusBadRequest:
		r.Timings.Observe(s.ID, now.Sub(sent), now)
	}
}
