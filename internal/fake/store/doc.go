// Package store implements a fake of the platform's key-value store. It has
// compare-and-swap, leases, watches that wait for changes, a limit on calls per
// second, and injected outages and lost replies like those of the real store.
// docs/STORE.md describes the protocol.
package store
