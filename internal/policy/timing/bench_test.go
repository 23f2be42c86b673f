package timing

import (
	"fmt"
	"testing"
	"time"

	"umberladder/internal/core/ident"
)

// filled returns a hub with the reports of VMs that called each server, and the servers.
func filled(vms, count int) (*Tracker, []ident.Server) {
	tracker, list := newTracker(), make([]ident.Server, count)
	for i := range list {
		list[i] = ident.Server(fmt.Sprint("plain-", i))
	}
	for vm := range vms {
		stats := make(map[ident.Server]Stats)
		for _, id := range list {
			stats[id] = Stats{Responses: 1, Time: 30 * ms}
		}
		tracker.HandleReport(ident.VM(fmt.Sprint(vm)), stats, start)
	}
	return tracker, list
}

// BenchmarkAssess assesses the servers of a service, as for each call.
func BenchmarkAssess(b *testing.B) {
	for _, count := range []int{3, 6, 64} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tracker, list := filled(60, count)
			b.ReportAllocs()
			for b.Loop() {
				tracker.Assess("s", list, nil, start)
			}
		})
	}
}

// BenchmarkResponse handles a report at a hub and makes the response.
func BenchmarkResponse(b *testing.B) {
	for _, count := range []int{6, 64} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tracker, list := filled(986, count)
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(500 * time.Microsecond)
				stats := make(map[ident.Server]Stats)
				for _, id := range list {
					stats[id] = Stats{Responses: 1, Time: 30 * ms}
				}
				tracker.HandleReport("0", stats, now)
				tracker.Response("0", oneService, noCalls, now)
			}
		})
	}
}
