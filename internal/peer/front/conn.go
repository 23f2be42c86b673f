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

// conn is one client connection.
type conn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	remote netip.AddrPort
	once   sync.Once
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(nc, firstBuffer)
	c.w = bufio.NewWriterSize(stallWriter{nc}, firstBuffer)
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
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: 3})
}

// fit makes the read buffer as large as the largest head allowed: the head's
// codec reads a head whole or not at all.
func (c *conn) fit(header int) {
	if c.r.Size() < header {
		c.r = bufio.NewReaderSize(c.r, header)
	}
}

const (
	// lingerTime and lingerBytes bound what is read of a rejected request. Closing
	// a connection with unread bytes resets it, and the client may lose the answer.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

// linger lets the client read the answer before the connection is closed.
func (c *conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.r, lingerBytes)
}

func (c *conn) close() { c.once.Do(func() { _ = c.Close() }) }

// watch calls left when the client closes the connection. The function it
// returns ends the watch and reports whether the connection still lives.
func (c *conn) watch(g *errgroup.Group, left func()) func() bool {
	_ = c.SetReadDeadline(time.Time{})
	done := make(chan bool, 1)
	g.Go(func() error {
		_, err := c.r.Peek(1)
		alive := err == nil || errors.Is(err, os.ErrDeadlineExceeded)
		if !alive {
			left()
		}
		done <- alive
		return nil
	})
	return func() bool {
		// A deadline in the past ends the read under way.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return <-done
	}
}

// stallWriter gives each write a deadline of its own.
type stallWriter struct{ net.Conn }

func (w stallWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}
