// Package edge is the process that serves a platform's clients: it wires the
// followers of the store, the relay and the servers of its ports, and leads it
// from start to stop.
package edge
