//go:build !race

package gossip

// vms is how many VMs the fleets have.
const vms = 300

// sizes are those of the fleets whose cost is compared.
var sizes = []int{20, 100, 380}
