// Package pick chooses the engine for one run by what one VM knows of all
// engines: their entries, what is under way at each, and which failed lately.
//
// The choice itself is that of policy/assign. Whoever decides for others, the
// home of a service, and a VM that has to decide alone choose in the same way.
package pick
