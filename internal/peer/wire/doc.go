// Package wire defines the messages that VMs exchange by datagrams, and encodes them in
// the protocol buffers wire format.
package wire
