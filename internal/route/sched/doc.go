// Package sched lets one VM place the generations of a model for all VMs.
//
// A model's coordinator, selected by rendezvous hashing over the live VMs,
// places, queues and refuses generations for every VM. Only it knows the age of
// every stream, so it can fill the engines' memory without overcommitting it.
// The other VMs send it requests, each with a ticket, and report the progress
// of their streams. If the coordinator does not respond, a VM places its own
// generations from what it knows; the engines' load reports then show the VM and
// the coordinator each other's streams. A coordinator holds no state that must
// survive it: a new one sees the running streams in the load reports.
//
// Metrics call the coordinator the model's home.
package sched
