// Package netcut cuts the network path from chosen hosts to a listener.
//
// The kernel drops the packets of those hosts before it handles them (see socket(7),
// SO_ATTACH_FILTER), so that a new connection is never established and an open one goes
// silent without being closed, as behind a partition. Other hosts reach the listener.
package netcut
