// Package pick chooses the engine of one run from what this VM knows of all
// engines: their entries in the server table, the work in flight at each, and
// which failed recently.
//
// The choice itself is made by policy/assign. The coordinator of a service and a
// VM that places its runs itself choose in the same way.
package pick
