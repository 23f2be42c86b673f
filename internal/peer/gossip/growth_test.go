package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// changeRates are the rates at which servers register, in servers per second. 480 a second
// fill more than a datagram between two reports of a VM.
var changeRates = []int{60, 480}

// TestChangeTraffic guards against messages that repeat all recent changes of servers. Their
// size grew with the rate of changes, and beyond 250 changes between two messages all VMs
// copied the complete list of servers, over and over. Servers register at different rates;
// what a VM receives for each change must not grow with the rate, and no VM may read the
// complete list again.
func TestChangeTraffic(t *testing.T) {
	const duration = 4 * time.Second
	perChange := make([]float64, len(changeRates))
	for i, rate := range changeRates {
		r := newRegistry()
		runFleetWithServers(t, min(vms, 60), 0.01, r, func(t *testing.T, f *fleet) {
			r.put(serverEntry(0))
			time.Sleep(3 * time.Second)
			reads, received := f.listReads.Load(), f.received()
			for n := range rate * int(duration/time.Second) {
				time.Sleep(time.Second / time.Duration(rate))
				r.put(serverEntry(n + 1))
			}
			time.Sleep(maxSpreadTime)
			servers := rate*int(duration/time.Second) + 1
			for _, v := range f.all {
				assert.Equal(t, v.table.View().Len(), servers, "at %s", v.self.VM)
			}
			assert.Equal(t, f.listReads.Load(), reads, "complete lists read")
			idle := f.idleTraffic(duration + maxSpreadTime)
			perChange[i] = (f.received() - idle - received - idle) / float64(servers*len(f.all))
			t.Logf("%d changes/s: %.0f bytes a change and VM", rate, perChange[i])
		})
	}
	assert.Assert(t, perChange[1] <= perChange[0], fmt.Sprint(perChange))
}

// received returns the number of bytes that all VMs have received.
func (f *fleet) received() float64 {
	total := int64(0)
	for _, v := range f.all {
		total += v.received.Load()
	}
	return float64(total)
}

// idleTraffic returns the number of bytes that all VMs receive in a time without changes.
func (f *fleet) idleTraffic(d time.Duration) float64 {
	before := f.received()
	time.Sleep(d)
	return f.received() - before
}

// TestDrainSpread guards against VMs that learn late of draining servers. 48 servers a second
// drain, in a fleet that loses 4% of its datagrams and in which a third of the VMs can't
// reach the hubs that watch the store. The servers' entries are the only notice.
func TestDrainSpread(t *testing.T) {
	const rate = 48
	r := newRegistry()
	runFleetWithServers(t, min(vms, 60), 0.04, r, func(t *testing.T, f *fleet) {
		for n := range 4 * rate {
			r.put(serverEntry(n))
		}
		time.Sleep(3 * time.Second)
		cut := make(map[*node]bool)
		for i, v := range f.all {
			cut[v] = i%3 == 1 && !v.hubs.IsHub(time.Now())
		}
		f.mu.Lock()
		f.partitioned = func(a, b *node) bool {
			return cut[a] && b.hubs.ShouldWatch(time.Now()) || cut[b] && a.hubs.ShouldWatch(time.Now())
		}
		f.mu.Unlock()
		sent := f.totalSent()
		for n := range 2 * rate {
			time.Sleep(time.Second / rate)
			e := serverEntry(n)
			e.Draining = true
			r.put(e)
		}
		time.Sleep(maxSpreadTime)
		for _, v := range f.all {
			assert.Equal(t, len(v.table.View().ServersOf("engines")), 2*rate, "at %s", v.self.VM)
		}
		t.Logf("%d datagrams", f.totalSent()-sent)
	})
}

// totalSent returns the number of datagrams that all VMs have sent.
func (f *fleet) totalSent() int64 {
	total := int64(0)
	for _, v := range f.all {
		total += v.sent.Load()
	}
	return total
}
