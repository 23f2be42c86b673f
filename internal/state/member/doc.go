// Package member keeps the list of live VMs.
//
// It follows SWIM (Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol, 2002): each period a VM
// pings one other, asks a few more to ping it if no answer comes, suspects it
// then, and removes it only if the suspicion stands for a time. Changes travel
// on the pings and answers. A VM that hears itself suspected or removed raises
// its incarnation and so refutes it; that also heals a cut between failure
// domains. Incarnations start at the time of the start, so that a replaced VM
// at the same address is a new one.
//
// Table is a state machine without I/O: time comes in with each call, and
// datagrams go out as return values.
package member
