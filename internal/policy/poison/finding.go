package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

// Suspect is a request, or a part of its prompt, that may make servers crash.
type Suspect struct {
	ID    call.Fingerprint
	Depth uint8 // position of the part in the prompt, from 1; WholeRequest: the request itself; zero: not known
}

const (
	// WholeRequest is the depth of a request as a whole.
	WholeRequest = 255
	// maxParts bounds the number of parts of one prompt that are suspects.
	maxParts = 32
)

// Suspects returns the suspects of a request, given the fingerprints of the request and of the
// parts of its prompt that others may share.
func Suspects(request call.Fingerprint, parts []call.Fingerprint) []Suspect {
	out := []Suspect{{ID: request, Depth: WholeRequest}}
	for i, f := range parts[:min(len(parts), maxParts)] {
		out = append(out, Suspect{ID: f, Depth: uint8(i + 1)}) //nolint:gosec // at most maxParts
	}
	return out
}

// Finding holds the evidence about one suspect and its quarantine.
type Finding struct {
	Suspect
	Crashes     map[ident.Server]time.Time // by server: when it crashed as it began to respond
	Passes      map[ident.Server]time.Time // by server: when a response last got past the beginning
	Released    time.Time                  // when a quarantine last ended early; zero: none did
	Quarantined time.Time                  // when the suspect was quarantined; zero: it was not
}

func newFinding(s Suspect) Finding {
	return Finding{Suspect: s, Crashes: make(map[ident.Server]time.Time), Passes: make(map[ident.Server]time.Time)}
}

// quarantined reports whether the suspect was quarantined after it was last released.
func (f *Finding) quarantined() bool { return f.Quarantined.After(f.Released) }

// expire drops everything that is not later than oldest.
func (f *Finding) expire(oldest time.Time) {
	for _, m := range []map[ident.Server]time.Time{f.Crashes, f.Passes} {
		maps.DeleteFunc(m, func(_ ident.Server, at time.Time) bool { return !at.After(oldest) })
	}
	if !f.Released.After(oldest) {
		f.Released = time.Time{}
	}
	if !f.Quarantined.After(oldest) {
		f.Quarantined = time.Time{}
	}
}

// empty reports whether the finding holds nothing against the suspect and no release.
func (f *Finding) empty() bool {
	return len(f.Crashes) == 0 && f.Released.IsZero() && f.Quarantined.IsZero()
}

// record is a finding and the times that decide whether it is announced and stored.
type record struct {
	Finding
	changed time.Time // when the finding last changed on this VM
	stored  time.Time // when the quarantine was last seen in the store or written to it
}

// merge adds the new information of a finding and reports whether there is any. It keeps the
// newest maxEvidence crashes and passes.
func (r *record) merge(f *Finding, maxEvidence int) bool {
	changed := false
	r.Depth = max(r.Depth, f.Depth)
	if f.Released.Sub(r.Released) > timestampTolerance {
		r.Released, changed = f.Released, true
	}
	for s, at := range f.Crashes {
		if _, known := r.Crashes[s]; !known {
			changed = insert(r.Crashes, s, at, maxEvidence) || changed
		}
	}
	for s, at := range f.Passes {
		if at.Sub(r.Passes[s]) > timestampTolerance {
			changed = insert(r.Passes, s, at, maxEvidence) || changed
		}
	}
	if f.Quarantined.After(r.Released) && !r.quarantined() {
		r.Quarantined, changed = f.Quarantined, true
	}
	return changed
}

// insert sets an entry of a map that keeps the newest limit entries. It reports whether the
// entry was kept.
func insert(m map[ident.Server]time.Time, s ident.Server, at time.Time, limit int) bool {
	m[s] = at
	if len(m) <= limit {
		return true
	}
	oldest, first := s, true
	for k, t := range m {
		if first || t.Before(m[oldest]) || t.Equal(m[oldest]) && k < oldest {
			oldest, first = k, false
		}
	}
	delete(m, oldest)
	return oldest != s
}

// observation is a crash or a pass.
type observation struct {
	at    time.Time
	crash bool
}

// score returns how strongly the evidence speaks against the suspect. In the order of time,
// each crash raises it by one and each pass lowers it by one, to -maxCredit at least, so that
// neither one pass nor a long history without crashes outweighs a series of crashes. A series
// of maxCredit passes clears the suspect of all crashes before it. Crashes of explained servers
// do not count.
func (r *record) score(explained map[ident.Server]struct{}) int {
	list := make([]observation, 0, len(r.Crashes)+len(r.Passes))
	for s, at := range r.Crashes {
		if _, ok := explained[s]; !ok {
			list = append(list, observation{at: at, crash: true})
		}
	}
	for _, at := range r.Passes {
		list = append(list, observation{at: at})
	}
	slices.SortFunc(list, func(x, y observation) int {
		if c := x.at.Compare(y.at); c != 0 || x.crash == y.crash {
			return c
		}
		if y.crash {
			return -1 // passes first, so that all VMs compute the same score
		}
		return 1
	})
	n, series := 0, 0
	for _, o := range list {
		if o.crash {
			n, series = n+1, 0
			continue
		}
		n, series = n-1, series+1
		if n < -maxCredit || series >= maxCredit {
			n = -maxCredit
		}
	}
	return n
}

// lastCrash returns the time of the last crash, or zero if there is none.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, at := range r.Crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// needsPass reports whether a pass would change the score: less than a full series of passes
// lies between from and to, and none of them at the same server.
func (r *record) needsPass(server ident.Server, from, to time.Time) bool {
	n := 0
	for s, at := range r.Passes {
		if at.Before(from) || at.After(to) {
			continue
		}
		if n++; s == server {
			return false
		}
	}
	return n < maxCredit
}

// moreSpecific orders suspects by how few requests share them, the fewest first. Ties are
// broken by the fingerprint, so that VMs agree.
func moreSpecific(x, y Suspect) int {
	return cmp.Or(cmp.Compare(y.Depth, x.Depth), cmp.Compare(x.ID, y.ID))
}
