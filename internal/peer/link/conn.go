package link

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/gravitational/trace"
)

const bufferSize = 4096

// conn is a connection whose reads and writes each have their own deadline,
// so that a stream may last for ever and a silence may not.
type conn struct {
	net.Conn
	idle    time.Duration
	written int64
	r       *bufio.Reader
	w       *bufio.Writer
}

func newConn(c net.Conn, idle time.Duration) *conn {
	k := &conn{Conn: c, idle: idle}
	k.r = bufio.NewReaderSize(k, bufferSize)
	k.w = bufio.NewWriterSize(k, bufferSize)
	return k
}

func (c *conn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, trace.Wrap(err)
	}
	return c.Conn.Read(p)
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, trace.Wrap(err)
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// quiet reports whether the peer has neither closed an idle connection nor
// sent anything on it.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(probe)); err != nil {
		return false
	}
	var b [1]byte
	_, err := c.Conn.Read(b[:])
	return os.IsTimeout(err)
}

// probe is how long an idle connection is listened to before its next use.
// A deadline that has passed already would fail without reading.
const probe = 50 * time.Microsecond
