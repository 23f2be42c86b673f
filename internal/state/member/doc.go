// Package member maintains the list of live VMs.
//
// It follows SWIM (Das, Gupta and Motivala, SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol, 2002). In each period a VM
// pings one other VM. If no ack arrives, it asks a few others to ping that VM;
// if there is still none, it suspects the VM, and removes it if the suspicion is
// not refuted within a timeout. Updates are piggybacked on pings and acks.
//
// A VM that learns that others suspect or have removed it raises its incarnation,
// which refutes the update. This also restores the list after a network partition
// between failure domains. The first incarnation is the start time, so that a VM
// that replaces another at the same address overrides it.
//
// Table is a state machine without I/O: the current time is an argument of each
// call, and the datagrams to send are return values.
package member
