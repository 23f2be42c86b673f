package srvtab

import (
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// drainRetention is how long the drain of a server is remembered, and
	// drainAnnounceTime is the longest time for which it is announced while no entry
	// confirms it. A store outage may last for minutes; a draining server ends sooner.
	drainRetention    = 10 * time.Minute
	drainAnnounceTime = time.Minute
	// drainPurgeInterval is how often drains older than drainRetention are removed.
	drainPurgeInterval = time.Minute
	// maxAnnounced bounds the number of drains in one message.
	maxAnnounced = 100
)

// drain records that a server is draining.
type drain struct {
	at        time.Time
	confirmed bool // the entry in the store says so or is gone, so other VMs learn it from the store
	announced bool // this VM announces the drain, or has done so
}

// recordDrain returns the drain of a server, and records one that begins now if there is
// none. At times it also removes drains older than drainRetention.
func (t *Table) recordDrain(id ident.Server, now time.Time) *drain {
	d := t.drains[id]
	if d == nil {
		d = &drain{at: now}
		t.drains[id] = d
	}
	if now.Sub(t.drainsPurgedAt) < drainPurgeInterval {
		return d
	}
	t.drainsPurgedAt = now
	for other, o := range t.drains {
		if now.Sub(o.at) > drainRetention {
			delete(t.drains, other)
		}
	}
	return d
}

// MarkDraining records that a server has reported that it is draining. It reports whether
// the drain was unknown before.
func (t *Table) MarkDraining(id ident.Server, now time.Time) bool {
	return len(t.MarkAllDraining([]ident.Server{id}, true, now)) > 0
}

// MarkAllDraining records that servers are draining and returns those whose drain was
// unknown before. If announce is set, this VM announces the drains to other VMs.
func (t *Table) MarkAllDraining(ids []ident.Server, announce bool, now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for _, id := range ids {
		known := t.drains[id] != nil
		d := t.recordDrain(id, now)
		if announce && !d.announced {
			d.announced = true
			t.announcing[id] = d
			t.onRetire()
		}
		if known {
			continue
		}
		out = append(out, id)
		t.retire(id)
	}
	if out != nil {
		t.publish()
	}
	return out
}

// retire stops new work to a server, which continues to serve the calls that it has.
func (t *Table) retire(id ident.Server) {
	old := t.server(id)
	if old == nil || old.Draining {
		return
	}
	s := *old
	s.Draining = true
	t.servers.Set(&s)
	t.recordVersionDrain(s.Entry)
	s.retirement.fire()
}

// DrainsToAnnounce returns the servers whose drain this VM announces, latest first. It
// learned of these drains from the servers or, as a hub, from other VMs. A drain is
// announced until the server's entry confirms it.
func (t *Table) DrainsToAnnounce(now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for id, d := range t.announcing {
		age := now.Sub(d.at)
		if age > drainAnnounceTime || d.confirmed && age > retireAnnounceTime {
			delete(t.announcing, id)
			continue
		}
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b ident.Server) int { return t.drains[b].at.Compare(t.drains[a].at) })
	return out[:min(len(out), maxAnnounced)]
}
