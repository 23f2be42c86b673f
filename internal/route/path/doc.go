// Package path connects to backend servers over this VM's own links or, where those fail,
// through another VM.
//
// A second way is tried beside the first one while that takes longer than a handshake
// needs. No byte of a request is sent before one of the connections is chosen, and the
// others are closed unused.
package path
