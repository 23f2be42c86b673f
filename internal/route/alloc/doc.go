// Package alloc tracks the load of each backend server: this VM's own calls
// exactly, and those of other VMs as last reported.
package alloc
