// Package httpd serves HTTP for the stand-ins. It drops the library's log
// lines, as stand-ins break connections on purpose.
package httpd

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// maxBody is the largest request body that a stand-in takes, in bytes.
const maxBody = 4 << 20

// Serve answers on ln with handle until ctx ends.
func Serve(ctx context.Context, ln net.Listener, name string, handle fasthttp.RequestHandler) error {
	s := &fasthttp.Server{
		Handler:            handle,
		Name:               name,
		MaxRequestBodySize: maxBody,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
		Logger:             quiet{},
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// quiet drops every line.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// cutPoll is how often a link that is cut looks whether it still is.
const cutPoll = 20 * time.Millisecond

// Swallow holds a connection in silence while its other end is at the address
// that from returns, and reports whether it was held at all. Such a connection
// is closed once the cut is over.
func Swallow(conn net.Conn, from func() netip.Addr) bool {
	to, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	addr := to.AddrPort().Addr().Unmap()
	held := false
	for from() == addr {
		held = true
		time.Sleep(cutPoll)
	}
	if held {
		_ = conn.Close()
	}
	return held
}

// Address reads an IP address; what is none gives the zero one.
func Address(text []byte) netip.Addr {
	a, err := netip.ParseAddr(string(text))
	if err != nil {
		return netip.Addr{}
	}
	return a
}
