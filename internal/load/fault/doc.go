// Package fault brings about failures in a running fleet: it signals processes
// by the ids that the fleet's supervisors wrote down, and switches on the
// stand-ins' own faults.
package fault
