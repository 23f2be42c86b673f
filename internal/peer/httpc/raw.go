package httpc

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/header"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect within 4 s a peer that
	// vanished without closing the connection.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Response is the response to one request. The caller must close its body,
// which closes the connection.
type Response struct {
	Header fasthttp.ResponseHeader
	Body   io.ReadCloser // ends with io.EOF only if the body is complete
}

// DoRaw sends a request with the given header and body unchanged, over a new
// connection, and reads the header of the response.
func (d *Dialer) DoRaw(ctx context.Context, addr netip.AddrPort, h *fasthttp.RequestHeader, body []byte, o Options) (*Response, error) {
	nc, err := d.Dial(ctx, addr)
	if err != nil {
		return nil, &Error{Stage: Connect, Err: cause(ctx, err)}
	}
	return Exchange(ctx, nc, h, body, cmp.Or(o.IdleTimeout, d.idleTimeout))
}

// Exchange sends a request with the given header and body unchanged over a new connection,
// and reads the header of the response. It closes the connection if that fails, and
// otherwise with the body of the response. idleTimeout is the maximum time without data.
func Exchange(ctx context.Context, nc net.Conn, h *fasthttp.RequestHeader, body []byte, idleTimeout time.Duration) (*Response, error) {
	c := newConn(nc, idleTimeout)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp, exchangeErr := c.roundTrip(h, body)
	if exchangeErr != nil {
		stop()
		_ = c.Close()
		exchangeErr.Err = cause(ctx, exchangeErr.Err)
		return nil, exchangeErr
	}
	resp.Body = &stream{Reader: resp.Body, conn: c, stop: stop}
	return resp, nil
}

func (c *conn) roundTrip(h *fasthttp.RequestHeader, body []byte) (*Response, *Error) {
	_, err := c.w.Write(h.Header())
	if err == nil {
		_, err = c.w.Write(body)
	}
	if err == nil {
		err = c.w.Flush()
	}
	if err != nil {
		return nil, &Error{Stage: Write, Written: c.written, Err: err}
	}
	resp := &Response{}
	resp.Header.DisableNormalizing()
	if err := header.Read(c.r, &resp.Header); err != nil {
		return nil, &Error{Stage: Read, Written: c.written, Err: err}
	}
	resp.Body = io.NopCloser(c.body(&resp.Header, h.IsHead()))
	return resp, nil
}

// body returns a reader of the response's body, which returns an error other
// than io.EOF if the body is truncated.
func (c *conn) body(h *fasthttp.ResponseHeader, noBody bool) io.Reader {
	n := h.ContentLength()
	switch {
	case noBody || hasNoBody(h.StatusCode()) || n == 0:
		return emptyBody{}
	case IsChunked(h):
		return httputil.NewChunkedReader(c.r)
	case n > 0:
		return &limitedBody{r: c.r, remaining: n}
	default:
		return c.r // the body ends when the peer closes the connection
	}
}

// IsChunked reports whether the body of a response comes in chunks, for which fasthttp states the
// length -1.
func IsChunked(h *fasthttp.ResponseHeader) bool { return h.ContentLength() == -1 }

// hasNoBody reports whether a final response with the given status never has a body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// limitedBody reads a body of known length.
type limitedBody struct {
	r         io.Reader
	remaining int
}

func (b *limitedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if len(p) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= n
	if errors.Is(err, io.EOF) && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// KeepAlive returns the keep-alive configuration of connections to other processes.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}
