// Package poison detects poison requests, which crash the backend servers that run them,
// and quarantines them.
//
// A server's crash is evidence against every request that had only just started to run on
// the server. Evidence is a set: VMs merge each other's evidence, in any order and over
// any path, and come to the same quarantine decisions. A request is quarantined once the
// number of different servers that crashed while running it reaches a limit. These crashes
// are then attributed to it and are no evidence against other requests. When a request
// completes, all earlier evidence against it is dropped.
package poison
