package rates

import (
	"time"

	"umberladder/internal/core/ident"
)

// responseTTL is how long a hub's response is valid. It tolerates the loss of two responses.
const responseTTL = 1300 * time.Millisecond

// sentCounts holds the requests sent to each server in the last Span, by one VM or, in a
// hub's response, by all VMs but the receiver.
type sentCounts struct {
	at        time.Time
	reporting int // in a hub's response, the number of VMs that report to the hub
	sent      map[ident.Server]int
}

// peers holds the request counts of other VMs: those reported to this VM directly, and those
// summed by hubs.
type peers struct {
	reports   map[ident.VM]sentCounts
	responses map[ident.VM]sentCounts // by hub
}

func newPeers() peers {
	return peers{reports: make(map[ident.VM]sentCounts), responses: make(map[ident.VM]sentCounts)}
}

// addReport stores a VM's report and drops outdated ones.
func (p *peers) addReport(vm ident.VM, sent map[ident.Server]int, now time.Time) {
	p.reports[vm] = sentCounts{at: now, sent: sent}
	for other, c := range p.reports {
		if now.Sub(c.at) > Span {
			delete(p.reports, other)
		}
	}
}

// addResponse stores a hub's response.
func (p *peers) addResponse(hub ident.VM, reporting int, sent map[ident.Server]int, now time.Time) {
	p.responses[hub] = sentCounts{at: now, reporting: reporting, sent: sent}
}

// reported returns how many requests the VMs that report to this one, except the given VM,
// have sent to a server.
func (p *peers) reported(id ident.Server, except ident.VM, now time.Time) int {
	n := 0
	for vm, c := range p.reports {
		if vm != except && now.Sub(c.at) <= Span {
			n += c.sent[id]
		}
	}
	return n
}

// sent returns how many requests the other VMs have sent to a server, from the source that
// covers the most VMs: the direct reports or a hub's response. It returns false if no source
// covers any VM.
func (p *peers) sent(id ident.Server, now time.Time) (int, bool) {
	reporting, n := len(p.reports), p.reported(id, "", now)
	for hub, c := range p.responses {
		if now.Sub(c.at) > responseTTL {
			delete(p.responses, hub)
			continue
		}
		if c.reporting > reporting {
			reporting, n = c.reporting, c.sent[id]
		}
	}
	return n, reporting > 0
}
