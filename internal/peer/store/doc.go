// Package store is a client for the platform's key-value service, the store,
// using the protocol in docs/STORE.md. Calls are limited to a rate, because the
// service counts each call against its own rate limit; a watch counts as one
// call. A write whose response was lost is reported as OutcomeUnknown: the
// caller must read the value to learn whether the write took effect.
package store
