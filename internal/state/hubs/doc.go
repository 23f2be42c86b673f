// Package hubs selects the hubs, the few VMs that all others report to, and
// decides which VMs watch the store for changes.
//
// Every VM sorts the VMs in the same order, by capacity and then by a hash of the
// name, and reports to the first Count VMs of it. A hub responds to each report with what
// it knows of all VMs and with the top of the order among the VMs that it receives
// messages from. A VM that does not respond is skipped, so no election is needed.
// VMs that disagree on the hubs for a while only send more messages.
package hubs
