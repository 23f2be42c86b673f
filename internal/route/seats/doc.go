// Package seats counts what VMs have under way at each backend server: this
// VM's own work exactly, other VMs' as they last told it.
package seats
