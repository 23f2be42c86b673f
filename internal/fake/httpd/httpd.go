// Package httpd serves HTTP for the stand-ins. It drops the library's log
// lines, as stand-ins break connections on purpose.
package httpd

import (
	"context"
	"net"

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
