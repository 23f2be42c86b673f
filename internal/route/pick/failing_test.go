package pick

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/state/srvtab"
)

// TestFailingEngine guards against an engine that attracts all runs because it fails them at
// once: it always has the most free memory. Each run goes to a VM of its own, so no VM sees
// two failures. 30 runs arrive every second, need 0.3 s each, and one of ten engines either
// resets them or does not respond.
func TestFailingEngine(t *testing.T) {
	const target = 1500 * time.Millisecond
	requests := map[string]Request{
		"runs of unknown length": {Service: "engines", Need: 3300, EngineMemory: 21_800, From: "a"},
		"short runs":             {Service: "engines", Need: 2600, Prefill: 2550, Output: 8, EngineMemory: 21_800, From: "a", LatencyTarget: target},
	}
	for name, fail := range map[string]func(tracker *alloc.Tracker, r *alloc.Reservation, id ident.Server){
		"that resets runs": func(tracker *alloc.Tracker, r *alloc.Reservation, id ident.Server) {
			tracker.RecordFailure(id)
			r.Release()
		},
		"that does not respond": func(tracker *alloc.Tracker, r *alloc.Reservation, id ident.Server) {
			time.AfterFunc(target, func() { tracker.RecordFailure(id) })
			time.AfterFunc(4*target, r.Release)
		},
	} {
		for kind, request := range requests {
			t.Run(kind+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testFailingEngine(t, request, fail) })
			})
		}
	}
}

func testFailingEngine(t *testing.T, request Request, fail func(tracker *alloc.Tracker, r *alloc.Reservation, id ident.Server)) {
	const (
		runsPerSecond = 30
		duration      = 8 * time.Second
	)
	table, tracker := srvtab.NewTable(func() {}), alloc.New()
	for n := range 10 {
		table.Put(srvtab.Entry{ID: ident.Server(fmt.Sprint(n)), Service: "engines", Slots: 24, Domain: "a"})
	}
	c := NewChooser(table, tracker, health.New(), rates.New(fleetSize(30), nil))
	lost := 0
	for start := time.Now(); time.Since(start) < duration; time.Sleep(time.Second / runsPerSecond) {
		p, err := c.Choose(&request, nil, time.Now())
		assert.NilError(t, err)
		reservation := tracker.Reserve(p.Server.ID, request.Load())
		if p.Server.ID == "0" {
			lost++
			fail(tracker, reservation, "0")
			continue
		}
		time.AfterFunc(300*time.Millisecond, reservation.Release)
	}
	t.Logf("%d runs lost", lost)
	// An equal share of the runs would be 24.
	assert.Assert(t, lost <= 8, "%d runs went to the failing engine", lost)
}
