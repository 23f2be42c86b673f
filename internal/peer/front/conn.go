package front

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// conn is a client connection with buffered reads and writes.
type conn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	remote    netip.AddrPort
	closeOnce sync.Once
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(nc, initialBufferSize)
	c.w = bufio.NewWriterSize(deadlineWriter{nc}, initialBufferSize)
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		c.remote = a.AddrPort()
	}
	return c
}

func setKeepAlive(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3})
}

// closeUnread closes a connection that is not served. A reset reaches the client at once and
// leaves no state of the connection in the kernel.
func closeUnread(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = nc.Close()
}

// growReadBuffer makes the read buffer hold at least size bytes, the largest
// header section allowed: fasthttp parses a header section only when all of it
// fits in the buffer.
func (c *conn) growReadBuffer(size int) {
	if c.r.Size() < size {
		c.r = bufio.NewReaderSize(c.r, size)
	}
}

func (c *conn) close() { c.closeOnce.Do(func() { _ = c.Close() }) }

// watchDisconnect calls onDisconnect when the client closes the connection. The
// returned function stops watching and reports whether the connection is still
// open.
func (c *conn) watchDisconnect(g *errgroup.Group, onDisconnect func()) func() bool {
	_ = c.SetReadDeadline(time.Time{})
	done := make(chan bool, 1)
	g.Go(func() error {
		_, err := c.r.Peek(1)
		alive := err == nil || errors.Is(err, os.ErrDeadlineExceeded)
		if !alive {
			onDisconnect()
		}
		done <- alive
		return nil
	})
	return func() bool {
		// A deadline in the past interrupts the pending Peek.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return <-done
	}
}

// deadlineWriter sets a new deadline of writeTimeout before each write.
type deadlineWriter struct{ net.Conn }

func (w deadlineWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}
