// Package store speaks to the platform's key-value service by the protocol in
// docs/STORE.md. Every call passes a budget of calls a second, the waiting
// watch as one, because the service counts each. A write whose reply was lost
// is reported as Unknown: the caller must read to learn what happened.
package store
