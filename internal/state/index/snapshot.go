package index

import (
	"sync/atomic"

	"github.com/tidwall/btree"

	"umberladder/internal/core/ident"
)

// Snapshot is an immutable state of an index.
type Snapshot[V Item] struct {
	all      *btree.Map[ident.Server, V]
	services map[ident.Service]*service[V]
}

// service is the servers of one service.
type service[V Item] struct {
	pools  []Pool[V]
	unused int // number of servers in failure domains that are not in use
	list   atomic.Pointer[[]V]
}

// Pool is the servers of one group of a service.
type Pool[V Item] struct {
	Group
	servers *btree.Map[ident.Server, V]
}

// Len returns the number of servers, which is at least 1.
func (p *Pool[V]) Len() int { return p.servers.Len() }

// At returns the server with an index from 0 to Len()-1, in the order of their IDs.
func (p *Pool[V]) At(i int) V {
	_, v, _ := p.servers.GetAt(i)
	return v
}

// Get returns the server with an ID.
func (s *Snapshot[V]) Get(id ident.Server) (V, bool) { return s.all.Get(id) }

// Len returns the number of servers.
func (s *Snapshot[V]) Len() int { return s.all.Len() }

// Scan calls f for each server in the order of their IDs until it returns false.
func (s *Snapshot[V]) Scan(f func(V) bool) {
	s.all.Scan(func(_ ident.Server, v V) bool { return f(v) })
}

// Pools returns the servers of a service in failure domains that are in use, in the order of
// the domains and then of the versions' names. The caller must not modify the list.
func (s *Snapshot[V]) Pools(name ident.Service) []Pool[V] {
	if svc := s.services[name]; svc != nil {
		return svc.pools
	}
	return nil
}

// List returns the servers of Pools in one list, which is created at the first call. The
// caller must not modify it.
func (s *Snapshot[V]) List(name ident.Service) []V {
	svc := s.services[name]
	if svc == nil {
		return nil
	}
	if list := svc.list.Load(); list != nil {
		return *list
	}
	var list []V
	for _, p := range svc.pools {
		list = append(list, p.servers.Values()...)
	}
	svc.list.Store(&list)
	return list
}

// Unused returns the number of a service's servers in failure domains that are not in use.
func (s *Snapshot[V]) Unused(name ident.Service) int {
	if svc := s.services[name]; svc != nil {
		return svc.unused
	}
	return 0
}
