// Package nodes is the transport between the entry VMs. It sends small UDP
// datagrams (membership probes and updates, the settings version), whose loss is
// harmless, and twirp calls over TCP (settings, claims, reservations), which
// need a response. Both are authenticated with the VMs' key ring. Messages that
// were not sealed with a key of the ring are dropped and counted.
package nodes
