package routes

import (
	"maps"
	"slices"
	"strings"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
)

// Past is what earlier settings allowed for the streams of a route's paths that may still be under
// way.
type Past struct {
	Lifetime time.Duration // the longest StreamLifetime; zero: there was no longer one
	Moved    bool          // calls were sent to other services
}

// pastKey identifies a route by the paths that it serves, as its name may change.
type pastKey struct{ host, prefix string }

// pastRoute is a Past that ended at a time.
type pastRoute struct {
	Past
	until uptime.Instant
}

// isOver reports whether no stream can be taken up any more that began before p ended.
func (p pastRoute) isOver(now uptime.Instant) bool {
	return now.Sub(p.until) >= p.Lifetime
}

func keyOf(r *Route) pastKey { return pastKey{host: strings.ToLower(r.Host), prefix: r.Prefix} }

// Past returns what earlier settings allowed for the streams of a route's paths.
func (c *Current) Past(r *Route) Past {
	list := c.past.Load()
	if list == nil {
		return Past{}
	}
	if p, ok := (*list)[keyOf(r)]; ok && !p.isOver(c.clock()) {
		return p.Past
	}
	return Past{}
}

// PathPast is the Past of a route's paths, as sent to other VMs.
type PathPast struct {
	Host, Prefix string
	Past
	Ago time.Duration // since other settings replaced it
}

// Pasts returns what earlier settings allowed for streams that may still be under way, for VMs that
// have started since.
func (c *Current) Pasts() []PathPast {
	now := c.clock()
	var out []PathPast
	for key, p := range c.pastsAt(now) {
		out = append(out, PathPast{Host: key.host, Prefix: key.prefix, Past: p.Past, Ago: max(now.Sub(p.until), 0)})
	}
	return out
}

// pastsAt returns what earlier settings allowed that is not over at a time.
func (c *Current) pastsAt(now uptime.Instant) map[pastKey]pastRoute {
	out := make(map[pastKey]pastRoute)
	if list := c.past.Load(); list != nil {
		maps.Copy(out, *list)
	}
	maps.DeleteFunc(out, func(_ pastKey, p pastRoute) bool { return p.isOver(now) })
	return out
}

// AddPasts adds what another VM knows of earlier settings.
func (c *Current) AddPasts(list []PathPast) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := pastMerger{now: c.clock()}
	m.next = c.pastsAt(m.now)
	for _, p := range list {
		m.merge(pastKey{host: strings.ToLower(p.Host), prefix: p.Prefix}, pastRoute{Past: p.Past, until: m.now.Add(-p.Ago)})
	}
	c.past.Store(&m.next)
}

// Moved returns a channel that receives a value when settings come into force that send the calls of
// a route's paths to other services than before.
func (c *Current) Moved() <-chan struct{} { return c.moved }

func (c *Current) announceMoved() {
	select {
	case c.moved <- struct{}{}:
	default:
	}
}

// recordPast records what the settings old, which s replaces, allowed for streams. It reports whether
// a route has moved to other services.
func (c *Current) recordPast(old, s *Snapshot) bool {
	m := pastMerger{now: c.clock()}
	m.known, m.next = c.pastsAt(m.now), c.pastsAt(m.now)
	before, after := old.byPaths(), s.byPaths()
	for key, r := range after {
		b := before[key]
		if b == nil {
			b = old.Find(r.Host, r.Prefix)
		}
		m.add(b, r)
	}
	for key, r := range before {
		if after[key] == nil {
			m.add(r, s.Find(r.Host, r.Prefix))
		}
	}
	c.past.Store(&m.next)
	return m.moved
}

// pastMerger collects what earlier settings allowed for the routes of new ones.
type pastMerger struct {
	now         uptime.Instant
	known, next map[pastKey]pastRoute
	moved       bool
}

// add records that a route served paths before that r serves now. Either may be nil.
func (m *pastMerger) add(before, r *Route) {
	if before == nil || r == nil || !before.Resumable || !r.Resumable {
		return
	}
	if earlier, ok := m.known[keyOf(before)]; ok {
		m.merge(keyOf(r), earlier)
	}
	moved := !slices.Equal(services(before), services(r))
	m.moved = m.moved || moved
	lifetime := before.StreamLifetime(before.Timeout)
	if moved || lifetime > r.StreamLifetime(r.Timeout) {
		m.merge(keyOf(r), pastRoute{Past: Past{Lifetime: lifetime, Moved: moved}, until: m.now})
	}
}

func (m *pastMerger) merge(key pastKey, p pastRoute) {
	o := m.next[key]
	m.next[key] = pastRoute{
		Past:  Past{Lifetime: max(p.Lifetime, o.Lifetime), Moved: p.Moved || o.Moved},
		until: max(p.until, o.until),
	}
}

// byPaths returns the resumable routes.
func (s *Snapshot) byPaths() map[pastKey]*Route {
	out := make(map[pastKey]*Route)
	for _, list := range s.hosts {
		for _, r := range list {
			if r.Resumable {
				out[keyOf(r)] = r
			}
		}
	}
	return out
}

// services returns the names of the services of a route, in order.
func services(r *Route) []ident.Service {
	out := make([]ident.Service, 0, len(r.Shares))
	for _, s := range r.Shares {
		if s.Weight > 0 {
			out = append(out, s.Service)
		}
	}
	slices.Sort(out)
	return out
}
