// Package story puts the log lines of one request together, from the logs of
// many VMs, in the order in which they happened.
//
// VMs' clocks differ. Settings come into force on all VMs within some 50 ms of
// each other, so the times of those lines tell the clocks apart.
package story
