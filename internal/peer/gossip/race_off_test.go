//go:build !race

package gossip

// vms is the number of VMs in a fleet.
const vms = 300

// sizes are the fleet sizes of TestCost.
var sizes = []int{20, 100, 380}
