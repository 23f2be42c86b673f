package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
)

// fatalRequest is a request that crashes servers.
var fatalRequest = []poison.Suspect{{ID: 7, Depth: poison.WholeRequest}}

const (
	// maxLearnTime is how long VMs may take to refuse a request after the third server
	// has crashed under it.
	maxLearnTime = 3 * time.Second
)

// reportCrash makes a VM observe a crash of server n under the fatal request.
func reportCrash(v *node, n int) {
	v.poison.RecordCrash(fatalRequest, ident.Server(fmt.Sprint("i-", n)), time.Now())
}

// countQuarantined returns the number of VMs that quarantine the fatal request.
func countQuarantined(list []*node) int {
	n := 0
	for _, v := range list {
		if _, _, ok := v.poison.Quarantined(fatalRequest, time.Now()); ok {
			n++
		}
	}
	return n
}

// nonHubs returns the running VMs that are not hubs.
func (f *fleet) nonHubs() []*node {
	list := hubsOf(f.all[0])
	return slices.DeleteFunc(f.up(), func(v *node) bool { return slices.Contains(list, v.self.VM) })
}

// killHubs kills the VMs that are hubs.
func (f *fleet) killHubs() {
	list := hubsOf(f.all[0])
	for _, v := range f.all {
		if slices.Contains(list, v.self.VM) {
			f.kill(v)
		}
	}
}

// TestFindings guards against VMs that still serve a request under which three servers
// have crashed. Three VMs that are not hubs observe one crash each. All VMs must refuse
// the request 3 s after the third crash, even if hubs, VMs or the store fail around it.
func TestFindings(t *testing.T) {
	const loss = 0.04
	for name, tc := range map[string]struct {
		before func(f *fleet) // runs before the third crash
		after  func(f *fleet) // runs after it
	}{
		"no failures": {},
		"the store is unreachable": {before: func(f *fleet) {
			f.mu.Lock()
			f.storeDown = true
			f.mu.Unlock()
		}},
		"all hubs are lost just before": {before: (*fleet).killHubs},
		"all hubs are lost just after":  {after: (*fleet).killHubs},
		"hubs start again just before": {before: func(f *fleet) {
			list := hubsOf(f.all[0])
			for _, v := range f.all {
				if slices.Contains(list, v.self.VM) {
					f.kill(v)
					f.start(v, 0)
				}
			}
		}},
		"all start again afterwards": {after: func(f *fleet) {
			time.Sleep(time.Second)
			for _, v := range f.all {
				f.kill(v)
			}
			for _, v := range f.all {
				f.start(v, f.startDelay())
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, vms/3, loss, func(t *testing.T, f *fleet) {
				time.Sleep(4 * time.Second)
				list := f.nonHubs()
				reportCrash(list[0], 0)
				reportCrash(list[1], 1)
				time.Sleep(2 * time.Second)
				assert.Equal(t, countQuarantined(f.up()), 0)
				if tc.before != nil {
					tc.before(f)
				}
				reportCrash(list[2], 2)
				if tc.after != nil {
					tc.after(f)
				}
				time.Sleep(maxLearnTime)
				assert.Equal(t, countQuarantined(f.up()), len(f.up()))
			})
		})
	}
}

// TestFindingsOfIsolatedVM guards against crashes that stay unknown because the only VM that
// observed them was isolated at the time. The other VMs must learn of them once it is
// reachable again.
func TestFindingsOfIsolatedVM(t *testing.T) {
	runFleet(t, 16, 0, func(t *testing.T, f *fleet) {
		time.Sleep(4 * time.Second)
		isolated := f.nonHubs()[0]
		f.mu.Lock()
		f.partitioned = func(a, b *node) bool { return (a == isolated) != (b == isolated) }
		f.mu.Unlock()
		time.Sleep(time.Second)
		for n := range 3 {
			reportCrash(isolated, n)
		}
		assert.Equal(t, countQuarantined([]*node{isolated}), 1)
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.partitioned = nil
		f.mu.Unlock()
		time.Sleep(maxLearnTime)
		assert.Equal(t, countQuarantined(f.up()), len(f.up()))
	})
}

// TestFindingsCost guards against findings that are exchanged without end. Each VM
// observes crashes under requests of its own, which are not quarantined, and 20 requests
// are quarantined. Afterwards the traffic of a VM must fall to at most maxControlRate.
func TestFindingsCost(t *testing.T) {
	const duration = 4 * time.Second
	runFleet(t, vms/3, 0, func(t *testing.T, f *fleet) {
		time.Sleep(4 * time.Second)
		list := f.nonHubs()
		for i, v := range list {
			for n := range 5 {
				v.poison.RecordCrash(suspect(1000+5*i+n), ident.Server(fmt.Sprint("i-", n)), time.Now())
			}
		}
		for n := range 3 * 20 { // quarantines 20 requests
			list[n%len(list)].poison.RecordCrash(suspect(1+n%20), ident.Server(fmt.Sprint("j-", n)), time.Now())
		}
		time.Sleep(2 * maxLearnTime)
		for _, v := range list {
			assert.Equal(t, v.poison.QuarantinedCount(time.Now()), 20)
			v.bytes.Store(0)
			v.received.Store(0)
		}
		time.Sleep(duration)
		for _, v := range list {
			rate := (v.bytes.Load() + v.received.Load()) / int64(duration/time.Second)
			assert.Assert(t, rate <= maxControlRate, "%d B/s", rate)
		}
	})
}

func suspect(n int) []poison.Suspect {
	return []poison.Suspect{{ID: call.Fingerprint(n), Depth: poison.WholeRequest}}
}

// TestPartFindings guards against VMs that do not agree on which part of prompts crashes
// servers, and against blaming the first part that sound requests share. Fatal requests, no two
// alike, reach random VMs; sound ones with the same first part pass at random VMs. Half of the
// VMs, all hubs among them, are killed after the second crash.
func TestPartFindings(t *testing.T) {
	const (
		loss       = 0.04
		interval   = 120 * time.Millisecond // between two fatal requests
		soundRate  = 4                      // sound requests per fatal one
		maxCrashes = 5                      // VMs have maxLearnTime after them
		maxLate    = 3                      // further requests that reach servers
	)
	shared, fatalPart := call.Fingerprint(1), call.Fingerprint(2)
	for _, n := range []int{7, vms} {
		t.Run(fmt.Sprint(n, " VMs"), func(t *testing.T) {
			runFleet(t, n, loss, func(t *testing.T, f *fleet) {
				rng := rand.New(rand.NewPCG(uint64(n), 0))
				up := func() *node { list := f.up(); return list[rng.IntN(len(list))] }
				time.Sleep(4 * time.Second)
				var limit time.Time
				crashes, late, killed := 0, 0, false
				for i := range 100 {
					for j := range soundRate {
						up().poison.RecordPass(poison.Suspects(call.Fingerprint(1000*i+j+10), []call.Fingerprint{shared}), ident.Server(fmt.Sprint("i-", j)), time.Now())
					}
					v, request := up(), poison.Suspects(call.Fingerprint(1000*i+9), []call.Fingerprint{shared, fatalPart})
					if _, _, refused := v.poison.Quarantined(request, time.Now()); !refused && i > 20 {
						if crashes++; crashes == maxCrashes {
							limit = time.Now().Add(maxLearnTime)
						}
						if !limit.IsZero() && time.Now().After(limit) {
							late++
						}
						v.poison.RecordCrash(request, ident.Server(fmt.Sprint("i-", i, "-crashed")), time.Now())
					}
					if crashes == 2 && !killed {
						killed = true
						f.killHubs()
						for i, v := range f.up() {
							if i%2 == 0 {
								f.kill(v)
							}
						}
					}
					time.Sleep(interval)
				}
				t.Logf("%d servers crashed, %d late arrivals", crashes, late)
				assert.Assert(t, late <= maxLate, "%d late arrivals, %d servers crashed", late, crashes)
				for _, v := range f.up() {
					_, _, ok := v.poison.Quarantined([]poison.Suspect{{ID: fatalPart}}, time.Now())
					assert.Assert(t, ok, "%s does not refuse the fatal part", v.self.VM)
					_, _, ok = v.poison.Quarantined([]poison.Suspect{{ID: shared}}, time.Now())
					assert.Assert(t, !ok, "%s refuses the shared part", v.self.VM)
				}
			})
		})
	}
}
