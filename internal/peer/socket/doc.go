// Package socket has what the servers for clients and other VMs share about connections: listeners
// that keep accepting while descriptors or buffers run out, kernel buffers of a bounded size, and
// writes that have to make progress.
package socket
