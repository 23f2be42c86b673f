package routes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	_ "umberladder/internal/test/check" // fixes the seed of rapid
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

func TestPickService(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	for draw, want := range map[float64]ident.Service{0: "a", 0.899: "a", 0.9: "b", 0.9999: "b"} {
		assert.Equal(t, r.PickService(draw), want, "draw %g", draw)
	}
	assert.Equal(t, (&Route{}).PickService(0.5), ident.Service(""))
}

func TestKeys(t *testing.T) {
	noKeys := New(Parts{Version: 1})
	assert.Assert(t, !noKeys.RequiresKey(&Route{}), "no workspaces: no keys")
	s := New(Parts{Version: 1, Workspaces: []*Workspace{{Name: "w", Keys: []string{"k"}}}})
	assert.Assert(t, s.RequiresKey(&Route{}))
	assert.Assert(t, !s.RequiresKey(&Route{Public: true}))
	assert.Equal(t, s.WorkspaceByKey("k").Name, ident.Workspace("w"))
	assert.Assert(t, s.WorkspaceByKey("") == nil)
}

// TestCurrentNeverDecreases guards against a version in force, or a time at which it was
// known to be the newest, that decreases when versions arrive in any order.
func TestCurrentNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := NewCurrent(uptime.Now)
		var version uint64
		var freshAt uptime.Instant
		for range 20 {
			v := rapid.Uint64Range(1, 9).Draw(t, "version")
			at := uptime.Instant(rapid.Int64Range(1, 99).Draw(t, "at"))
			changed := current.Update(New(Parts{Version: v}), at)
			assert.Equal(t, changed, v > version)
			if v >= version {
				freshAt = max(freshAt, at)
			}
			version = max(version, v)
			assert.Equal(t, current.Load().Version, version)
			assert.Equal(t, current.FreshAt(), freshAt)
		}
	})
}

// TestBehind checks KnownVersion and BehindFor while other VMs report versions that are
// newer than the one in force.
func TestBehind(t *testing.T) {
	now := uptime.Instant(time.Second)
	current := NewCurrent(func() uptime.Instant { return now })
	update := func(version uint64) { current.Update(New(Parts{Version: version}), now) }
	expect := func(version uint64, behind time.Duration) {
		t.Helper()
		assert.Equal(t, current.KnownVersion(), version)
		assert.Equal(t, current.BehindFor(), behind)
	}
	advance := func() { now = now.Add(time.Second) }
	update(3)
	expect(3, 0)
	advance()
	current.RecordVersion(3, now)
	expect(3, 0)
	current.RecordVersion(5, now)
	advance()
	current.RecordVersion(5, now)
	current.RecordVersion(8, now)
	advance()
	expect(8, 2*time.Second)
	current.Update(New(Parts{Version: 5}), 0)
	expect(8, time.Second)
	update(8)
	expect(8, 0)
	advance()
	current.RecordVersion(1<<60, now)
	advance()
	expect(1<<60, time.Second)
	current.ConfirmNewest(now)
	expect(8, 0)
}
