// Package homes decides at which engine a run goes, at one VM for all.
//
// A service's home is the first VM of an order that all VMs agree on. The
// others ask it for room and tell it what their runs take, so that it alone
// fills the engines: VMs that decide by themselves all choose the engine that
// they see room at. Who finds no room waits at the home, by urgency, and is refused
// at once if the wait would be too long.
//
// A home keeps nothing that must last. The next VM in the order is told the
// same, and takes over as soon as askers get no answer; a VM that gets none
// from either decides by itself. Two VMs that both decide only fill engines
// over, which the engines themselves refuse.
package homes
