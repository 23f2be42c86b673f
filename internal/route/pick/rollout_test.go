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

// TestWithdrawnVersion guards against new streams that begin at engines of a version that is
// being withdrawn, although others have room: they have to migrate, perhaps several times.
func TestWithdrawnVersion(t *testing.T) {
	const runs = 100
	entry := func(n int, draining bool) srvtab.Entry {
		version := []ident.Version{"v1", "v2"}[n%2]
		return srvtab.Entry{ID: ident.Server(fmt.Sprint("e", n)), Service: "engines", Domain: "a", Slots: 24, Version: version, Draining: draining}
	}
	for name, tc := range map[string]struct {
		drains   []int // engines that have begun to drain; those of odd numbers run v2
		fullV2   bool
		min, max int // of runs runs, those at v1
	}{
		"no engine drains":             {min: 20, max: 80},
		"engines of one version":       {drains: []int{0, 2}, max: 0},
		"engines of both versions":     {drains: []int{0, 1}, min: 20, max: 80},
		"the other version is full":    {drains: []int{0, 2}, fullV2: true, min: runs, max: runs},
		"engines of the new version":   {drains: []int{1, 3}, min: runs, max: runs},
		"all of the version's engines": {drains: []int{0, 2, 4, 6, 8, 10}, max: 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, tracker := srvtab.NewTable(func() {}), alloc.New()
			for n := range 12 {
				table.Put(entry(n, false))
				if tc.fullV2 && n%2 == 1 {
					tracker.Reserve(entry(n, false).ID, alloc.Load{Calls: 24})
				}
			}
			for _, n := range tc.drains {
				table.Put(entry(n, true))
			}
			c := NewChooser(table, tracker, health.New(), rates.New(fleetSize(7), nil))
			atV1 := 0
			for range runs {
				p, err := c.Choose(&Request{Service: "engines", Need: 100, EngineMemory: 1000, From: "a"}, nil, time.Now())
				assert.NilError(t, err)
				if p.Server.Version == "v1" {
					atV1++
				}
			}
			assert.Assert(t, atV1 >= tc.min && atV1 <= tc.max, "%d of %d at v1", atV1, runs)
			p, err := c.Choose(&Request{Service: "engines", Need: 100, EngineMemory: 1000, From: "a", Version: "v2"}, nil, time.Now())
			assert.Assert(t, err != nil || p.Server.Version == "v2", "streams that have begun are bound to their version")
		})
	}
}
