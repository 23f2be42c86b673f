package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// Options vary one exchange.
type Options struct {
	Fresh bool          // dial, never reuse: a stale connection would look like a lost answer
	Body  int           // largest answer body read whole, in bytes
	Idle  time.Duration // longest silence; zero takes the dialer's
}

// Dialer opens, keeps and reuses connections. It is safe for use by several
// goroutines.
type Dialer struct {
	from    netip.Addr
	connect time.Duration
	idle    time.Duration
	keep    int

	mu    sync.Mutex
	spare map[netip.AddrPort][]*conn
}

// New makes a dialer that waits up to connect for a connection and up to idle
// for each read or write, and keeps up to keep spare connections an address.
// Connections come from the address from, so that a peer can tell VMs apart; if
// it is not valid or unspecified, the system chooses.
func New(from netip.Addr, connect, idle time.Duration, keep int) *Dialer {
	return &Dialer{from: from, connect: connect, idle: idle, keep: keep, spare: make(map[netip.AddrPort][]*conn)}
}

// Do sends req and reads the whole answer into resp.
func (d *Dialer) Do(ctx context.Context, addr netip.AddrPort, req *fasthttp.Request, resp *fasthttp.Response, o Options) error {
	c, stop, err := d.send(ctx, addr, req, o)
	if err != nil {
		return err
	}
	err = resp.ReadLimitBody(c.r, o.Body)
	if !stop() || err != nil {
		_ = c.Close()
		return &Error{Stage: Read, Written: c.written, Err: cause(ctx, err)}
	}
	d.release(addr, c, resp)
	return nil
}

// Open sends req and reads the head of the answer; the body is read from the
// returned stream, which must be closed.
func (d *Dialer) Open(ctx context.Context, addr netip.AddrPort, req *fasthttp.Request, resp *fasthttp.Response, o Options) (io.ReadCloser, error) {
	c, stop, err := d.send(ctx, addr, req, o)
	if err != nil {
		return nil, err
	}
	resp.StreamBody = true
	if err := resp.ReadLimitBody(c.r, o.Body); err != nil {
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

func (d *Dialer) get(ctx context.Context, addr netip.AddrPort, o Options) (*conn, error) {
	idle := o.Idle
	if idle <= 0 {
		idle = d.idle
	}
	if !o.Fresh {
		if c := d.take(addr); c != nil {
			c.idle = idle
			c.written = 0
			return c, nil
		}
	}
	c, err := d.dial(ctx, addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no connection to %s", addr)
	}
	return newConn(c, idle), nil
}

func (d *Dialer) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: d.connect, KeepAliveConfig: keepAlive()}
	if d.from.IsValid() && !d.from.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.from, 0))
	}
	return dialer.DialContext(ctx, "tcp", addr.String())
}

// Refused reports whether nobody listens at addr. It opens a connection for it, which
// it closes at once.
func (d *Dialer) Refused(ctx context.Context, addr netip.AddrPort) bool {
	c, err := d.dial(ctx, addr)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (d *Dialer) take(addr netip.AddrPort) *conn {
	for {
		c := d.pop(addr)
		if c == nil || c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (d *Dialer) pop(addr netip.AddrPort) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.spare[addr]
	if len(s) == 0 {
		return nil
	}
	c := s[len(s)-1]
	d.spare[addr] = s[:len(s)-1]
	return c
}

func (d *Dialer) release(addr netip.AddrPort, c *conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.spare[addr]) >= d.keep {
		_ = c.Close()
		return
	}
	d.spare[addr] = append(d.spare[addr], c)
}

// cause prefers the context's own reason to the broken connection it left.
func cause(ctx context.Context, err error) error {
	if e := context.Cause(ctx); e != nil {
		return e
	}
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Timeout reports whether err came from a deadline.
func Timeout(err error) bool {
	// The codec has an error of its own for it, which is no net.Error.
	var n interface{ Timeout() bool }
	return errors.As(err, &n) && n.Timeout()
}

type stream struct {
	io.Reader
	conn *conn
	stop func() bool
}

// Close ends the connection: a stream's is never reused.
func (s *stream) Close() error {
	s.stop()
	return trace.Wrap(s.conn.Close())
}
