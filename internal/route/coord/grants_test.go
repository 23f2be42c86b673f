package coord

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/srvtab"
)

// TestLateReports guards against a place at a server that is granted twice, because the VM that
// got the first grant has no processor time to receive it, or to report it, within briefGrantTTL.
// The VM always wants more than the server's two slots, and its calls run for 40 ms.
func TestLateReports(t *testing.T) {
	const (
		slots       = 2
		callTime    = 40 * time.Millisecond
		duration    = 3 * time.Second
		reportEvery = 10 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		responses, reports time.Duration // how late they arrive
		minCalls           int
	}{
		"in time":                         {time.Millisecond, time.Millisecond, 100},
		"late reports":                    {time.Millisecond, 100 * time.Millisecond, 34},
		"late responses":                  {100 * time.Millisecond, time.Millisecond, 34},
		"late responses and late reports": {80 * time.Millisecond, 80 * time.Millisecond, 28},
	} {
		t.Run(name, func(t *testing.T) {
			table, reported, local := srvtab.NewTable(func() {}), alloc.New(), alloc.New()
			table.Replace([]srvtab.Entry{{ID: "p", Service: "s", Domain: "a", Slots: slots}}, epoch, epoch)
			c := New(pick.NewChooser(table, reported, health.New(), rates.New(nil, nil)))
			run := pick.Request{Service: "s", Need: 1, EngineMemory: 1 << 30, From: "a", Brief: true, TargetWait: duration, MaxWait: duration}
			now := epoch
			due := make(map[time.Time][]func())
			after := func(d time.Duration, f func()) { due[now.Add(d)] = append(due[now.Add(d)], f) }
			running, calls, id := 0, 0, uint64(1<<50)
			begin := func(resp Response) {
				reservation := local.ReserveGranted(resp.Server, run.Load(), resp.ID, now)
				running, calls = running+1, calls+1
				assert.Assert(t, running <= slots, "%d calls run after %s", running, now.Sub(epoch))
				after(callTime, func() {
					reservation.Release()
					running--
				})
			}
			submit := func() {
				id++
				c.Submit(Request{VM: "vm", ID: id, Run: run, ReportsGrants: true}, func(resp Response) {
					if resp.State == Granted {
						after(tc.responses, func() { begin(resp) })
					}
				}, now)
			}
			report := func() {
				seq := uint64(now.Sub(epoch))
				loads, grants := local.Report(now)
				after(tc.reports, func() { reported.HandleReport("vm", 1, seq, 0, loads, grants, now) })
			}
			for ; now.Sub(epoch) < duration; now = now.Add(time.Millisecond) {
				for _, f := range due[now] {
					f()
				}
				delete(due, now)
				for c.QueueLen() <= slots {
					submit()
				}
				for _, r := range c.requests {
					r.lastSeen = now // VMs repeat their requests
				}
				if now.Sub(epoch)%reportEvery == 0 {
					report()
					c.serve(now)
				}
			}
			assert.Assert(t, calls >= tc.minCalls, "%d calls", calls)
			t.Logf("%d calls", calls)
		})
	}
}

// TestOlderVMs guards against grants for brief calls that count for longer than before, because
// the VM's reports don't state the grants that it has received.
func TestOlderVMs(t *testing.T) {
	table := srvtab.NewTable(func() {})
	table.Replace([]srvtab.Entry{{ID: "p", Service: "s", Domain: "a", Slots: 1}}, epoch, epoch)
	c := New(pick.NewChooser(table, alloc.New(), health.New(), rates.New(nil, nil)))
	run := pick.Request{Service: "s", Need: 1, EngineMemory: 1 << 30, From: "a", Brief: true, TargetWait: time.Second, MaxWait: time.Second}
	for i, reports := range []bool{false, true, true} {
		c.Submit(Request{VM: "vm", ID: uint64(i + 1), Run: run, ReportsGrants: reports}, func(Response) {}, epoch)
	}
	for _, tc := range []struct {
		after  time.Duration
		queued int
	}{
		{0, 2},
		{briefGrantTTL, 2},
		{briefGrantTTL + time.Millisecond, 1},
		{briefGrantTTL + alloc.GrantTTL + time.Millisecond, 1},
		{briefGrantTTL + alloc.GrantTTL + 2*time.Millisecond, 0},
	} {
		c.serve(epoch.Add(tc.after))
		assert.Equal(t, c.QueueLen(), tc.queued, "after %s", tc.after)
	}
}
