package caller

import (
	"net"
	"time"
)

// listener accepts connections that set a new deadline before each write.
type listener struct {
	net.Listener
	writeTimeout time.Duration
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

type conn struct {
	net.Conn
	writeTimeout time.Duration
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
