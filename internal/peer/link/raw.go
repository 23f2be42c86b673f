package link

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a peer that went away
	// silently within 4 s.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 3
)

// Answer is the answer to one exchange. Its body must be closed, which ends
// the connection.
type Answer struct {
	Header fasthttp.ResponseHeader
	Body   io.ReadCloser // ends with io.EOF only if the body is whole
}

// Send writes a head and a body on a connection of its own, byte for byte, and
// reads the head of the answer.
func (d *Dialer) Send(ctx context.Context, addr netip.AddrPort, head *fasthttp.RequestHeader, body []byte, o Options) (*Answer, error) {
	o.Fresh = true
	c, err := d.get(ctx, addr, o)
	if err != nil {
		return nil, &Error{Stage: Connect, Err: cause(ctx, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	a, failed := c.exchange(head, body)
	if failed != nil {
		stop()
		_ = c.Close()
		failed.Err = cause(ctx, failed.Err)
		return nil, failed
	}
	a.Body = &stream{Reader: a.Body, conn: c, stop: stop}
	return a, nil
}

func (c *conn) exchange(head *fasthttp.RequestHeader, body []byte) (*Answer, *Error) {
	_, err := c.w.Write(head.Header())
	if err == nil {
		_, err = c.w.Write(body)
	}
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		return nil, &Error{Stage: Write, Written: c.written, Err: err}
	}
	a := &Answer{}
	if err := c.readHead(&a.Header); err != nil {
		return nil, &Error{Stage: Read, Written: c.written, Err: err}
	}
	a.Body = io.NopCloser(c.body(&a.Header, head.IsHead()))
	return a, nil
}

// readHead reads the head of the final answer and passes over informational ones.
func (c *conn) readHead(h *fasthttp.ResponseHeader) error {
	h.DisableNormalizing()
	for {
		if err := h.Read(c.r); err != nil {
			return err
		}
		if s := h.StatusCode(); s < 100 || s >= 200 {
			return nil
		}
	}
}

// body returns a reader of the body that tells a whole one from one cut short.
func (c *conn) body(h *fasthttp.ResponseHeader, none bool) io.Reader {
	n := h.ContentLength()
	switch s := h.StatusCode(); {
	case none || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified || n == 0:
		return eof{}
	case n == -1:
		return httputil.NewChunkedReader(c.r)
	case n > 0:
		return &exact{r: c.r, left: n}
	default:
		return c.r // ends with the connection
	}
}

type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// exact reads a body of known length.
type exact struct {
	r    io.Reader
	left int
}

func (e *exact) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	if len(p) > e.left {
		p = p[:e.left]
	}
	n, err := e.r.Read(p)
	e.left -= n
	if errors.Is(err, io.EOF) && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount}
}
