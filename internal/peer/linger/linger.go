// Package linger closes connections on which a client may still be sending.
//
// Closing a connection with unread data resets it, and the client may then lose a response
// that it has not read yet (RFC 9112, section 9.6).
package linger

import (
	"io"
	"net"
	"time"
)

const (
	// maxTime and maxBytes bound how long and how much of a rejected request is read.
	maxTime  = 2 * time.Second
	maxBytes = 8 << 20
)

// halfCloser is a connection whose write side can be closed separately, such as
// *net.TCPConn.
type halfCloser interface {
	CloseWrite() error
}

// Drain closes the write side of a connection after the last response, and discards what
// the client still sends until the client closes its side or a limit is reached. The caller
// closes the connection afterwards. Drain does nothing if the write side can't be closed
// separately.
func Drain(c net.Conn) {
	tcp, ok := c.(halfCloser)
	if !ok || tcp.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(maxTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, maxBytes) // the response is out; there is nobody to report an error to
}
