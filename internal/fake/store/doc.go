// Package store is a stand-in for the platform's key-value service:
// compare-and-swap, leases, waiting watches, a limit on calls a second, and
// the outages and lost replies that the real one has. docs/STORE.md describes
// its protocol.
package store
