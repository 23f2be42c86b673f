// Package entry is the path of a request through a VM, from the caller's key
// to the one outcome: who asks, for which service, inside which limits, has it
// run before, and then the generation or the plain call itself.
package entry
