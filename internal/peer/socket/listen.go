package socket

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Listen listens on an address. The kernel holds at most about receiveBuffer bytes of each
// connection that the process has not read, also before the connection is accepted; what a window
// can grow to is limited to 64 KiB by that.
func Listen(ctx context.Context, addr netip.AddrPort, receiveBuffer int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// A host that refuses the option has a bound of its own.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	ln, err := lc.Listen(ctx, "tcp", addr.String())
	return ln, trace.Wrap(err)
}
