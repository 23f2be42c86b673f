package front

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"umberladder/internal/peer/socket"
	"umberladder/internal/policy/hold"
)

const (
	// connBytes is what an open connection takes: its read buffer, its goroutine's stack and its
	// state here and in the kernel.
	connBytes = 12 << 10
	// callBytes is what a request takes besides connBytes and its body: the write buffer, the
	// header fields, the stacks of the goroutines that serve it, and what the client sends ahead.
	callBytes = 32 << 10
	// headerCopies is how many copies of a header section that is larger than the read buffer are
	// held while it is parsed.
	headerCopies = 3
	// maxUnsent is how many bytes the kernel holds unsent of a connection whose client may not have
	// received maxUnlimitedSend bytes. Fewer than maxUncountedSend are a part of connBytes.
	maxUnsent        = 32 << 10
	maxUnlimitedSend = 64 << 10
	maxUncountedSend = 16 << 10
	// bodyBuffer is the size of the kernel's receive buffer while a body of more than
	// hold.SmallBytes is read.
	bodyBuffer = 64 << 10
)

// conn is a client connection with buffered reads and writes.
type conn struct {
	net.Conn
	r         *bufio.Reader // nil once a request was rejected
	w         *bufio.Writer // nil while the connection waits for a request
	remote    netip.AddrPort
	account   *hold.Account
	closeOnce sync.Once

	headerBytes int  // held for a header section that is larger than the read buffer
	sent        int  // bytes of responses that the client may not have received
	sentHeld    int  // of these, as counted on the account
	widened     bool // the kernel's receive buffer has the size for large bodies
	sendLimited bool // what the kernel holds unsent is bounded
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(nc, initialBufferSize)
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
	if c.r.Size() >= size {
		return
	}
	b, _ := c.r.Peek(c.r.Buffered()) // never fails for what is buffered
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(b)), c.Conn), size)
}

// shrinkReadBuffer gives a grown read buffer back, unless it holds the start of the next request.
func (c *conn) shrinkReadBuffer() {
	if c.r != nil && c.r.Size() > initialBufferSize && c.r.Buffered() == 0 {
		c.r = bufio.NewReaderSize(c.Conn, initialBufferSize)
	}
}

// writers holds the write buffers of connections that wait for requests.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, initialBufferSize) }}

func (c *conn) acquireWriter() {
	c.w = writers.Get().(*bufio.Writer)
	c.w.Reset(clientWriter{c})
}

func (c *conn) releaseWriter() {
	c.w.Reset(nil)
	writers.Put(c.w)
	c.w = nil
}

func (c *conn) close() { c.closeOnce.Do(func() { _ = c.Close() }) }

// interrupt ends the wait for the client after the account was reclaimed in the given state. A
// client that is sending a request still gets a response.
func (c *conn) interrupt(s hold.State) {
	switch s {
	case hold.Receiving:
		_ = c.SetReadDeadline(past)
	case hold.Sending:
		c.closeOnce.Do(func() { socket.Reset(c.Conn) }) // drops what the client has not read
	default:
		c.close()
	}
}

// past is a deadline that interrupts pending reads.
var past = time.Unix(1, 0)

// setReceiveDeadline sets the time until which the rest of a request has to arrive.
func (c *conn) setReceiveDeadline(t time.Time) {
	_ = c.SetReadDeadline(t)
	if c.account.Reclaimed() {
		_ = c.SetReadDeadline(past)
	}
}

// watchDisconnect calls onDisconnect when the client closes the connection. The
// returned function stops watching and reports whether the connection is still
// open. The end of a client that sends requests ahead is seen while they fit into the read buffer.
func (c *conn) watchDisconnect(g *errgroup.Group, onDisconnect func()) func() bool {
	_ = c.SetReadDeadline(time.Time{})
	done := make(chan bool, 1)
	g.Go(func() error {
		var err error
		for err == nil && c.r.Buffered() < c.r.Size() {
			_, err = c.r.Peek(c.r.Buffered() + 1)
		}
		alive := err == nil || errors.Is(err, os.ErrDeadlineExceeded)
		if !alive {
			onDisconnect()
		}
		done <- alive
		return nil
	})
	return func() bool {
		_ = c.SetReadDeadline(past)
		return <-done
	}
}

// widenReceive lets a large body arrive faster. What arrives is read at once and counted.
func (c *conn) widenReceive() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !c.widened {
		c.widened = true
		_ = tcp.SetReadBuffer(bodyBuffer)
	}
}

// countSent counts n bytes that are about to be sent, until the client is known to have received
// them, and bounds what the kernel holds unsent of a response once it is long.
func (c *conn) countSent(n int) {
	c.checkSent()
	c.sent += n
	if c.sent > maxUnlimitedSend && !c.sendLimited {
		c.sendLimited = true
		socket.LimitUnsent(c.Conn, maxUnsent)
	}
	c.holdSent()
}

// checkSent finds out how many of the bytes that were sent the client has not received.
func (c *conn) checkSent() {
	if c.sent <= maxUncountedSend {
		return
	}
	if n, ok := socket.Unconfirmed(c.Conn); ok {
		c.sent = n
	}
	c.holdSent()
}

// holdSent counts what the kernel may hold of responses. A small amount is a part of connBytes.
func (c *conn) holdSent() {
	n := 0
	if c.sent > maxUncountedSend {
		n = min(c.sent, hold.SmallBytes)
	}
	if n != c.sentHeld {
		_ = c.account.Hold(hold.Responses, n) // never fails for a small response
		c.sentHeld = n
	}
}

// clientWriter writes responses. The client has to read within writeTimeout.
type clientWriter struct{ *conn }

func (w clientWriter) Write(p []byte) (int, error) {
	w.countSent(len(p))
	_ = w.account.SetState(hold.Sending, len(p)) // a reclaimed connection is closed
	defer func() { _ = w.account.SetState(hold.Busy, 0) }()
	return socket.Write(w.Conn, p, writeTimeout)
}
