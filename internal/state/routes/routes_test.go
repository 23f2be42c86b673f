package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed
)

func TestFind(t *testing.T) {
	s := New(Parts{Version: 1, Routes: []*Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
	}})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/z", "mid"},
		{"a.example", "/x", "root"},
		{"a.example", "/xx/y/", "root"},
		{"b.example", "/x/y/", ""},
	} {
		got := ""
		if r := s.Find(tc.host, tc.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, tc.want, "%s%s", tc.host, tc.path)
	}
}

func TestPick(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	for draw, want := range map[float64]ident.Service{0: "a", 0.899: "a", 0.9: "b", 0.9999: "b"} {
		assert.Equal(t, r.Pick(draw), want, "draw %g", draw)
	}
	assert.Equal(t, (&Route{}).Pick(0.5), ident.Service(""))
}

func TestKeys(t *testing.T) {
	open := New(Parts{Version: 1})
	assert.Assert(t, !open.Keyed(&Route{}), "no workspaces: no keys")
	s := New(Parts{Version: 1, Workspaces: []*Workspace{{Name: "w", Keys: []string{"k"}}}})
	assert.Assert(t, s.Keyed(&Route{}))
	assert.Assert(t, !s.Keyed(&Route{Public: true}))
	assert.Equal(t, s.Holder("k").Name, ident.Workspace("w"))
	assert.Assert(t, s.Holder("") == nil)
}

// TestBook offers versions in any order: neither the version in force nor the
// moment at which it was the newest goes back.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(awake.Now)
		var version uint64
		var fresh awake.Instant
		for range 20 {
			v := rapid.Uint64Range(1, 9).Draw(t, "version")
			at := awake.Instant(rapid.Int64Range(1, 99).Draw(t, "at"))
			changed := b.Put(New(Parts{Version: v}), at)
			assert.Equal(t, changed, v > version)
			if v >= version {
				fresh = max(fresh, at)
			}
			version = max(version, v)
			assert.Equal(t, b.Load().Version, version)
			assert.Equal(t, b.Fresh(), fresh)
		}
	})
}

// TestBehind follows a book that hears of versions it does not have.
func TestBehind(t *testing.T) {
	now := awake.Instant(time.Second)
	b := NewBook(func() awake.Instant { return now })
	put := func(version uint64) { b.Put(New(Parts{Version: version}), now) }
	expect := func(version uint64, behind time.Duration) {
		t.Helper()
		assert.Equal(t, b.Known(), version)
		assert.Equal(t, b.Behind(), behind)
	}
	pass := func() { now = now.Add(time.Second) }
	put(3)
	expect(3, 0)
	pass()
	b.Hear(3, now)
	expect(3, 0)
	b.Hear(5, now)
	pass()
	b.Hear(5, now)
	b.Hear(8, now)
	pass()
	expect(8, 2*time.Second)
	b.Put(New(Parts{Version: 5}), 0)
	expect(8, time.Second)
	put(8)
	expect(8, 0)
	pass()
	b.Hear(1<<60, now)
	pass()
	expect(1<<60, time.Second)
	b.Confirm(now)
	expect(8, 0)
}
