package backs

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/ident"
)

// ReturnTime is how long a live server may need to write its entry again after
// an outage of the store in which it lapsed; the platform states 2 s.
const ReturnTime = 2 * time.Second

// Entry is what a server says of itself.
type Entry struct {
	ID      ident.Server
	Service ident.Service
	Addr    netip.AddrPort
	Domain  ident.Domain
	Slots   int
	Leaving bool
}

// Server is one start of a backend server. Its fields never change; a changed
// entry makes a new Server that shares the channel.
type Server struct {
	Entry
	leave chan struct{}
}

// Leave returns a channel that is closed once the server takes no new work.
func (s *Server) Leave() <-chan struct{} { return s.leave }

// Left reports whether the server takes no new work.
func (s *Server) Left() bool {
	select {
	case <-s.leave:
		return true
	default:
		return false
	}
}

// View is the set of servers at a moment. It never changes.
type View struct {
	servers  map[ident.Server]*Server
	services map[ident.Service][]*Server
}

// Service returns the servers of a service that take new work.
func (v *View) Service(name ident.Service) []*Server { return v.services[name] }

// Server returns a server that is known, or nil; it may be leaving.
func (v *View) Server(id ident.Server) *Server { return v.servers[id] }

// All returns the entries of all servers that are known.
func (v *View) All() []Entry {
	out := make([]Entry, 0, len(v.servers))
	for _, s := range v.servers {
		out = append(out, s.Entry)
	}
	return out
}

// Len returns how many servers are known.
func (v *View) Len() int { return len(v.servers) }

// newsTime is how long a server that leaves is announced to other VMs: three of
// their messages may be lost.
const newsTime = 1500 * time.Millisecond

// Table follows the servers' entries. Reads take no lock.
type Table struct {
	onLeave func()

	mu     sync.Mutex
	all    map[ident.Server]*Server
	names  map[string]ident.Server    // the latest start of each name
	lapsed map[ident.Server]time.Time // entries that lapsed in an outage: when they count as gone
	news   map[ident.Server]time.Time // servers seen to leave, and when
	drains map[ident.Server]*drain    // starts that have begun to drain, whatever entries say
	view   atomic.Pointer[View]
}

// NewTable makes an empty table. It calls onLeave once a server is seen to leave.
func NewTable(onLeave func()) *Table {
	t := &Table{
		onLeave: onLeave,
		all:     make(map[ident.Server]*Server),
		names:   make(map[string]ident.Server),
		lapsed:  make(map[ident.Server]time.Time),
		news:    make(map[ident.Server]time.Time),
		drains:  make(map[ident.Server]*drain),
	}
	t.publish()
	return t
}

// View returns the servers known now.
func (t *Table) View() *View { return t.view.Load() }

// Put takes a server's entry. It reports whether what is known of the server
// changed, or its entry had lapsed.
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
	if !t.succeeds(e.ID) {
		return false
	}
	_, lapsed := t.lapsed[e.ID]
	delete(t.lapsed, e.ID)
	if e.Leaving {
		t.drained(e.ID, time.Now()).confirmed = true
	}
	// A start that drains does not change its mind: an entry that says so is older.
	e.Leaving = t.drains[e.ID] != nil
	old := t.all[e.ID]
	if old != nil && old.Entry == e {
		return lapsed
	}
	s := &Server{Entry: e, leave: make(chan struct{})}
	if old != nil {
		s.leave = old.leave
	}
	if s.Leaving && (old == nil || !old.Leaving) {
		close(s.leave)
		t.announce(e.ID)
	}
	t.all[e.ID] = s
	t.names[e.ID.Name()] = e.ID
	return true
}

// succeeds ends the earlier start of the server's name, if there is one. It
// reports false if a later one is known: what is told of id comes late.
func (t *Table) succeeds(id ident.Server) bool {
	known, ok := t.names[id.Name()]
	if !ok || known == id {
		return true
	}
	if id.Born().Before(known.Born()) {
		return false
	}
	t.end(known)
	return true
}

// Remove takes the end of the entry of a name. Within an outage of the store, or
// until ReturnTime after it, the server stays usable until then. It reports
// whether a server was known by that name. The server is not announced by Leaving:
// announcements have no revision, so one could undo a later entry at other VMs.
func (t *Table) Remove(name string, until time.Time, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok := t.names[name]
	if !ok {
		return false
	}
	if now.Before(until) {
		t.lapsed[id] = until
		return true
	}
	t.drop(id)
	t.publish()
	return true
}

// Receive takes servers that another VM reports as leaving, and returns those of which
// that is news. With pass they are announced to others as if this VM had seen it itself.
func (t *Table) Receive(ids []ident.Server, pass bool) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []ident.Server
	for _, id := range ids {
		s := t.all[id]
		if s == nil || s.Leaving {
			continue
		}
		t.drop(id)
		left = append(left, id)
		if pass {
			t.announce(id)
		}
	}
	if left != nil {
		t.publish()
	}
	return left
}

// Left notes that a server is gone: another one answers at its address. It reports
// whether that is news.
func (t *Table) Left(id ident.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.all[id]; s == nil || s.Leaving {
		return false
	}
	t.drained(id, time.Now()).confirmed = true
	t.end(id)
	t.publish()
	return true
}

// Leaving returns the servers that this VM itself saw to leave lately.
func (t *Table) Leaving(now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Server
	for id, at := range t.news {
		if now.Sub(at) > newsTime {
			delete(t.news, id)
			continue
		}
		out = append(out, id)
	}
	return out
}

// end ends a server that this VM itself saw to leave.
func (t *Table) end(id ident.Server) {
	t.drop(id)
	t.announce(id)
}

func (t *Table) announce(id ident.Server) {
	t.news[id] = time.Now()
	t.onLeave()
}

// Replace takes the whole list of entries. Servers that are missing from it
// are removed as by Remove. It returns the entries that changed, and the servers
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
	for id := range t.all {
		if _, ok := seen[id.Name()]; ok {
			continue
		}
		missing = append(missing, id)
		if now.Before(until) {
			t.lapsed[id] = until
			continue
		}
		t.drop(id)
	}
	t.publish()
	return changed, missing
}

// Expire drops the servers whose entries lapsed in an outage and did not come
// back in time, and returns them.
func (t *Table) Expire(now time.Time) []ident.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []ident.Server
	for id, until := range t.lapsed {
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

// Lapses returns the servers whose entries lapsed in an outage, and how long
// they still count.
func (t *Table) Lapses(now time.Time) map[ident.Server]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[ident.Server]time.Duration, len(t.lapsed))
	for id, until := range t.lapsed {
		out[id] = max(until.Sub(now), 1)
	}
	return out
}

func (t *Table) drop(id ident.Server) {
	delete(t.lapsed, id)
	if d := t.drains[id]; d != nil {
		d.confirmed = true
	}
	s := t.all[id]
	delete(t.all, id)
	delete(t.names, id.Name())
	if s != nil && !s.Leaving {
		close(s.leave)
	}
}

func (t *Table) publish() {
	v := &View{servers: maps.Clone(t.all), services: make(map[ident.Service][]*Server)}
	for _, s := range t.all {
		if !s.Leaving {
			v.services[s.Service] = append(v.services[s.Service], s)
		}
	}
	t.view.Store(v)
}
