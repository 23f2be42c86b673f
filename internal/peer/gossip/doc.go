// Package gossip exchanges state between VMs by UDP datagrams. Each VM reports its calls
// in flight at each backend server, and what it knows of the fleet, to a few VMs, the
// hubs. A hub responds to each report with the combined knowledge of all VMs that report
// to it.
//
// Each report holds the VM's complete state, so that the loss of a datagram only delays
// an update. The number of messages that a VM other than a hub sends and receives does
// not depend on the number of VMs.
package gossip
