package httpc

import (
	"net"
	"sync"
)

// Descriptors bounds how many connections a process has open.
type Descriptors interface {
	// OpenOther takes a descriptor for a connection, and CloseOther gives it back.
	OpenOther() error
	CloseOther()
}

// DialBounded opens a connection if there is a descriptor for it, which the connection gives back
// when it is closed.
func DialBounded(d Descriptors, dial func() (net.Conn, error)) (net.Conn, error) {
	if err := d.OpenOther(); err != nil {
		return nil, err
	}
	nc, err := dial()
	if err != nil {
		d.CloseOther()
		return nil, err
	}
	return &boundedConn{Conn: nc, descriptors: d}, nil
}

// boundedConn is a connection that gives back its descriptor when it is closed.
type boundedConn struct {
	net.Conn
	descriptors Descriptors
	once        sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.descriptors.CloseOther)
	return err
}
