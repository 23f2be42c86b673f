package srvtab

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// TestCoverage checks for which times all versions count as known, after gaps that later
// histories close or do not close.
func TestCoverage(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(0, 0).Add(time.Duration(s) * time.Second) }
	for name, tc := range map[string]struct {
		history []int // starts of histories, in order
		want    int
	}{
		"no history":                         {want: 40},
		"within the current period":          {history: []int{50}, want: 40},
		"within the last gap":                {history: []int{35}, want: 35},
		"from the end of the period before":  {history: []int{30}, want: 20},
		"within the period before":           {history: []int{25}, want: 20},
		"within the first gap":               {history: []int{15}, want: 15},
		"within the first period":            {history: []int{5}, want: 0},
		"before the first period":            {history: []int{-5}, want: -5},
		"first the last gap, then the other": {history: []int{30, 10}, want: 0},
		"a shorter one after a longer one":   {history: []int{5, 35}, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := coverage{since: at(0)}
			c.interrupt(at(10), at(20))
			c.interrupt(at(30), at(40))
			for _, s := range tc.history {
				c.extend(at(s))
			}
			assert.Equal(t, c.since.Sub(at(0)), at(tc.want).Sub(at(0)))
		})
	}
	t.Run("periods that are over for long are dropped", func(t *testing.T) {
		c := coverage{since: at(0)}
		for n := range 100 {
			c.interrupt(at(60*n+50), at(60*n+60))
		}
		assert.Assert(t, len(c.earlier) <= int(versionMemory/time.Minute)+1, "%d", len(c.earlier))
	})
}

// TestHistory checks that a table that takes over the history of another one answers like that one,
// and that versions which are not remembered are not taken for ones that never were.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := func(id ident.Server, v ident.Version) Entry {
			return Entry{ID: id, Service: "s", Domain: "a", Slots: 1, Version: v}
		}
		newTable := func(list ...Entry) *Table {
			table := NewTable(func() {})
			table.Replace(list, time.Time{}, time.Now())
			return table
		}
		assertVersions := func(table *Table, since time.Duration, wantKnown bool, want ...ident.Version) {
			t.Helper()
			got, known := table.View().VersionsSince("s", time.Now().Add(-since))
			slices.Sort(got)
			assert.DeepEqual(t, got, want)
			assert.Equal(t, known, wantKnown)
		}
		old := newTable(entry("a", "v1"), entry("b", "v2"))
		time.Sleep(10 * time.Second)
		old.Remove("b", time.Time{}, time.Now())
		time.Sleep(10 * time.Second)
		joined := newTable(entry("a", "v1"))
		assertVersions(joined, 15*time.Second, false, "v1")
		assert.Assert(t, joined.AddHistory(old.View().History(time.Now()), time.Now()))
		assert.Assert(t, !joined.AddHistory(old.View().History(time.Now()), time.Now()), "nothing is new")
		for _, table := range []*Table{old, joined} {
			assertVersions(table, 5*time.Second, true, "v1")
			assertVersions(table, 15*time.Second, true, "v1", "v2")
			assertVersions(table, 25*time.Second, false, "v1", "v2")
		}
		joined.AddHistory(History{Gone: []GoneVersion{{Service: "s", Version: "v1"}}}, time.Now())
		assertVersions(joined, 0, true, "v1") // servers run it here
		time.Sleep(2 * versionMemory)
		old.Put(entry("c", "v3"))
		assertVersions(old, versionMemory, true, "v1", "v3")
		assertVersions(old, 2*versionMemory+15*time.Second, false, "v1", "v3")
		assert.Assert(t, old.View().History(time.Now()).Complete < 2*versionMemory+15*time.Second)
	})
}
