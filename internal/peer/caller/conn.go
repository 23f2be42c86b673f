package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/linger"
	"umberladder/internal/peer/socket"
	"umberladder/internal/policy/hold"
)

const (
	// connBytes is what an open connection takes: its buffers, its goroutine's stack and its state
	// here and in the kernel.
	connBytes = 24 << 10
	// callBytes is what a request takes besides connBytes and its body.
	callBytes = 32 << 10
	// bodyCopies is how many copies of a body are held at most while it is parsed and sent to a
	// server.
	bodyCopies = 3
	// maxUnsent is how many bytes the kernel holds unsent of a connection.
	maxUnsent = 32 << 10
)

// listener accepts connections as far as the pool has room for them.
type listener struct {
	net.Listener
	writeTimeout time.Duration
	held         *hold.Pool
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, writeTimeout: l.writeTimeout}
		if c.account, err = l.held.Open(c.interrupt); err != nil {
			socket.Reset(nc)
			continue
		}
		socket.LimitUnsent(nc, maxUnsent)
		return c, nil
	}
}

type conn struct {
	net.Conn
	writeTimeout time.Duration
	account      *hold.Account
	started      bool // something was read
	// rejected is set if the response was sent before all of the request was read.
	rejected atomic.Bool
}

// past is a deadline that interrupts pending reads.
var past = time.Unix(1, 0)

// interrupt ends the wait for the client after the account was reclaimed in the given state. A
// client that is sending a request still gets a response.
func (c *conn) interrupt(s hold.State) {
	if s == hold.Receiving {
		_ = c.Conn.SetReadDeadline(past)
		return
	}
	socket.Reset(c.Conn)
}

// stateChanged records what a connection waits for.
func stateChanged(nc net.Conn, s fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case fasthttp.StateActive:
		_ = c.account.SetState(hold.Receiving, 0) // what reads the request finds out if it was reclaimed
	case fasthttp.StateIdle:
		c.release()
		_ = c.account.SetState(hold.Idle, 0) // a reclaimed connection is closed
	}
}

// release gives back what a request and its response took.
func (c *conn) release() {
	_ = c.account.Hold(hold.Requests, 0)  // never fails for fewer bytes
	_ = c.account.Hold(hold.Responses, 0) // as above
}

// Close closes the connection. After a rejected request it first discards what the client
// still sends, so that the client receives the response.
func (c *conn) Close() error {
	c.release()
	_ = c.account.SetState(hold.Idle, 0) // a reclaimed connection is about to be closed
	if c.rejected.Swap(false) {
		linger.Drain(c.Conn)
	}
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// Read implements net.Conn. It fails if the pool has no room for the connection.
func (c *conn) Read(p []byte) (int, error) {
	if !c.started {
		c.started = true
		if err := c.account.Hold(hold.Connections, connBytes); err != nil {
			return 0, err
		}
		_ = c.account.SetState(hold.Idle, 0) // a reclaimed connection is closed
	}
	return c.Conn.Read(p)
}

// SetReadDeadline implements net.Conn. The deadline of a reclaimed connection is over.
func (c *conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.account.Reclaimed() {
		return c.Conn.SetReadDeadline(past)
	}
	return nil
}

func (c *conn) Write(p []byte) (int, error) {
	_ = c.account.SetState(hold.Sending, len(p)) // a reclaimed connection is closed
	defer func() { _ = c.account.SetState(hold.Busy, 0) }()
	return socket.Write(c.Conn, p, c.writeTimeout)
}
