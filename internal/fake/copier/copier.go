// Package copier copies an engine's answers to its callers and does nothing
// else: the least that any relay must do, to measure against.
package copier

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/fake/httpd"
	"umberladder/internal/peer/link"
)

const (
	bufferSize = 4096
	waitTime   = 10 * time.Second
	maxHead    = 1 << 16
)

// Server copies one engine's answers.
type Server struct {
	engine netip.AddrPort
	dialer *link.Dialer
}

// New makes a copier of the engine at addr.
func New(addr netip.AddrPort) *Server {
	return &Server{engine: addr, dialer: link.New(netip.Addr{}, time.Second, waitTime, 1)}
}

// Serve answers on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, "copy", s.handle)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	var resp fasthttp.Response
	body, err := s.dialer.Open(context.Background(), s.engine, &ctx.Request, &resp, link.Options{Fresh: true, Body: maxHead})
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
