// Package nodes carries what the entry VMs tell each other: small datagrams
// over UDP (membership, news, the revision of settings), whose loss is
// harmless, and twirp calls over TCP (settings, claims), which must be
// answered. Both are authenticated with the VMs' key ring; what is not made by
// the ring is dropped and counted.
package nodes
