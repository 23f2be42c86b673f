package front

import (
	"bufio"
	"errors"
	"io"
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

// growReadBuffer makes the read buffer hold at least size bytes, the largest
// header section allowed: fasthttp parses a header section only when all of it
// fits in the buffer.
func (c *conn) growReadBuffer(size int) {
	if c.r.Size() < size {
		c.r = bufio.NewReaderSize(c.r, size)
	}
}

const (
	// lingerTime and lingerBytes bound how much of a refused request is read and
	// discarded before the connection is closed. Closing a connection with unread
	// data resets it, and the client may lose the response.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger performs a lingering close: it shuts down the write side and discards
// incoming data for a limited time, so that the client can read the response.
func (c *conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.r, lingerBytes)
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
