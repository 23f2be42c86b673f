package routes

import (
	"slices"
	"strings"

	"umberladder/internal/core/ident"
)

// Snapshot is one version of the settings.
type Snapshot struct {
	Version      uint64
	Limits       Limits
	Source       *Document // the document that it was read from
	Unread       []string  // paths of members of the document that have no effect
	services     map[ident.Service]*Service
	hosts        map[string][]*Route // longest prefix first
	keys         map[string]*Workspace
	keysRequired bool
	regionBound  bool // a route or a workspace is bound to regions
}

// Parts are the contents of a new snapshot.
type Parts struct {
	Version    uint64
	Limits     Limits
	Source     *Document
	Unread     []string
	Routes     []*Route
	Services   []*Service
	Workspaces []*Workspace
}

// New returns a snapshot with the given contents, which must not be changed afterwards.
func New(p Parts) *Snapshot {
	s := &Snapshot{
		Version:      p.Version,
		Limits:       p.Limits,
		Source:       p.Source,
		Unread:       p.Unread,
		services:     make(map[ident.Service]*Service, len(p.Services)),
		hosts:        make(map[string][]*Route),
		keys:         make(map[string]*Workspace),
		keysRequired: len(p.Workspaces) > 0,
	}
	for _, v := range p.Services {
		s.services[v.Name] = v
	}
	for _, r := range p.Routes {
		s.regionBound = s.regionBound || len(r.Regions) > 0
		host := strings.ToLower(r.Host)
		s.hosts[host] = append(s.hosts[host], r)
	}
	for _, list := range s.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, w := range p.Workspaces {
		s.regionBound = s.regionBound || len(w.Regions) > 0
		for _, k := range w.Keys {
			s.keys[k] = w
		}
	}
	return s
}

// Find returns the route with the longest prefix of path among those of the
// host, or nil. The host may have a port.
func (s *Snapshot) Find(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name ident.Service) *Service { return s.services[name] }

// EngineServices returns the names of the services whose servers are engines.
func (s *Snapshot) EngineServices() []ident.Service {
	var out []ident.Service
	for name, v := range s.services {
		if v.Engine != nil {
			out = append(out, name)
		}
	}
	return out
}

// RequiresKey reports whether calls of the route need an API key.
func (s *Snapshot) RequiresKey(r *Route) bool { return s.keysRequired && !r.Public }

// HasWorkspaces reports whether there are workspaces.
func (s *Snapshot) HasWorkspaces() bool { return s.keysRequired }

// IsRegionBound reports whether any route or workspace is bound to regions.
func (s *Snapshot) IsRegionBound() bool { return s.regionBound }

// WorkspaceByKey returns the workspace that an API key belongs to, or nil.
func (s *Snapshot) WorkspaceByKey(key string) *Workspace { return s.keys[key] }

// PickService returns a service chosen by the weights of the route's shares. draw is a
// random number in [0, 1).
func (r *Route) PickService(draw float64) ident.Service {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	rest := int(draw * float64(total))
	for _, s := range r.Shares {
		if rest -= max(s.Weight, 0); rest < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}
