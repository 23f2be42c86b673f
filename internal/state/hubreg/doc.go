// Package hubreg registers hubs in the store, where isolated VMs find them, and
// finds out whether the store is reachable by reading the registrations.
//
// Among VMs that start together and find no registrations, those of the highest
// capacity register first, and the others find them.
package hubreg
