// Package soak runs edge VMs as separate processes against fakes of the platform,
// injects faults from outside, and checks what clients and servers see against
// the system's guarantees.
//
// Faults follow one another and overlap: proxies delay, reset or black-hole
// connections in one or both directions; VM processes are stopped, paused, killed
// and restarted; servers retire, crash, shed load and are replaced; keys are
// revoked; and the store becomes unreachable.
package soak
