package index

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed
)

type item struct {
	id      ident.Server
	service ident.Service
	group   Group
	listed  bool
}

func (i item) Key() ident.Server { return i.id }

func (i item) Place() (ident.Service, Group, bool) {
	return i.service, i.group, i.listed
}

// contents returns the servers of a service as a snapshot lists them, after it has checked
// that its lists agree.
func contents(t assert.TestingT, s *Snapshot[item], name ident.Service) []item {
	var out []item
	for _, p := range s.Pools(name) {
		assert.Assert(t, p.Len() > 0)
		for i := range p.Len() {
			assert.Equal(t, p.At(i).group, p.Group)
			out = append(out, p.At(i))
		}
	}
	assert.Assert(t, slices.Equal(out, s.List(name)))
	return out
}

// TestIndex compares an index and its snapshots with a map, over random changes. Snapshots
// must not change after they were taken.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, model := New[item](), make(map[ident.Server]item)
		unused := ident.FailureDomain("")
		inUse := func(d ident.FailureDomain) bool { return d != unused }
		type taken struct {
			s    *Snapshot[item]
			want map[ident.Server]item
			not  ident.FailureDomain
		}
		var snapshots []taken
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := ident.Server(fmt.Sprintf("s%d@1", rapid.IntRange(0, 20).Draw(t, "id")))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				x.Delete(id)
				delete(model, id)
			case 1:
				unused = ident.FailureDomain(rapid.SampledFrom([]string{"", "d0", "d1"}).Draw(t, "unused"))
				x.Refresh()
			default:
				v := item{
					id: id, service: ident.Service(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")),
					group: Group{
						Domain:  ident.FailureDomain(rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "domain")),
						Version: ident.Version(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")),
					},
					listed: rapid.Bool().Draw(t, "listed"),
				}
				x.Set(v)
				model[id] = v
			}
			snapshots = append(snapshots, taken{x.Snapshot(inUse), maps.Clone(model), unused})
		}
		for _, s := range snapshots {
			assert.Equal(t, s.s.Len(), len(s.want))
			for id, v := range s.want {
				got, ok := s.s.Get(id)
				assert.Assert(t, ok && got == v)
			}
			for _, name := range []ident.Service{"a", "b"} {
				listed, unused := 0, 0
				for _, v := range s.want {
					switch {
					case v.service != name || !v.listed:
					case v.group.Domain == s.not:
						unused++
					default:
						listed++
					}
				}
				assert.Equal(t, len(contents(t, s.s, name)), listed)
				assert.Equal(t, s.s.Unused(name), unused)
			}
		}
	})
}

func TestFindName(t *testing.T) {
	x := New[item]()
	for _, id := range []ident.Server{"a-b@1", "a@2", "b", "c@3"} {
		x.Set(item{id: id})
	}
	for name, want := range map[string]ident.Server{"a": "a@2", "b": "b", "c": "c@3", "a-b": "a-b@1"} {
		id, ok := x.FindName(name)
		assert.Assert(t, ok)
		assert.Equal(t, id, want)
	}
	for _, name := range []string{"", "d", "a@"} {
		_, ok := x.FindName(name)
		assert.Assert(t, !ok, name)
	}
}
