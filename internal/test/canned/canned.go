// Package canned provides servers that send the same bytes to every request, for tests of what
// clients take for a response.
package canned

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// Serve sends text to each request, and closes its connection, until the test ends. It returns the
// address on which it listens.
func Serve(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			g.Go(func() error {
				var req fasthttp.Request
				if req.Read(bufio.NewReader(c)) == nil {
					_, _ = io.WriteString(c, text) // fails if the client has closed the connection
				}
				return c.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		assert.NilError(t, g.Wait())
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}
