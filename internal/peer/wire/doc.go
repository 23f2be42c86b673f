// Package wire holds what VMs tell each other, and its encoding, which is that
// of protocol buffers.
package wire
