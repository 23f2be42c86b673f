package srvtab

import (
	"slices"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/index"
)

// View is an immutable snapshot of the known servers.
type View struct {
	servers        *index.Snapshot[*Server]
	evacuatedSince map[ident.FailureDomain]time.Time // when this VM learned of each evacuation
	returnedAt     map[ident.FailureDomain]time.Time // when this VM learned of the end of each evacuation
	versions       map[ident.Service][]versionSpan
	completeSince  time.Time                   // since when the versions of all servers are known; zero: they are not
	forgotten      map[ident.Service]time.Time // versions that were gone before then are not remembered
}

// Pool is the servers of a service that accept new work, in one failure domain and of one version.
type Pool = index.Pool[*Server]

// PoolsOf returns the servers of a service that accept new work by failure domain and version,
// in the order of these names. The caller must not modify the list.
func (v *View) PoolsOf(name ident.Service) []Pool { return v.servers.Pools(name) }

// ServersOf returns the servers of a service that accept new work. The caller must not
// modify the list.
func (v *View) ServersOf(name ident.Service) []*Server { return v.servers.List(name) }

// AcceptsVersion reports whether a server of a service that runs a version of the software
// accepts new work.
func (v *View) AcceptsVersion(name ident.Service, version ident.Version) bool {
	return slices.ContainsFunc(v.PoolsOf(name), func(p Pool) bool { return p.Version == version })
}

// Server returns a known server, which may be draining or evacuated, or nil.
func (v *View) Server(id ident.Server) *Server {
	s, _ := v.servers.Get(id)
	return s
}

// All returns the entries of all known servers, in the order of their IDs.
func (v *View) All() []Entry {
	now := time.Now()
	out := make([]Entry, 0, v.servers.Len())
	v.servers.Scan(func(s *Server) bool {
		e := s.Entry
		e.Cold = max(s.coldUntil.Sub(now), 0)
		out = append(out, e)
		return true
	})
	return out
}

// Len returns the number of known servers.
func (v *View) Len() int { return v.servers.Len() }
