package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/header"
	"umberladder/internal/peer/httpc"
)

// Path is the path of requests for tunnels.
const Path = "/tunnel"

const (
	headerServer  = "Umberladder-Server"
	headerNewWork = "Umberladder-New-Work" // present: the server must accept new work
	headerReason  = "Umberladder-Reason"
)

// Dialer opens connections to other VMs.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Client opens tunnels through other VMs. It is safe for concurrent use.
type Client struct {
	dialer Dialer
}

// NewClient returns a Client that dials with d.
func NewClient(d Dialer) *Client { return &Client{dialer: d} }

// Connect connects to a server through the VM at via. newWork says whether the server is to
// run a call from its start. The error is one of this package's if the VM declines.
func (c *Client) Connect(ctx context.Context, via netip.AddrPort, server ident.Server, newWork bool) (net.Conn, error) {
	nc, err := c.dialer.Dial(ctx, via)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	t, err := open(nc, server, newWork)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return t, nil
}

// open requests a tunnel over a new connection to another VM.
func open(nc net.Conn, server ident.Server, newWork bool) (net.Conn, error) {
	var req fasthttp.RequestHeader
	req.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(Path)
	req.SetHost(nc.RemoteAddr().String())
	req.SetContentLength(0)
	req.Set(headerServer, string(server))
	if newWork {
		req.Set(headerNewWork, "1")
	}
	if _, err := nc.Write(req.Header()); err != nil {
		return nil, trace.Wrap(err)
	}
	r := bufio.NewReaderSize(nc, bufferSize)
	var resp fasthttp.ResponseHeader
	if err := header.Read(r, &resp); err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode() == fasthttp.StatusOK && httpc.IsChunked(&resp) {
		return &conn{Conn: nc, r: httputil.NewChunkedReader(r)}, nil
	}
	if reason, ok := reasons[string(resp.Peek(headerReason))]; ok {
		return nil, reason
	}
	return nil, trace.Errorf("tunnel: unexpected status %d", resp.StatusCode())
}

// conn is a connection to a server through another VM.
type conn struct {
	net.Conn
	r io.Reader
}

// Read implements net.Conn. It returns io.EOF only if the server closed its connection.
func (c *conn) Read(p []byte) (int, error) { return c.r.Read(p) }
