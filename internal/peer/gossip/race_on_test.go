//go:build race

package gossip

import (
	"os"
	"runtime"
	"testing"
)

// vms is how many VMs the fleets have. The race detector of the runtime breaks down in
// bubbles with as many timers as 300 VMs need; they run without it beside this.
const vms = 48

// sizes are those of the fleets whose cost is compared.
var sizes = []int{20, vms}

// TestMain runs the tests on one processor. Under the race detector the runtime runs the
// timers of a synctest bubble in one race context, which must not be used by two threads
// at once.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
