package srvtab

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/ident"
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
	Draining bool
	// Cold is how much longer the server is cold: it can't take its normal load yet. It is
	// set only while an entry is passed on; View.IsCold reports the state at a time.
	Cold time.Duration
}

// Server is one instance of a backend server; a restarted server has a new ID under the
// same name. A Server is immutable; a changed entry creates a new Server that shares
// the channel.
type Server struct {
	Entry
	retired chan struct{}
}

// Retired returns a channel that is closed once the server accepts no new work.
func (s *Server) Retired() <-chan struct{} { return s.retired }

// IsRetired reports whether the server accepts no new work.
func (s *Server) IsRetired() bool {
	select {
	case <-s.retired:
		return true
	default:
		return false
	}
}

// View is an immutable snapshot of the known servers.
type View struct {
	servers        map[ident.Server]*Server
	services       map[ident.Service][]*Server
	evacuatedSince map[ident.FailureDomain]time.Time // when this VM learned of each evacuation
	returnedAt     map[ident.FailureDomain]time.Time // when this VM learned of the end of each evacuation
	coldUntil      map[ident.Server]time.Time
}

// ServersOf returns the servers of a service that accept new work.
func (v *View) ServersOf(name ident.Service) []*Server { return v.services[name] }

// Server returns a known server, which may be draining or evacuated, or nil.
func (v *View) Server(id ident.Server) *Server { return v.servers[id] }

// All returns the entries of all known servers.
func (v *View) All() []Entry {
	now := time.Now()
	out := make([]Entry, 0, len(v.servers))
	for _, s := range v.servers {
		e := s.Entry
		e.Cold = max(v.coldUntil[e.ID].Sub(now), 0)
		out = append(out, e)
	}
	return out
}

// Len returns the number of known servers.
func (v *View) Len() int { return len(v.servers) }

// retireAnnounceTime is how long a retired server is announced to other VMs. It
// tolerates the loss of three messages.
const retireAnnounceTime = 1500 * time.Millisecond

// Table tracks the servers' entries. Reads take no lock.
type Table struct {
	onRetire func()

	mu      sync.Mutex
	servers map[ident.Server]*Server
	latest  map[string]ident.Server    // the latest instance under each name
	expired map[ident.Server]time.Time // entries that expired in a store outage, and when they count as gone
	retired map[ident.Server]time.Time // servers that this VM has seen retire, and when
	drains  map[ident.Server]*drain    // servers known to drain, even if their entries do not say so
	view    atomic.Pointer[View]

	evacuations    Evacuations
	evacuatedSince map[ident.FailureDomain]time.Time // replaced, never modified
	returnedAt     map[ident.FailureDomain]time.Time // replaced, never modified
	evacuationRev  atomic.Uint64                     // evacuations.Rev, for reads without the lock
	coldUntil      map[ident.Server]time.Time        // servers that are cold, and until when
}

// NewTable returns an empty table. It calls onRetire each time there is a retired
// or draining server to announce.
func NewTable(onRetire func()) *Table {
	t := &Table{
		onRetire: onRetire,
		servers:  make(map[ident.Server]*Server),
		latest:   make(map[string]ident.Server),
		expired:  make(map[ident.Server]time.Time),
		retired:  make(map[ident.Server]time.Time),
		drains:   make(map[ident.Server]*drain),

		coldUntil: make(map[ident.Server]time.Time),
	}
	t.publish()
	return t
}

// View returns the current view.
func (t *Table) View() *View { return t.view.Load() }

// Put applies a server's entry. It reports whether the entry differs from the known
// one or replaces an expired one.
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
	becameCold := t.recordCold(e.ID, e.Cold, time.Now())
	e.Cold = 0
	_, expired := t.expired[e.ID]
	delete(t.expired, e.ID)
	if e.Draining {
		t.recordDrain(e.ID, time.Now()).confirmed = true
	}
	// A draining server returns to service only by a restart, under a new ID, so an
	// entry that shows it as ready is outdated.
	e.Draining = t.drains[e.ID] != nil
	old := t.servers[e.ID]
	if old != nil && old.Entry == e {
		return expired || becameCold
	}
	s := &Server{Entry: e, retired: make(chan struct{})}
	if old != nil {
		s.retired = old.retired
	}
	if s.Draining && (old == nil || !old.Draining) {
		close(s.retired)
		t.announce(e.ID)
	}
	t.servers[e.ID] = s
	t.latest[e.ID.Name()] = e.ID
	return true
}

// supersede drops the earlier instance under the server's name, if there is one. It
// reports false if a later instance is known, which means that id is outdated.
func (t *Table) supersede(id ident.Server) bool {
	known, ok := t.latest[id.Name()]
	if !ok || known == id {
		return true
	}
	if id.StartTime().Before(known.StartTime()) {
		return false
	}
	t.dropAndAnnounce(known)
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
	id, ok := t.latest[name]
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
		s := t.servers[id]
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
	if s := t.servers[id]; s == nil || s.Draining {
		return false
	}
	t.recordDrain(id, time.Now()).confirmed = true
	t.dropAndAnnounce(id)
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

// dropAndAnnounce drops a server that this VM has seen retire.
func (t *Table) dropAndAnnounce(id ident.Server) {
	t.drop(id)
	t.announce(id)
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
	for id := range t.servers {
		if _, ok := seen[id.Name()]; ok {
			continue
		}
		missing = append(missing, id)
		if now.Before(until) {
			t.expired[id] = until
			continue
		}
		t.drop(id)
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
	delete(t.coldUntil, id)
	if d := t.drains[id]; d != nil {
		d.confirmed = true
	}
	s := t.servers[id]
	delete(t.servers, id)
	delete(t.latest, id.Name())
	if s != nil && !s.Draining {
		close(s.retired)
	}
}

func (t *Table) publish() {
	v := &View{servers: maps.Clone(t.servers), services: make(map[ident.Service][]*Server), evacuatedSince: t.evacuatedSince, returnedAt: t.returnedAt, coldUntil: maps.Clone(t.coldUntil)}
	for _, s := range t.servers {
		if !s.Draining && !v.IsEvacuated(s.Domain) {
			v.services[s.Service] = append(v.services[s.Service], s)
		}
	}
	t.view.Store(v)
}
