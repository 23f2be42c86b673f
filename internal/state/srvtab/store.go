package srvtab

import (
	"maps"
	"slices"

	"umberladder/internal/core/ident"
)

// domainPools are the servers of one service that are not draining, by failure domain.
type domainPools map[ident.FailureDomain]*domainPool

// domainPool is the servers of a service in one failure domain that are not draining.
type domainPool struct {
	servers   serverTree
	published *serverTree // the copy in the current view; nil: servers has changed since
}

// server returns a known server, or nil.
func (t *Table) server(id ident.Server) *Server {
	s, _ := t.servers.Get(id)
	return s
}

// latest returns the known instance under a server's name.
func (t *Table) latest(name string) (ident.Server, bool) {
	id := ident.Server(name)
	if t.server(id) != nil {
		return id, true
	}
	found := false
	t.servers.Ascend(ident.FirstInstance(name), func(first ident.Server, _ *Server) bool {
		id, found = first, first.Name() == name
		return false
	})
	return id, found
}

// set adds a server, or replaces the one with its ID.
func (t *Table) set(s *Server) {
	if old := t.server(s.ID); old != nil {
		t.removeFromPool(old)
	}
	t.servers.Set(s.ID, s)
	if s.Draining {
		return
	}
	pools := t.pools[s.Service]
	if pools == nil {
		pools = make(domainPools)
		t.pools[s.Service] = pools
	}
	p := pools[s.Domain]
	if p == nil {
		p = &domainPool{}
		pools[s.Domain] = p
	}
	p.servers.Set(s.ID, s)
	p.published = nil
	t.changed[s.Service] = struct{}{}
}

// remove removes a server.
func (t *Table) remove(s *Server) {
	t.removeFromPool(s)
	t.servers.Delete(s.ID)
}

func (t *Table) removeFromPool(s *Server) {
	p := t.pools[s.Service][s.Domain]
	if p == nil {
		return
	}
	if _, ok := p.servers.Delete(s.ID); !ok {
		return
	}
	p.published = nil
	t.changed[s.Service] = struct{}{}
	if p.servers.Len() > 0 {
		return
	}
	delete(t.pools[s.Service], s.Domain)
	if len(t.pools[s.Service]) == 0 {
		delete(t.pools, s.Service)
	}
}

// publish makes the servers the current view.
func (t *Table) publish() {
	v := &View{servers: t.servers.Copy(), evacuatedSince: t.evacuatedSince, returnedAt: t.returnedAt}
	if old := t.view.Load(); old != nil {
		v.services = old.services
	}
	if len(t.changed) > 0 {
		v.services = maps.Clone(v.services)
	}
	if v.services == nil {
		v.services = make(map[ident.Service]*service)
	}
	for name := range t.changed {
		delete(v.services, name)
		if pools := t.pools[name]; pools != nil {
			v.services[name] = pools.snapshot(v)
		}
	}
	clear(t.changed)
	t.view.Store(v)
}

// snapshot returns the pools for a view.
func (pools domainPools) snapshot(v *View) *service {
	svc := &service{}
	for _, d := range slices.Sorted(maps.Keys(pools)) {
		p := pools[d]
		if v.IsEvacuated(d) {
			svc.evacuated += p.servers.Len()
			continue
		}
		if p.published == nil {
			p.published = p.servers.Copy()
		}
		svc.pools = append(svc.pools, Pool{Domain: d, servers: p.published})
	}
	return svc
}
