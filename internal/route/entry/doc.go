// Package entry serves the requests of clients on this VM. For each request it
// authenticates the API key, resolves the service, enforces the workspace's
// limits, checks the idempotency key, runs the generation or the plain HTTP
// call, and records exactly one outcome.
package entry
