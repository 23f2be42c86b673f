package srvtab

import (
	"sync/atomic"
	"time"

	"github.com/tidwall/btree"

	"umberladder/internal/core/ident"
)

// serverTree is an ordered set of servers. Its copies share nodes, so a view takes the
// memory of the nodes that differ from the previous view rather than that of all servers.
type serverTree = btree.Map[ident.Server, *Server]

// View is an immutable snapshot of the known servers.
type View struct {
	servers        *serverTree
	services       map[ident.Service]*service
	evacuatedSince map[ident.FailureDomain]time.Time // when this VM learned of each evacuation
	returnedAt     map[ident.FailureDomain]time.Time // when this VM learned of the end of each evacuation
}

// service is an immutable snapshot of a service's servers that are not draining.
type service struct {
	pools     []Pool // those that accept new work
	evacuated int    // number of servers in evacuated failure domains
	list      atomic.Pointer[[]*Server]
}

// Pool is the servers of a service in one failure domain that accept new work.
type Pool struct {
	Domain  ident.FailureDomain
	servers *serverTree
}

// Len returns the number of servers, which is at least 1.
func (p *Pool) Len() int { return p.servers.Len() }

// At returns the server with an index from 0 to Len()-1, in the order of their IDs.
func (p *Pool) At(i int) *Server {
	_, s, _ := p.servers.GetAt(i)
	return s
}

// PoolsOf returns the servers of a service that accept new work by failure domain, in the
// order of the domains. The caller must not modify the list.
func (v *View) PoolsOf(name ident.Service) []Pool {
	if svc := v.services[name]; svc != nil {
		return svc.pools
	}
	return nil
}

// ServersOf returns the servers of a service that accept new work. The list is created at
// the first call for a view. The caller must not modify it.
func (v *View) ServersOf(name ident.Service) []*Server {
	svc := v.services[name]
	if svc == nil {
		return nil
	}
	if list := svc.list.Load(); list != nil {
		return *list
	}
	var list []*Server
	for _, p := range svc.pools {
		p.servers.Scan(func(_ ident.Server, s *Server) bool {
			list = append(list, s)
			return true
		})
	}
	svc.list.Store(&list)
	return list
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
	v.servers.Scan(func(_ ident.Server, s *Server) bool {
		e := s.Entry
		e.Cold = max(s.coldUntil.Sub(now), 0)
		out = append(out, e)
		return true
	})
	return out
}

// Len returns the number of known servers.
func (v *View) Len() int { return v.servers.Len() }
