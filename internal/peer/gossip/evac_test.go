package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/srvtab"
)

// maxEvacuationTime is the longest time until every VM knows of an evacuation. Operators
// allow 5 s for a VM to stop sending work there.
const maxEvacuationTime = time.Second

// TestEvacuationSpread guards against a VM that sends work to an evacuated failure domain
// because the evacuation did not reach it. Two VMs watch the store; the others, which lose
// 4% of their datagrams, learn of it from the hubs. Neither an outage of the store nor the
// loss of all hubs may undo it.
func TestEvacuationSpread(t *testing.T) {
	for _, n := range []int{min(vms, 67), vms} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newRegistry()
			runFleetWithServers(t, n, 0.04, r, func(t *testing.T, f *fleet) {
				time.Sleep(4 * time.Second)
				watcher := f.watcher(t)
				evacuate := func(rev uint64, domains ...ident.FailureDomain) {
					watcher.table.ApplyEvacuations(srvtab.NewEvacuations(rev, domains))
					watcher.announce()
				}
				evacuate(100, "a")
				time.Sleep(maxEvacuationTime)
				assert.Equal(t, f.evacuated("a"), n, "VMs that know of the evacuation")
				f.setStoreDown(true, nil)
				for _, v := range f.all {
					if v.hubs.IsHub(time.Now()) && v != watcher {
						f.kill(v)
					}
				}
				time.Sleep(4 * time.Second)
				assert.Equal(t, f.evacuated("a"), len(f.up()), "without the store and the hubs")
				f.setStoreDown(false, nil)
				time.Sleep(2 * time.Second)
				evacuate(200)
				time.Sleep(maxEvacuationTime)
				assert.Equal(t, f.evacuated("a"), 0, "VMs that do not know that it has ended")
			})
		})
	}
}

// watcher returns a VM that watches the store.
func (f *fleet) watcher(t *testing.T) *node {
	t.Helper()
	for _, v := range f.up() {
		if v.hubs.ShouldWatch(time.Now()) {
			return v
		}
	}
	t.Fatal("no VM watches the store")
	return nil
}

// evacuated returns how many running VMs know that a failure domain is evacuated.
func (f *fleet) evacuated(d ident.FailureDomain) int {
	n := 0
	for _, v := range f.up() {
		if v.table.View().IsEvacuated(d) {
			n++
		}
	}
	return n
}
