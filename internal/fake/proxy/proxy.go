// Package proxy implements a minimal proxy that copies an engine's responses to
// its clients and does nothing else. It is the baseline for measurements.
package proxy

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/fake/httpd"
	"umberladder/internal/peer/httpc"
)

const (
	bufferSize      = 4096
	idleTimeout     = 10 * time.Second
	maxBufferedBody = 1 << 16
)

// Server forwards requests to one engine.
type Server struct {
	engine netip.AddrPort
	dialer *httpc.Dialer
}

// New returns a proxy for the engine at addr.
func New(addr netip.AddrPort) *Server {
	return &Server{engine: addr, dialer: httpc.New(netip.Addr{}, time.Second, idleTimeout, 1)}
}

// Serve accepts connections on ln until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, "copy", s.handle)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	var resp fasthttp.Response
	body, err := s.dialer.DoStream(context.Background(), s.engine, &ctx.Request, &resp, httpc.Options{NewConn: true, MaxBody: maxBufferedBody})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { _ = body.Close() }()
		buf := make([]byte, bufferSize)
		for {
			n, err := body.Read(buf)
			if n > 0 {
				if _, werr := w.Write(buf[:n]); werr != nil || w.Flush() != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	})
}
