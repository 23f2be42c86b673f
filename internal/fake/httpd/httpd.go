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

// blackholePoll is the interval at which Blackhole checks whether the partition
// still exists.
const blackholePoll = 20 * time.Millisecond

// Blackhole simulates a network partition: it blocks, sending nothing, while
// the remote address of conn equals the one that partitioned returns. It reports
// whether it blocked. A blocked connection is closed when the partition ends.
func Blackhole(conn net.Conn, partitioned func() netip.Addr) bool {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	remoteAddr := remote.AddrPort().Addr().Unmap()
	blocked := false
	for partitioned() == remoteAddr {
		blocked = true
		time.Sleep(blackholePoll)
	}
	if blocked {
		_ = conn.Close()
	}
	return blocked
}

// Address reads an IP address; what is none gives the zero one.
func Address(text []byte) netip.Addr {
	a, err := netip.ParseAddr(string(text))
	if err != nil {
		return netip.Addr{}
	}
	return a
}
