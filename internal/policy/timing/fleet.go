package timing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/source"
)

const (
	// MaxServers is the maximum number of servers in a report or in a hub's response: those
	// with the most calls of each service.
	MaxServers = 64
	// reportTTL is how long a VM's report is part of the sums. It tolerates the loss of two
	// reports.
	reportTTL = 1300 * time.Millisecond
	// responseTTL is how long a hub's response is used.
	responseTTL = 3 * time.Second
	// minCoverage is the fraction of the largest number of reporting VMs that a hub must
	// cover for its response to be used. Among these hubs, the latest response counts.
	minCoverage = 0.9
)

// report holds sums by server: those of one VM, or a hub's sums of all VMs but the receiver.
type report struct {
	at        time.Time
	reporting int // in a hub's response, the number of VMs that report to the hub
	stats     map[ident.Server]Stats
	full      bool // the message had no room for further servers
}

// fleet holds the sums of other VMs: those reported to this VM, and those returned by hubs.
type fleet struct {
	reports   map[ident.VM]report
	total     map[ident.Server]Stats // sum of reports
	purgedAt  time.Time
	responses map[ident.VM]report // by hub
}

func newFleet() fleet {
	return fleet{reports: make(map[ident.VM]report), total: make(map[ident.Server]Stats), responses: make(map[ident.VM]report)}
}

// addReport replaces the report of a VM.
func (f *fleet) addReport(vm ident.VM, stats map[ident.Server]Stats, now time.Time) {
	stats = validEntries(stats)
	f.subtract(f.reports[vm])
	f.reports[vm] = report{at: now, stats: stats}
	for id, s := range stats {
		f.total[id] = f.total[id].add(s)
	}
}

func (f *fleet) subtract(r report) {
	for id, s := range r.stats {
		rest := f.total[id].sub(s)
		if rest == (Stats{}) {
			delete(f.total, id)
			continue
		}
		f.total[id] = rest
	}
}

// addResponse replaces the response of a hub. The caller's VM has few hubs at a time, and
// responses of former hubs expire.
func (f *fleet) addResponse(hub ident.VM, reporting int, stats map[ident.Server]Stats, now time.Time) {
	stats = validEntries(stats)
	f.responses[hub] = report{at: now, reporting: reporting, stats: stats, full: len(stats) >= MaxServers}
	for other, r := range f.responses {
		if now.Sub(r.at) > responseTTL {
			delete(f.responses, other)
		}
	}
}

// purge removes outdated reports, at most once in each slot of the window.
func (f *fleet) purge(now time.Time) {
	if now.Sub(f.purgedAt) < Window/slots {
		return
	}
	f.purgedAt = now
	for vm, r := range f.reports {
		if now.Sub(r.at) > reportTTL {
			f.subtract(r)
			delete(f.reports, vm)
		}
	}
}

// choice is how the source of the other VMs' sums is chosen.
var choice = source.Choice[report]{
	TTL: responseTTL, MinCoverage: minCoverage,
	Of: func(r report) (time.Time, int) { return r.at, r.reporting },
}

// others returns the sums of the other VMs: the latest response among the hubs that most VMs
// report to, or the reports to this VM, if they cover as many VMs.
func (f *fleet) others(now time.Time) report {
	f.purge(now)
	if best, ok := choice.Best(f.responses, len(f.reports), now); ok {
		return best
	}
	return report{at: now, stats: f.total}
}

// validEntries returns the valid entries of another VM's message, at most MaxServers.
func validEntries(stats map[ident.Server]Stats) map[ident.Server]Stats {
	maps.DeleteFunc(stats, func(id ident.Server, s Stats) bool { return id == "" || !s.valid() })
	return busiest(stats, func(ident.Server) ident.Service { return "" }) // the sender has divided the places among services
}

// busiest removes all but MaxServers servers. It divides the places evenly among the services, and
// gives those that a service does not need to the others. Within a service, the servers with the
// most calls stay. serviceOf returns the service of a server.
func busiest(stats map[ident.Server]Stats, serviceOf func(ident.Server) ident.Service) map[ident.Server]Stats {
	if len(stats) <= MaxServers {
		return stats
	}
	byCalls := func(a, b ident.Server) int {
		return cmp.Or(cmp.Compare(stats[b].calls(), stats[a].calls()), cmp.Compare(a, b))
	}
	ids := slices.SortedFunc(maps.Keys(stats), byCalls)
	ranks, counts := make(map[ident.Server]int, len(ids)), make(map[ident.Service]int)
	for _, id := range ids {
		s := serviceOf(id)
		ranks[id] = counts[s] // among the servers of its service
		counts[s]++
	}
	slices.SortFunc(ids, func(a, b ident.Server) int { return cmp.Or(cmp.Compare(ranks[a], ranks[b]), byCalls(a, b)) })
	for _, id := range ids[MaxServers:] {
		delete(stats, id)
	}
	return stats
}
