package srvtab

import (
	"maps"
	"time"

	"umberladder/internal/core/ident"
)

// versionMemory is the minimum time for which a version of the software is remembered that no
// server runs any more.
const versionMemory = 5 * time.Minute

// withdrawTime is how long after a server of a version has begun to drain others of that version
// are expected to follow.
const withdrawTime = 10 * time.Second

// versionSpan is a version of the software that servers of a service run or ran.
type versionSpan struct {
	version   ident.Version
	goneAt    time.Time // when the last of its servers was dropped; zero: there are some
	drainedAt time.Time // when one of its servers last began to drain; zero: none has
}

// versionCounts counts the servers of each version, by service.
type versionCounts map[ident.Service]map[ident.Version]int

// countVersion records that the number of servers of a version has changed by delta, which is 1
// or -1.
func (t *Table) countVersion(service ident.Service, v ident.Version, delta int) {
	counts := t.versionCounts[service]
	if counts == nil {
		counts = make(map[ident.Version]int)
		t.versionCounts[service] = counts
	}
	counts[v] += delta
	switch {
	case counts[v] == 0:
		delete(counts, v)
		t.setSpan(service, v, func(s *versionSpan) { s.goneAt = time.Now() })
	case counts[v] == 1 && delta > 0:
		t.setSpan(service, v, func(s *versionSpan) { s.goneAt = time.Time{} })
	}
	if len(counts) == 0 {
		delete(t.versionCounts, service)
	}
}

// forget records that a version of a service which was gone at the given time is not remembered.
func (t *Table) forget(service ident.Service, goneAt time.Time) {
	if !t.forgotten[service].Before(goneAt) {
		return
	}
	t.forgotten = maps.Clone(t.forgotten)
	if t.forgotten == nil {
		t.forgotten = make(map[ident.Service]time.Time)
	}
	t.forgotten[service] = goneAt
}

// setSpan changes what is known of a version, and drops versions that are gone for long.
func (t *Table) setSpan(service ident.Service, v ident.Version, change func(*versionSpan)) {
	now := time.Now()
	span := versionSpan{version: v, goneAt: now}
	var others []versionSpan
	for _, s := range t.versions[service] {
		switch {
		case s.version == v:
			span = s
		case s.goneAt.IsZero() || now.Sub(s.goneAt) <= versionMemory:
			others = append(others, s)
		default:
			t.forget(service, s.goneAt)
		}
	}
	wasGone := !span.goneAt.IsZero()
	change(&span)
	t.versions = maps.Clone(t.versions)
	if t.versions == nil {
		t.versions = make(map[ident.Service][]versionSpan)
	}
	t.versions[service] = append(others, span)
	t.hasDiverged = t.hasDiverged || len(others) > 0 && wasGone && span.goneAt.IsZero()
}

// recordVersionDrain records that a server has begun to drain.
func (t *Table) recordVersionDrain(e Entry) {
	t.setSpan(e.Service, e.Version, func(span *versionSpan) { span.drainedAt = time.Now() })
}

// Withdrawn returns the versions of a service of which servers drain one after the other, while
// none of another version does that servers run. Their other servers are expected to follow.
func (v *View) Withdrawn(service ident.Service, now time.Time) []ident.Version {
	var withdrawn []ident.Version
	present := 0
	for _, s := range v.versions[service] {
		if !s.goneAt.IsZero() {
			continue
		}
		present++
		if now.Sub(s.drainedAt) < withdrawTime {
			withdrawn = append(withdrawn, s.version)
		}
	}
	if len(withdrawn) == present {
		return nil
	}
	return withdrawn
}

// announceVersions makes Diverged receive a value if there is reason to. It must be called after
// the view is stored.
func (t *Table) announceVersions() {
	if !t.hasDiverged {
		return
	}
	t.hasDiverged = false
	select {
	case t.diverged <- struct{}{}:
	default:
	}
}

// SetVersion sets the version of a known server whose version is not known.
func (t *Table) SetVersion(id ident.Server, v ident.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(id)
	if s == nil || s.Version != "" || v == "" {
		return
	}
	e := s.Entry
	e.Version = v
	t.put(e)
	t.publish()
}

// LacksVersions reports whether the versions of some servers are not known.
func (v *View) LacksVersions() bool {
	for _, list := range v.versions {
		for _, s := range list {
			if s.version == "" && s.goneAt.IsZero() {
				return true
			}
		}
	}
	return false
}

// Diverged returns a channel that receives a value when a service gets servers of a version of
// the software besides those that it had, or may have had some that this VM did not see.
func (t *Table) Diverged() <-chan struct{} { return t.diverged }

// VersionsSince returns the versions of the software that servers of a service have run since
// a time, as far as they are known, and whether all of them are: no server can have come and gone
// unseen since then.
func (v *View) VersionsSince(service ident.Service, since time.Time) (versions []ident.Version, known bool) {
	for _, s := range v.versions[service] {
		if s.goneAt.IsZero() || s.goneAt.After(since) {
			versions = append(versions, s.version)
		}
	}
	known = !v.completeSince.IsZero() && !v.completeSince.After(since) && !v.forgotten[service].After(since)
	return versions, known
}
