package httpc

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/gravitational/trace"
)

const bufferSize = 4096

// conn is a connection that sets a new deadline for each read and write, so that
// the time without data is limited but the duration of a stream is not.
type conn struct {
	net.Conn
	idleTimeout time.Duration
	written     int64
	atEnd       bool // the peer has closed the connection regularly
	r           *bufio.Reader
	w           *bufio.Writer
}

func newConn(nc net.Conn, idleTimeout time.Duration) *conn {
	c := &conn{Conn: nc, idleTimeout: idleTimeout}
	c.r = bufio.NewReaderSize(c, bufferSize)
	c.w = bufio.NewWriterSize(c, bufferSize)
	return c
}

func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, trace.Wrap(err)
	}
	n, err := c.Conn.Read(p)
	c.atEnd = c.atEnd || errors.Is(err, io.EOF)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, trace.Wrap(err)
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// reusable reports whether the peer has neither closed an idle connection nor
// sent anything on it.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(idleProbeTime)); err != nil {
		return false
	}
	var b [1]byte
	_, err := c.Conn.Read(b[:])
	return os.IsTimeout(err)
}

// idleProbeTime is how long reusable waits for data on an idle connection. It
// must not be zero, since a read fails at once after a deadline in the past.
const idleProbeTime = 50 * time.Microsecond
