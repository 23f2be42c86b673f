// Package plan lays out a fleet on loopback addresses: its processes, their
// settings files, and the addresses and keys that a load generator needs.
package plan
