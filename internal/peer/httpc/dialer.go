package httpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/header"
)

// Options are the options of one request.
type Options struct {
	NewConn     bool          // always dial: on an idle connection that the server has closed, the failure would look like a lost response
	MaxBody     int           // maximum size of a response body that is read as a whole, in bytes
	IdleTimeout time.Duration // maximum time without data; zero: that of the dialer
}

// Dialer sends requests over connections that it opens and reuses. It is safe
// for concurrent use.
type Dialer struct {
	localAddr      netip.Addr
	connectTimeout time.Duration
	idleTimeout    time.Duration
	maxIdle        int
	descriptors    Descriptors // nil: connections are not bounded

	mu        sync.Mutex
	idleConns map[netip.AddrPort][]*conn
}

// New returns a dialer that waits up to connectTimeout for a connection and up
// to idleTimeout for each read or write, and keeps up to maxIdle idle
// connections per address. Connections are made from localAddr, so that a peer
// can distinguish VMs. The system chooses the address if localAddr is invalid or
// unspecified.
func New(localAddr netip.Addr, connectTimeout, idleTimeout time.Duration, maxIdle int) *Dialer {
	return &Dialer{localAddr: localAddr, connectTimeout: connectTimeout, idleTimeout: idleTimeout, maxIdle: maxIdle, idleConns: make(map[netip.AddrPort][]*conn)}
}

// Bound makes the dialer take descriptors for the connections that it opens from now on.
func (d *Dialer) Bound(l Descriptors) { d.descriptors = l }

// Do sends req and reads the complete response into resp.
func (d *Dialer) Do(ctx context.Context, addr netip.AddrPort, req *fasthttp.Request, resp *fasthttp.Response, o Options) error {
	c, stop, err := d.send(ctx, addr, req, o)
	if err != nil {
		return err
	}
	err = c.readResponse(resp, o.MaxBody)
	if err == nil && c.atEnd {
		err = d.confirmEnd(ctx, addr)
	}
	if !stop() || err != nil {
		_ = c.Close()
		return &Error{Stage: Read, Written: c.written, Err: cause(ctx, err)}
	}
	d.release(addr, c, resp)
	return nil
}

// EndCheckDelay is the time from the end of a connection to the check whether its server
// still accepts others. A process that ends closes its sockets one after the other, and its
// listener may outlive its connections for a few milliseconds.
const EndCheckDelay = 10 * time.Millisecond

// confirmEnd returns an error unless a body whose end only that of its connection marked is
// complete. The connections of a process that ends also end regularly, so that the server
// must still accept connections.
func (d *Dialer) confirmEnd(ctx context.Context, addr netip.AddrPort) error {
	select {
	case <-time.After(EndCheckDelay):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	c, err := d.Dial(ctx, addr)
	if err != nil {
		return trace.Wrap(err, "the end of the response is not confirmed")
	}
	return c.Close()
}

// DoStream sends req and reads the header of the response into resp. The body
// is read from the returned stream, which the caller must close.
func (d *Dialer) DoStream(ctx context.Context, addr netip.AddrPort, req *fasthttp.Request, resp *fasthttp.Response, o Options) (io.ReadCloser, error) {
	c, stop, err := d.send(ctx, addr, req, o)
	if err != nil {
		return nil, err
	}
	resp.StreamBody = true
	if err := c.readResponse(resp, o.MaxBody); err != nil {
		stop()
		_ = c.Close()
		return nil, &Error{Stage: Read, Written: c.written, Err: cause(ctx, err)}
	}
	return &stream{Reader: resp.BodyStream(), conn: c, stop: stop}, nil
}

func (d *Dialer) send(ctx context.Context, addr netip.AddrPort, req *fasthttp.Request, o Options) (*conn, func() bool, error) {
	c, err := d.get(ctx, addr, o)
	if err != nil {
		return nil, nil, &Error{Stage: Connect, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost(addr.String())
	}
	err = req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		stop()
		_ = c.Close()
		return nil, nil, &Error{Stage: Write, Written: c.written, Err: cause(ctx, err)}
	}
	return c, stop, nil
}

// readResponse reads a response with its body or, if it has a body stream, up to the start of
// that.
func (c *conn) readResponse(resp *fasthttp.Response, maxBody int) error {
	if err := header.Read(c.r, &resp.Header); err != nil {
		return err
	}
	if hasNoBody(resp.StatusCode()) {
		return nil
	}
	isChunked := IsChunked(&resp.Header)
	if isChunked && resp.StreamBody {
		resp.SetBodyStream(&chunkedBody{chunks: httputil.NewChunkedReader(c.r), r: c.r, header: &resp.Header}, resp.Header.ContentLength())
		return nil
	}
	if err := resp.ReadBody(c.r, maxBody); err != nil || !isChunked {
		return err
	}
	return header.ReadTrailer(c.r, &resp.Header)
}

func (d *Dialer) get(ctx context.Context, addr netip.AddrPort, o Options) (*conn, error) {
	idleTimeout := o.IdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = d.idleTimeout
	}
	if !o.NewConn {
		if c := d.takeIdle(addr); c != nil {
			c.idleTimeout = idleTimeout
			c.written = 0
			return c, nil
		}
	}
	c, err := d.Dial(ctx, addr)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newConn(c, idleTimeout), nil
}

// Dial opens a connection to addr.
func (d *Dialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.connectTimeout, KeepAliveConfig: KeepAlive()}
	if d.localAddr.IsValid() && !d.localAddr.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.localAddr, 0))
	}
	dial := func() (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr.String()) }
	if d.descriptors == nil {
		return dial()
	}
	return DialBounded(d.descriptors, dial)
}

func (d *Dialer) takeIdle(addr netip.AddrPort) *conn {
	for {
		c := d.popIdle(addr)
		if c == nil || c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

func (d *Dialer) popIdle(addr netip.AddrPort) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conns := d.idleConns[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	d.idleConns[addr] = conns[:len(conns)-1]
	return c
}

func (d *Dialer) release(addr netip.AddrPort, c *conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idleConns[addr]) >= d.maxIdle {
		_ = c.Close()
		return
	}
	d.idleConns[addr] = append(d.idleConns[addr], c)
}

// cause returns the context's cause if ctx has ended, because the connection
// was then closed for that reason. Otherwise it returns err, or
// io.ErrUnexpectedEOF if err is nil.
func cause(ctx context.Context, err error) error {
	if e := context.Cause(ctx); e != nil {
		return e
	}
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// IsTimeout reports whether err was caused by a deadline.
func IsTimeout(err error) bool {
	// The timeout error of fasthttp does not implement net.Error.
	var n interface{ Timeout() bool }
	return errors.As(err, &n) && n.Timeout()
}

type stream struct {
	io.Reader
	conn *conn
	stop func() bool
}

// Close closes the connection. The connection of a stream is never reused.
func (s *stream) Close() error {
	s.stop()
	return trace.Wrap(s.conn.Close())
}
