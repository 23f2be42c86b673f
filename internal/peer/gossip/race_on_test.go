//go:build race

package gossip

import (
	"os"
	"runtime"
	"testing"
)

// vms is the number of VMs in a fleet. The race detector fails in synctest bubbles with
// as many timers as 300 VMs need; that size is tested without the race detector.
const vms = 48

// sizes are the fleet sizes of TestCost.
var sizes = []int{20, vms}

// TestMain runs the tests on one processor. Under the race detector the runtime runs the
// timers of a synctest bubble in one race context, which must not be used by two threads
// at once.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
