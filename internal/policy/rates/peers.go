package rates

import (
	"time"

	"umberladder/internal/core/ident"
)

// answerTime is how long a hub's answer is valid. It tolerates the loss of two answers.
const answerTime = 1300 * time.Millisecond

// sentCounts holds the requests sent to each server in the last Span, by one VM or, in a
// hub's answer, by all VMs but the receiver.
type sentCounts struct {
	at    time.Time
	heard int // in a hub's answer, the VMs that report to the hub
	sent  map[ident.Server]int
}

// peers holds the request counts of other VMs, both reported to this VM directly and
// summed by hubs.
type peers struct {
	reports map[ident.VM]sentCounts
	answers map[ident.VM]sentCounts // by hub
}

func newPeers() peers {
	return peers{reports: make(map[ident.VM]sentCounts), answers: make(map[ident.VM]sentCounts)}
}

// report stores a VM's report and drops outdated ones.
func (p *peers) report(vm ident.VM, sent map[ident.Server]int, now time.Time) {
	p.reports[vm] = sentCounts{at: now, sent: sent}
	for other, c := range p.reports {
		if now.Sub(c.at) > Span {
			delete(p.reports, other)
		}
	}
}

// answer stores a hub's answer.
func (p *peers) answer(hub ident.VM, heard int, sent map[ident.Server]int, now time.Time) {
	p.answers[hub] = sentCounts{at: now, heard: heard, sent: sent}
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
// covers the most VMs: the direct reports or a hub's answer. It returns false if no source
// covers any VM.
func (p *peers) sent(id ident.Server, now time.Time) (int, bool) {
	heard, n := len(p.reports), p.reported(id, "", now)
	for hub, c := range p.answers {
		if now.Sub(c.at) > answerTime {
			delete(p.answers, hub)
			continue
		}
		if c.heard > heard {
			heard, n = c.heard, c.sent[id]
		}
	}
	return n, heard > 0
}
