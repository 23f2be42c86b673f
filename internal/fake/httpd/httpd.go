// Package httpd serves HTTP for the fakes. It discards the log lines of the HTTP
// library, because fakes break connections on purpose.
package httpd

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 4 << 20

// Serve serves HTTP on ln with handle until ctx is done. It then returns nil.
func Serve(ctx context.Context, ln net.Listener, name string, handle fasthttp.RequestHandler) error {
	s := &fasthttp.Server{
		Handler:            handle,
		Name:               name,
		MaxRequestBodySize: maxBodyBytes,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
		Logger:             discardLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := s.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// discardLogger discards all log lines.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// RespondRaw sends text in place of a response, and closes the connection.
func RespondRaw(ctx *fasthttp.RequestCtx, text string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = io.WriteString(c, text) }) // fails if the client has closed the connection
}

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

// ParseAddr parses an IP address. It returns the zero address for invalid text.
func ParseAddr(text []byte) netip.Addr {
	a, err := netip.ParseAddr(string(text))
	if err != nil {
		return netip.Addr{}
	}
	return a
}
