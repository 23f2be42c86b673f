package srvtab

import (
	"time"

	"umberladder/internal/core/ident"
)

// History is what a VM knows of the versions of the software that servers ran earlier. A list of
// servers says nothing of those that came and went before it.
type History struct {
	// Complete is for how long the versions of all servers have been known; zero: not at all.
	Complete time.Duration
	Gone     []GoneVersion
}

// GoneVersion is a version of the software that no server of a service runs any more.
type GoneVersion struct {
	Service ident.Service
	Version ident.Version
	Ago     time.Duration // since the last of its servers was dropped
}

// History returns what is known of earlier versions.
func (v *View) History(now time.Time) History {
	var h History
	if !v.completeSince.IsZero() {
		h.Complete = max(now.Sub(v.completeSince), 1)
	}
	for service, list := range v.versions {
		if at, ok := v.forgotten[service]; ok {
			h.Complete = min(h.Complete, now.Sub(at))
		}
		for _, s := range list {
			if !s.goneAt.IsZero() {
				h.Gone = append(h.Gone, GoneVersion{Service: service, Version: s.version, Ago: max(now.Sub(s.goneAt), 0)})
			}
		}
	}
	return h
}

// RecordGap records that servers may have come and gone unseen from a time until now. A history
// that covers this time closes the gap.
func (t *Table) RecordGap(from, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.coverage.since.IsZero() {
		return
	}
	t.coverage.interrupt(from, now)
	t.hasDiverged = true
	t.publish()
}

// AddHistory adds what another VM knows of earlier versions, or what the store's changes show of
// them. It applies to the time until now: changes that h does not include must be applied later.
// It reports whether h has versions that were not known here.
func (t *Table) AddHistory(h History, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := false
	for _, g := range h.Gone {
		if t.versionCounts[g.Service][g.Version] > 0 {
			continue
		}
		goneAt := now.Add(-g.Ago)
		known := false
		for _, s := range t.versions[g.Service] {
			known = known || s.version == g.Version && !s.goneAt.Before(goneAt)
		}
		if !known {
			t.setSpan(g.Service, g.Version, func(s *versionSpan) { s.goneAt = goneAt })
			added, t.hasDiverged = true, true
		}
	}
	if h.Complete > 0 {
		t.coverage.extend(now.Add(-h.Complete))
	}
	t.publish()
	return added
}

// coverage is the times at which the versions of all servers were known.
type coverage struct {
	since   time.Time // until now; zero: they are not known
	earlier []period  // before since, in order, without overlap
}

// period is the time from since until until.
type period struct {
	since, until time.Time
}

// interrupt ends the current period at from and begins another one at now.
func (c *coverage) interrupt(from, now time.Time) {
	if c.since.Before(from) {
		c.earlier = append(c.earlier, period{since: c.since, until: from})
	}
	for len(c.earlier) > 0 && now.Sub(c.earlier[0].until) > versionMemory {
		c.earlier = c.earlier[1:]
	}
	c.since = now
}

// extend makes the current period begin at since, or with the earlier period in which that is.
func (c *coverage) extend(since time.Time) {
	if c.since.IsZero() || since.Before(c.since) {
		c.since = since
	}
	for n := len(c.earlier); n > 0 && !c.earlier[n-1].until.Before(c.since); n-- {
		if c.earlier[n-1].since.Before(c.since) {
			c.since = c.earlier[n-1].since
		}
		c.earlier = c.earlier[:n-1]
	}
}
