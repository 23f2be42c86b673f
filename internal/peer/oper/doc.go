// Package oper implements the HTTP server for operators: reading and changing
// settings with compare-and-swap, their history, the status of this VM, the
// report on the burn rate of service-level objectives, and draining the VM. The
// key of a workspace's operators grants access only to the settings and usage of
// that workspace; the key of the system's operators grants access to everything.
package oper
