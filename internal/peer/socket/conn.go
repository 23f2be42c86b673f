package socket

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// writeSize is the size of the pieces in which data is written, in bytes.
const writeSize = 64 << 10

// Write writes p to a connection in pieces, each of which has to be taken within timeout.
func Write(nc net.Conn, p []byte, timeout time.Duration) (int, error) {
	written := 0
	for written < len(p) {
		if err := nc.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := nc.Write(p[written:min(written+writeSize, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reset closes a connection with a reset, which reaches the other end at once, drops what it has not
// read and leaves no state of the connection in the kernel.
func Reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

// LimitUnsent makes writes to a connection wait while the kernel holds more than limit bytes that it
// has not sent yet, because the other end does not read. It does not limit what is on the way.
func LimitUnsent(nc net.Conn, limit int) {
	control(nc, func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, limit) })
}

// Unconfirmed returns how many bytes the kernel holds that the other end has not received, or false
// if that is not known.
func Unconfirmed(nc net.Conn) (int, bool) {
	n, known := 0, false
	control(nc, func(fd int) {
		queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		n, known = queued, err == nil
	})
	return n, known
}

// control calls f with the descriptor of a TCP connection that is open.
func control(nc net.Conn, f func(fd int)) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails if the connection is closed
	}
}
