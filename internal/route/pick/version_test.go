package pick

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/state/srvtab"
)

// TestVersions checks that a stream that has begun is placed at engines of its version of the
// software, also if these are few among many, and nowhere if there is none.
func TestVersions(t *testing.T) {
	const engines = 10_000
	newChooser := func(t *testing.T, versionOf func(n int) ident.Version) (*Chooser, *alloc.Tracker) {
		t.Helper()
		list := make([]srvtab.Entry, engines)
		for n := range list {
			list[n] = srvtab.Entry{
				ID: ident.Server(fmt.Sprintf("e%05d", n)), Service: "engines", Domain: ident.FailureDomain(fmt.Sprint("d", n%6)), Slots: 24, Version: versionOf(n),
			}
		}
		table, tracker := srvtab.NewTable(func() {}), alloc.New()
		table.Replace(list, time.Time{}, time.Now())
		return NewChooser(table, tracker, health.New(), rates.New(fleetSize(1), nil)), tracker
	}
	rare := func(n int) ident.Version {
		if n == 17 || n == 9000 {
			return "old"
		}
		return "new"
	}
	request := func(v ident.Version) *Request {
		return &Request{Service: "engines", Need: 1, EngineMemory: 1000, From: "d0", Version: v, Backup: true}
	}
	t.Run("the engine and its backup", func(t *testing.T) {
		c, _ := newChooser(t, rare)
		for range 20 {
			p, err := c.Choose(request("old"), nil, time.Now())
			assert.NilError(t, err)
			assert.Equal(t, p.Server.Version, ident.Version("old"))
			assert.Assert(t, p.Backup != nil && p.Backup.Version == "old" && p.Backup.ID != p.Server.ID)
		}
	})
	t.Run("a new stream's backup has its engine's version", func(t *testing.T) {
		c, _ := newChooser(t, func(n int) ident.Version { return ident.Version(fmt.Sprint("v", n%3)) })
		for range 20 {
			p, err := c.Choose(request(""), nil, time.Now())
			assert.NilError(t, err)
			assert.Equal(t, p.Backup.Version, p.Server.Version)
		}
	})
	t.Run("no engine of the version is left", func(t *testing.T) {
		c, _ := newChooser(t, rare)
		_, err := c.Choose(request("gone"), nil, time.Now())
		assert.ErrorIs(t, err, ErrNoServer)
	})
	t.Run("its engines are full", func(t *testing.T) {
		c, tracker := newChooser(t, rare)
		for _, id := range []ident.Server{"e00017", "e09000"} {
			tracker.Reserve(id, alloc.Load{Calls: 24})
		}
		_, err := c.Choose(request("old"), nil, time.Now())
		var full *NoCapacityError
		assert.Assert(t, err != nil)
		assert.ErrorType(t, err, full)
	})
	t.Run("no backup if the version is not known", func(t *testing.T) {
		c, _ := newChooser(t, func(int) ident.Version { return "" })
		p, err := c.Choose(request(""), nil, time.Now())
		assert.NilError(t, err)
		assert.Assert(t, p.Backup == nil)
	})
	t.Run("reserved engines are left to streams that have begun", func(t *testing.T) {
		c, _ := newChooser(t, rare)
		r := request("")
		r.Reserved = Reserved{"new": nil}
		for range 20 {
			p, err := c.Choose(r, nil, time.Now())
			assert.NilError(t, err)
			assert.Equal(t, p.Server.Version, ident.Version("old"))
		}
		r.Reserved = Reserved{"new": nil, "old": nil}
		_, err := c.Choose(r, nil, time.Now())
		var full *NoCapacityError
		assert.ErrorType(t, err, full)
	})
}
