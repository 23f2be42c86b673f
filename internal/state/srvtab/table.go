package srvtab

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
	"unique"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/index"
)

// ReregisterTime is the longest time that a live server needs to write its entry
// again after a store outage in which the entry expired. The platform specifies 2 s.
const ReregisterTime = 2 * time.Second

// Entry is a server's registration in the store.
type Entry struct {
	ID       ident.Server
	Service  ident.Service
	Addr     netip.AddrPort
	Domain   ident.FailureDomain
	Slots    int
	Version  ident.Version // of the server's software; empty: not known
	Draining bool
	// Cold is how much longer the server is cold: it can't take its normal load yet. It is
	// set only while an entry is passed on; View.IsCold reports the state at a time.
	Cold time.Duration
}

// Server is one instance of a backend server; a restarted server has a new ID under the
// same name. A Server is immutable; a changed entry creates a new Server that shares
// the retirement.
type Server struct {
	Entry
	coldUntil  time.Time // end of the cold period, as last reported
	retirement *retirement
}

// Key implements index.Item.
func (s *Server) Key() ident.Server { return s.ID }

// Place implements index.Item. Servers that are draining are found by their ID only.
func (s *Server) Place() (ident.Service, index.Group, bool) {
	return s.Service, index.Group{Domain: s.Domain, Version: s.Version}, !s.Draining
}

// Retired returns a channel that is closed once the server accepts no new work.
func (s *Server) Retired() <-chan struct{} { return s.retirement.done() }

// IsRetired reports whether the server accepts no new work.
func (s *Server) IsRetired() bool { return s.retirement.ended() }

// retirement is the event that a server stops accepting new work. Most servers of a fleet
// have no call on this VM, so the channel is made when a call first waits for it.
type retirement struct {
	mu    sync.Mutex
	fired bool
	ch    chan struct{} // nil until it is first requested
}

func (r *retirement) done() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ch == nil {
		r.ch = make(chan struct{})
		if r.fired {
			close(r.ch)
		}
	}
	return r.ch
}

func (r *retirement) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fired
}

// fire records the event. Further calls do nothing.
func (r *retirement) fire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fired {
		return
	}
	r.fired = true
	if r.ch != nil {
		close(r.ch)
	}
}

// retireAnnounceTime is how long a retired server is announced to other VMs. It
// tolerates the loss of three messages.
const retireAnnounceTime = 1500 * time.Millisecond

// Table tracks the servers' entries. Reads take no lock.
type Table struct {
	onRetire func()

	mu      sync.Mutex
	servers *index.Index[*Server]      // the latest instance under each name
	expired map[ident.Server]time.Time // entries that expired in a store outage, and when they count as gone
	retired map[ident.Server]time.Time // servers that this VM has seen retire, and when
	drains  map[ident.Server]*drain    // servers known to drain, even if their entries do not say so
	view    atomic.Pointer[View]
	// batches is the number of calls of Batch in progress, and unpublished is set if one of
	// them has changed the servers.
	batches     int
	unpublished bool

	versionCounts versionCounts
	versions      map[ident.Service][]versionSpan // replaced, never modified
	coverage      coverage                        // when the versions of all servers were known
	forgotten     map[ident.Service]time.Time     // versions that were gone before then are not remembered; replaced, never modified
	diverged      chan struct{}
	hasDiverged   bool // a service may have had a further version since the last view

	evacuations    Evacuations
	evacuatedSince map[ident.FailureDomain]time.Time // replaced, never modified
	returnedAt     map[ident.FailureDomain]time.Time // replaced, never modified
	evacuationRev  atomic.Uint64                     // evacuations.Rev, for reads without the lock
	// announcing are the drains that this VM announces, a subset of drains.
	announcing     map[ident.Server]*drain
	drainsPurgedAt time.Time
}

// NewTable returns an empty table. It calls onRetire each time there is a retired
// or draining server to announce.
func NewTable(onRetire func()) *Table {
	t := &Table{
		onRetire:   onRetire,
		servers:    index.New[*Server](),
		expired:    make(map[ident.Server]time.Time),
		retired:    make(map[ident.Server]time.Time),
		drains:     make(map[ident.Server]*drain),
		announcing: make(map[ident.Server]*drain),

		versionCounts: make(versionCounts),
		diverged:      make(chan struct{}, 1),
	}
	t.publish()
	return t
}

// View returns the current view.
func (t *Table) View() *View { return t.view.Load() }

// Put applies a server's entry. It reports whether the entry differs from the known
// one or replaces an expired one. RetiredToAnnounce returns no servers that retire by their
// entries: other VMs receive the entries themselves, with their revisions.
func (t *Table) Put(e Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.put(e)
	if changed {
		t.publish()
	}
	return changed
}

func (t *Table) put(e Entry) bool {
	if !t.supersede(e.ID) {
		return false
	}
	now := time.Now()
	// Entries decoded from separate messages share the few names of services and domains.
	e.Service = ident.Service(unique.Make(string(e.Service)).Value())
	e.Domain = ident.FailureDomain(unique.Make(string(e.Domain)).Value())
	e.Version = ident.Version(unique.Make(string(e.Version)).Value())
	cold := e.Cold
	e.Cold = 0
	_, expired := t.expired[e.ID]
	delete(t.expired, e.ID)
	if e.Draining {
		t.recordDrain(e.ID, now).confirmed = true
	}
	// A draining server returns to service only by a restart, under a new ID, so an
	// entry that shows it as ready is outdated.
	e.Draining = t.drains[e.ID] != nil
	old := t.server(e.ID)
	if old != nil && e.Version == "" {
		e.Version = old.Version // VMs of earlier software do not send it
	}
	if old != nil && old.Entry == e {
		return t.recordCold(old, cold, now) || expired
	}
	s := &Server{Entry: e, retirement: &retirement{}}
	if old != nil {
		s.retirement, s.coldUntil = old.retirement, old.coldUntil
	}
	if s.Draining {
		s.retirement.fire()
	}
	t.servers.Set(s)
	t.countVersion(s.Service, s.Version, 1)
	if old != nil {
		t.countVersion(old.Service, old.Version, -1)
	}
	if s.Draining && old != nil && !old.Draining {
		t.recordVersionDrain(s.Entry)
	}
	t.recordCold(s, cold, now)
	return true
}

// supersede drops the earlier instance under the server's name, if there is one. It
// reports false if a later instance is known, which means that id is outdated.
func (t *Table) supersede(id ident.Server) bool {
	known, ok := t.servers.FindName(id.Name())
	if !ok || known == id {
		return true
	}
	if id.StartTime().Before(known.StartTime()) {
		return false
	}
	t.drop(known)
	return true
}

// Remove applies the removal of the entry under a name. If now is before until, a
// store outage may have caused the removal, and the server stays usable until then.
// It reports whether a server was known by that name. RetiredToAnnounce does not
// return the server: announcements have no revision, so one could override a later
// entry at other VMs.
func (t *Table) Remove(name string, until time.Time, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok := t.servers.FindName(name)
	if !ok {
		return false
	}
	if now.Before(until) {
		t.expired[id] = until
		return true
	}
	t.drop(id)
	t.publish()
	return true
}

// ApplyRetired drops servers that another VM reports as retired, and returns those that
// were in use here. If forward is set, they are announced to other VMs as if this VM had
// seen them retire.
func (t *Table) ApplyRetired(ids []ident.Server, forward bool) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dropped []ident.Server
	for _, id := range ids {
		s := t.server(id)
		if s == nil || s.Draining {
			continue
		}
		t.drop(id)
		dropped = append(dropped, id)
		if forward {
			t.announce(id)
		}
	}
	if dropped != nil {
		t.publish()
	}
	return dropped
}

// MarkReplaced drops a server at whose address another server responds. It reports
// whether the server was in use here.
func (t *Table) MarkReplaced(id ident.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.server(id); s == nil || s.Draining {
		return false
	}
	t.recordDrain(id, time.Now()).confirmed = true
	t.drop(id)
	t.announce(id)
	t.publish()
	return true
}

// RetiredToAnnounce returns the servers that this VM announces as retired: those that it
// has recently seen retire or, as a hub, learned of from other VMs.
func (t *Table) RetiredToAnnounce(now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for id, at := range t.retired {
		if now.Sub(at) > retireAnnounceTime {
			delete(t.retired, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

func (t *Table) announce(id ident.Server) {
	t.retired[id] = time.Now()
	t.onRetire()
}

// Replace applies the complete list of entries. Servers that are missing from it
// are removed as by Remove. It returns the entries that changed and the servers
// that were missing.
func (t *Table) Replace(list []Entry, until time.Time, now time.Time) (changed []Entry, missing []ident.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]struct{}, len(list))
	for _, e := range list {
		seen[e.ID.Name()] = struct{}{}
		if t.put(e) {
			changed = append(changed, e)
		}
	}
	t.servers.Scan(func(s *Server) bool {
		if _, ok := seen[s.ID.Name()]; !ok {
			missing = append(missing, s.ID)
		}
		return true
	})
	for _, id := range missing {
		if now.Before(until) {
			t.expired[id] = until
			continue
		}
		t.drop(id)
	}
	if t.coverage.since.IsZero() {
		t.coverage.since = now
	}
	t.publish()
	return changed, missing
}

// Expire drops the servers whose entries expired in a store outage and were not
// written again in time, and returns them.
func (t *Table) Expire(now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []ident.Server
	for id, until := range t.expired {
		if now.Before(until) {
			continue
		}
		t.drop(id)
		gone = append(gone, id)
	}
	if gone != nil {
		t.publish()
	}
	return gone
}

// RemainingGrace returns the servers whose entries expired in a store outage, each
// with the time for which it stays usable.
func (t *Table) RemainingGrace(now time.Time) map[ident.Server]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[ident.Server]time.Duration, len(t.expired))
	for id, until := range t.expired {
		out[id] = max(until.Sub(now), 1)
	}
	return out
}

func (t *Table) drop(id ident.Server) {
	delete(t.expired, id)
	if d := t.drains[id]; d != nil {
		d.confirmed = true
	}
	s := t.server(id)
	if s == nil {
		return
	}
	t.servers.Delete(id)
	t.countVersion(s.Service, s.Version, -1)
	s.retirement.fire()
}

// server returns a known server, or nil.
func (t *Table) server(id ident.Server) *Server {
	s, _ := t.servers.Get(id)
	return s
}

// Batch calls f and then makes all changes of the table in the meantime visible in one view,
// which copies what they have in common only once.
func (t *Table) Batch(f func()) {
	t.mu.Lock()
	t.batches++
	t.mu.Unlock()
	f()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.batches--
	if t.batches == 0 && t.unpublished {
		t.publish()
	}
}

// publish makes the servers the current view, or leaves that to the end of a Batch.
func (t *Table) publish() {
	t.unpublished = t.batches > 0
	if t.unpublished {
		return
	}
	v := &View{evacuatedSince: t.evacuatedSince, returnedAt: t.returnedAt, versions: t.versions, completeSince: t.coverage.since, forgotten: t.forgotten}
	v.servers = t.servers.Snapshot(func(d ident.FailureDomain) bool { return !v.IsEvacuated(d) })
	t.view.Store(v)
	t.announceVersions()
}
