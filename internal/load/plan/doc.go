// Package plan lays out a fleet on loopback addresses: which processes there
// are, their settings files, and what a load driver needs to know of them.
package plan
