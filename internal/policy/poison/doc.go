// Package poison finds requests that crash the backend servers that run them, and
// quarantines them.
//
// A crash is evidence against every request that had only begun to run on the server.
// Evidence is a set: VMs merge what each of them has seen, in any order and by any way,
// and come to the same verdicts. A request under which a limit of servers crashed is
// quarantined, and explains these crashes: they are no evidence against other requests.
// A request that completes is cleared of all evidence before.
package poison
