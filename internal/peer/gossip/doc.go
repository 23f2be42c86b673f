// Package gossip tells the other VMs, by datagrams, what this VM has under way
// at each backend server and which servers it knows to be leaving.
//
// Each datagram holds the whole of it, so a lost one costs only time.
package gossip
