// Package probe reads from the engines whether they are draining while the store
// is unreachable.
//
// In an outage of the store no VM reads the notice that an engine is about to
// end, and all its streams would be lost with it. The engine also reports its
// drain itself, with a delay of half a second, which is early enough for most of
// its streams. One VM probes the engines for all VMs, and only while no VM can
// reach the store.
package probe
