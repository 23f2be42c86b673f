// Package gossip reports by datagrams to a few VMs, the hubs, what this VM has under way
// at each backend server and what it knows; as a hub it answers those that report to it
// with what all of them know.
//
// Each report holds the whole of a VM's state, so that a lost one costs only time. A
// VM that is no hub sends and receives the same number of messages whatever the number
// of VMs.
package gossip
