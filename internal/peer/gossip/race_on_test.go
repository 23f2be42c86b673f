//go:build race

package gossip

// vms is how many VMs the fleets have. The race detector of the runtime breaks down in
// bubbles with as many timers as 300 VMs need; they run without it beside this.
const vms = 48

// sizes are those of the fleets whose cost is compared.
var sizes = []int{20, vms}
