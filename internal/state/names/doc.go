// Package names keeps the names of hubs in the store, where VMs that know nobody find
// them, and learns by reading them whether the store is in reach.
//
// Among VMs that start together and find no names, those of most capacity write theirs
// first, and the others find these.
package names
