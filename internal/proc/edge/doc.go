// Package edge implements the process that serves a platform's clients. It
// connects the node that follows the store and the other VMs, the relay and the
// HTTP servers, and controls their lifecycle.
package edge
