package caller

import (
	"net"
	"time"
)

// listener gives every write of its connections a deadline of its own.
type listener struct {
	net.Listener
	stall time.Duration
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, stall: l.stall}, nil
}

type conn struct {
	net.Conn
	stall time.Duration
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
