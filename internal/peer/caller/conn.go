package caller

import (
	"net"
	"sync/atomic"
	"time"

	"umberladder/internal/peer/linger"
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
	// rejected is set if the response was sent before all of the request was read.
	rejected atomic.Bool
}

// Close closes the connection. After a rejected request it first discards what the client
// still sends, so that the client receives the response.
func (c *conn) Close() error {
	if c.rejected.Swap(false) {
		linger.Drain(c.Conn)
	}
	return c.Conn.Close()
}

func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
