// Package fault injects faults into a running fleet: it sends signals to the
// processes whose IDs the fleet's supervisors wrote to files, and switches on
// faults that the fake servers implement themselves.
package fault
