package burn

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/result"
)

var testTime = time.Unix(1_800_000_000, 0)

func newMeter(vm ident.VM, bad, total int) *Meter {
	m := New(vm)
	for i := range total {
		r := &result.Record{Workspace: "w", Service: "s", Class: "c", Tokens: 10, LateTokens: 1}
		if i < bad {
			r.Stall = 2 * StallBound
			r.Preemptions = 1
		}
		m.record(r, testTime)
	}
	return m
}

func findRow(t *testing.T, r *Report, o Objective) *Row {
	t.Helper()
	for i := range r.Rows {
		if r.Rows[i].Objective == o {
			return &r.Rows[i]
		}
	}
	t.Fatalf("no row of %s", o)
	return nil
}

func TestRates(t *testing.T) {
	r := newMeter("a", 5, 100).Snapshot(testTime)
	assert.Equal(t, int(0.5+findRow(t, r, Stall).Rate(0)), 5, "5% bad where 1% may be")
	assert.Assert(t, findRow(t, r, Preempt).Rate(0) > 2.49 && findRow(t, r, Preempt).Rate(0) < 2.51)
	assert.Assert(t, findRow(t, r, Tail).Rate(2) > 9.9)
	assert.Equal(t, findRow(t, r, Tail).Alert(), "ticket")
	assert.Equal(t, findRow(t, newMeter("a", 20, 100).Snapshot(testTime), Stall).Alert(), "page")
	assert.Equal(t, findRow(t, newMeter("a", 0, 100).Snapshot(testTime), Stall).Alert(), "")
	assert.Equal(t, findRow(t, newMeter("a", 0, 100).Snapshot(testTime), Stall).Left(), 1.0)
}

func TestWindowsSlide(t *testing.T) {
	m := newMeter("a", 10, 10)
	for i, w := range Windows {
		later := testTime.Add(w + w/10)
		r := m.Snapshot(later)
		if i == len(Windows)-1 {
			assert.Equal(t, len(r.Rows), 0, "a row without events is left out")
			continue
		}
		assert.Equal(t, findRow(t, r, Stall).Counts[i].Total, uint64(0), "window %s", w)
	}
}

func TestMerge(t *testing.T) {
	a, b := newMeter("a", 1, 10).Snapshot(testTime), newMeter("b", 3, 30).Snapshot(testTime)
	a.Merge(b)
	a.Silent = append(a.Silent, "c")
	assert.DeepEqual(t, a.VMs, []ident.VM{"a", "b"})
	assert.Equal(t, findRow(t, a, Stall).Counts[0], Count{Bad: 4, Total: 40})
	data, err := a.Encode()
	assert.NilError(t, err)
	again, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Rows, a.Rows)
	var table, page bytes.Buffer
	assert.NilError(t, again.WriteTable(&table))
	assert.NilError(t, again.WritePage(&page))
	for _, out := range []string{table.String(), page.String()} {
		assert.Assert(t, strings.Contains(out, "VM c did not answer"), out)
	}
	again.FilterWorkspace("other")
	assert.Equal(t, len(again.Rows), 0)
	_, err = Decode([]byte("{"))
	assert.Assert(t, err != nil)
}
