package srvtab

import (
	"maps"
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

// versionMemory is how long a version of the software that no server runs any more is
// remembered. It is longer than the streams live that it may have begun.
const versionMemory = 5 * time.Minute

// versionSpan is a version of the software that servers of a service run or ran.
type versionSpan struct {
	version ident.Version
	goneAt  time.Time // when the last of its servers was dropped; zero: there are some
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
		t.setSpan(service, versionSpan{version: v, goneAt: time.Now()})
	case counts[v] == 1 && delta > 0:
		t.setSpan(service, versionSpan{version: v})
	}
	if len(counts) == 0 {
		delete(t.versionCounts, service)
	}
}

// setSpan replaces what is known of a version, and drops versions that are gone for long.
func (t *Table) setSpan(service ident.Service, span versionSpan) {
	now := time.Now()
	list := slices.DeleteFunc(slices.Clone(t.versions[service]), func(s versionSpan) bool {
		return s.version == span.version || !s.goneAt.IsZero() && now.Sub(s.goneAt) > versionMemory
	})
	t.versions = maps.Clone(t.versions)
	if t.versions == nil {
		t.versions = make(map[ident.Service][]versionSpan)
	}
	t.versions[service] = append(list, span)
	t.hasDiverged = t.hasDiverged || len(list) > 0 && span.goneAt.IsZero()
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

// Diverged returns a channel that receives a value when a service gets servers of a version of
// the software besides those that it had.
func (t *Table) Diverged() <-chan struct{} { return t.diverged }

// VersionsSince returns the versions of the software that servers of a service have run since
// a time, and whether all of them are known: the list of servers has been complete since then.
func (v *View) VersionsSince(service ident.Service, since time.Time) (versions []ident.Version, known bool) {
	for _, s := range v.versions[service] {
		if s.goneAt.IsZero() || s.goneAt.After(since) {
			versions = append(versions, s.version)
		}
	}
	return versions, !v.completeSince.IsZero() && !v.completeSince.After(since)
}
