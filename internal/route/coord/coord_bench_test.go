package coord

import (
	"fmt"
	"testing"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/srvtab"
)

// BenchmarkSubmit places runs on different numbers of engines that 62 VMs use.
func BenchmarkSubmit(b *testing.B) {
	for _, engines := range []int{12, 44, 357, 9218, 20_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table, tracker := srvtab.NewTable(func() {}), alloc.New()
			list := make([]srvtab.Entry, engines)
			for i := range list {
				list[i] = srvtab.Entry{ID: ident.Server(fmt.Sprint("e", i)), Service: "s", Domain: "a", Slots: 24}
			}
			table.Replace(list, time.Time{}, time.Now())
			for vm := range 62 {
				load := map[ident.Server]alloc.Load{}
				for i := range 4 {
					load[list[(vm*4+i)%engines].ID] = alloc.Load{Calls: 1, Tokens: 3000}
				}
				tracker.UpdatePeer(ident.VM(fmt.Sprint(vm)), 1, 1, 0, load, time.Now().Add(time.Hour))
			}
			c := New(pick.NewChooser(table, tracker, health.New(), rates.New(nil, nil)))
			run := pick.Request{Service: "s", Need: 3300, Prefill: 3000, EngineMemory: 1 << 20, From: "a", TargetWait: time.Second, MaxWait: time.Second}
			for n := range uint64(b.N) {
				c.Submit(Request{VM: "vm", ID: n, Run: run}, func(Response) {}, time.Now())
				if n%100 == 0 {
					c.serve(time.Now().Add(2 * time.Second)) // drops the decided requests
					c.grants = nil
				}
			}
		})
	}
}

// BenchmarkServe grants capacity to queued runs of many workspaces on 400 engines that 300 VMs
// use, and queues as many again.
func BenchmarkServe(b *testing.B) {
	for _, workspaces := range []int{0, 1, 24, 5000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			const engines, queued, perRound = 400, 6000, 20
			table, tracker := srvtab.NewTable(func() {}), alloc.New()
			list := make([]srvtab.Entry, engines)
			for i := range list {
				list[i] = srvtab.Entry{ID: ident.Server(fmt.Sprint("e", i)), Service: "s", Domain: "a", Slots: 24}
			}
			table.Replace(list, time.Time{}, time.Now())
			now := time.Now()
			for vm := range 300 {
				load := map[ident.Server]alloc.Load{}
				for i := range 30 {
					load[list[(vm*30+i)%engines].ID] = alloc.Load{Calls: 1, Tokens: 1000}
				}
				tracker.UpdatePeer(ident.VM(fmt.Sprint(vm)), 1, 1, 0, load, now.Add(time.Hour))
			}
			c := New(pick.NewChooser(table, tracker, health.New(), rates.New(nil, nil)))
			granted := 0
			submit := func(n int) {
				run := pick.Request{Service: "s", Rank: 1, Need: 3300, EngineMemory: 30_000, From: "a", TargetWait: time.Hour, MaxWait: time.Hour}
				if workspaces > 0 {
					run.Workspace, run.Weight, run.Subject = ident.Workspace(fmt.Sprint("w", n%workspaces)), pick.WeightUnit, uint64(n%7)
				}
				c.Submit(Request{VM: "vm", ID: uint64(n), Run: run}, func(resp Response) {
					if resp.State == Granted {
						granted++
					}
				}, now)
			}
			full := make([]*alloc.Reservation, engines)
			for i := range full {
				full[i] = tracker.Reserve(list[i].ID, alloc.Load{Tokens: 30_000})
			}
			for n := range queued {
				submit(n)
			}
			b.ResetTimer()
			for n := range b.N {
				// One run ends at each of some engines, and as many are granted.
				for i := range perRound {
					full[(n*perRound+i)%engines].Release()
				}
				c.serve(now)
				c.grants = nil
				for i := range perRound {
					k := (n*perRound + i) % engines
					full[k] = tracker.Reserve(list[k].ID, alloc.Load{Tokens: 30_000})
					submit(queued + n*perRound + i)
				}
				now = now.Add(5 * time.Millisecond)
				for _, r := range c.requests {
					r.lastSeen = now
				}
			}
			b.ReportMetric(float64(granted)/float64(b.N), "grants/op")
		})
	}
}
