// Package edge implements the process that serves a platform's clients. It builds
// the VM from its components (the node, which keeps the VM's state in sync with the
// store and the other VMs, the relay and the HTTP servers), starts them and shuts
// them down.
package edge
