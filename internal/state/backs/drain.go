package backs

import (
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// drainTime is how long the drain of a start is remembered, and announceTime how long
	// it is announced at most while no entry confirms it. An outage of the store may last
	// for minutes, and the start ends sooner.
	drainTime    = 10 * time.Minute
	announceTime = time.Minute
	// mostAnnounced bounds the drains in one message.
	mostAnnounced = 100
)

// drain is a start of a server that drains.
type drain struct {
	at        time.Time
	confirmed bool // the entry says so, or is gone: others learn it from there
	announce  bool
}

// drained returns the drain of a start, which begins now unless it is known.
func (t *Table) drained(id ident.Server, now time.Time) *drain {
	d := t.drains[id]
	if d == nil {
		d = &drain{at: now}
		t.drains[id] = d
	}
	for other, o := range t.drains {
		if now.Sub(o.at) > drainTime {
			delete(t.drains, other)
		}
	}
	return d
}

// Drain notes that a server has said itself that it drains. It reports whether that is
// news.
func (t *Table) Drain(id ident.Server, now time.Time) bool {
	return len(t.Drains([]ident.Server{id}, true, now)) > 0
}

// Drains notes that servers have said that they drain, and returns those of which that
// is news. With announce other VMs are to learn of it from this one.
func (t *Table) Drains(ids []ident.Server, announce bool, now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for _, id := range ids {
		known := t.drains[id] != nil
		d := t.drained(id, now)
		if announce && !d.announce {
			d.announce = true
			t.onLeave()
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

// retire takes a server out of use that still serves what it has.
func (t *Table) retire(id ident.Server) {
	old := t.all[id]
	if old == nil || old.Leaving {
		return
	}
	s := &Server{Entry: old.Entry, leave: old.leave}
	s.Leaving = true
	t.all[id] = s
	close(s.leave)
}

// Draining returns the servers whose drain this VM announces: those that it learnt of
// from themselves or, as a hub, from others, until their entries say so.
func (t *Table) Draining(now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for id, d := range t.drains {
		age := now.Sub(d.at)
		if d.announce && (age <= newsTime || !d.confirmed && age <= announceTime) {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b ident.Server) int { return t.drains[b].at.Compare(t.drains[a].at) })
	return out[:min(len(out), mostAnnounced)]
}
