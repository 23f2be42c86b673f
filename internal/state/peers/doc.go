// Package peers keeps this VM's name in the store, under a lease, and learns
// from there which other VMs there are.
package peers
