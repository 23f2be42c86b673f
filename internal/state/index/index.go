package index

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tidwall/btree"

	"umberladder/internal/core/ident"
)

// Item is a server in an index. It is immutable.
type Item interface {
	// Key returns the server's ID.
	Key() ident.Server
	// Place returns the server's service, and its group in it. It returns false if the server
	// is only found by its ID.
	Place() (ident.Service, Group, bool)
}

// Group identifies the servers of a service that are in one failure domain and run one version
// of the software.
type Group struct {
	Domain  ident.FailureDomain
	Version ident.Version
}

func compareGroups(a, b Group) int {
	return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Version, b.Version))
}

// Index is a set of servers. It is not safe for concurrent use; its snapshots are.
type Index[V Item] struct {
	all      btree.Map[ident.Server, V]
	services map[ident.Service]groups[V] // none is empty
	// changed are the services that differ from the last snapshot.
	changed map[ident.Service]struct{}
	last    *Snapshot[V]
}

// groups are the servers of one service.
type groups[V Item] map[Group]*group[V]

type group[V Item] struct {
	servers btree.Map[ident.Server, V]
	copied  *btree.Map[ident.Server, V] // of the last snapshot; nil: servers has changed since
}

// New returns an empty index.
func New[V Item]() *Index[V] {
	return &Index[V]{
		services: make(map[ident.Service]groups[V]),
		changed:  make(map[ident.Service]struct{}),
		last:     &Snapshot[V]{all: &btree.Map[ident.Server, V]{}, services: make(map[ident.Service]*service[V])},
	}
}

// Get returns the server with an ID.
func (x *Index[V]) Get(id ident.Server) (V, bool) { return x.all.Get(id) }

// FindName returns the ID of a server with a name, the first in order if there are several.
func (x *Index[V]) FindName(name string) (id ident.Server, ok bool) {
	if _, ok = x.all.Get(ident.Server(name)); ok {
		return ident.Server(name), true
	}
	x.all.Ascend(ident.FirstInstance(name), func(first ident.Server, _ V) bool {
		id, ok = first, first.Name() == name
		return false
	})
	return id, ok
}

// Scan calls f for each server in the order of their IDs until it returns false. f must not
// change the index.
func (x *Index[V]) Scan(f func(V) bool) {
	x.all.Scan(func(_ ident.Server, v V) bool { return f(v) })
}

// Set adds a server, or replaces the one with its ID.
func (x *Index[V]) Set(v V) {
	if old, ok := x.all.Set(v.Key(), v); ok {
		x.displace(old)
	}
	name, at, ok := v.Place()
	if !ok {
		return
	}
	list := x.services[name]
	if list == nil {
		list = make(groups[V])
		x.services[name] = list
	}
	d := list[at]
	if d == nil {
		d = &group[V]{}
		list[at] = d
	}
	d.servers.Set(v.Key(), v)
	d.copied = nil
	x.changed[name] = struct{}{}
}

// Delete removes a server.
func (x *Index[V]) Delete(id ident.Server) {
	if old, ok := x.all.Delete(id); ok {
		x.displace(old)
	}
}

// displace removes a server from those of its service.
func (x *Index[V]) displace(v V) {
	name, at, ok := v.Place()
	if !ok {
		return
	}
	list := x.services[name]
	d := list[at]
	d.servers.Delete(v.Key())
	d.copied = nil
	x.changed[name] = struct{}{}
	if d.servers.Len() == 0 {
		delete(list, at)
	}
	if len(list) == 0 {
		delete(x.services, name)
	}
}

// Refresh makes the next snapshot ask again which failure domains are in use.
func (x *Index[V]) Refresh() {
	for name := range x.services {
		x.changed[name] = struct{}{}
	}
}

// Snapshot returns the current servers. inUse reports whether the servers of a failure
// domain are among those of their services; its results must not change without Refresh.
func (x *Index[V]) Snapshot(inUse func(ident.FailureDomain) bool) *Snapshot[V] {
	s := &Snapshot[V]{all: x.all.Copy(), services: x.last.services}
	if len(x.changed) > 0 {
		s.services = maps.Clone(s.services)
	}
	for name := range x.changed {
		delete(s.services, name)
		if list := x.services[name]; list != nil {
			s.services[name] = list.snapshot(inUse)
		}
	}
	clear(x.changed)
	x.last = s
	return s
}

func (list groups[V]) snapshot(inUse func(ident.FailureDomain) bool) *service[V] {
	out := &service[V]{}
	for _, key := range slices.SortedFunc(maps.Keys(list), compareGroups) {
		d := list[key]
		if !inUse(key.Domain) {
			out.unused += d.servers.Len()
			continue
		}
		if d.copied == nil {
			d.copied = d.servers.Copy()
		}
		out.pools = append(out.pools, Pool[V]{Group: key, servers: d.copied})
	}
	return out
}
