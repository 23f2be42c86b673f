package linger

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestDrain guards against a response that is lost to a connection reset, because the
// server closes the connection while the client is still sending its request.
func TestDrain(t *testing.T) {
	const response = "rejected"
	for name, late := range map[string]int{"nothing more is sent": 0, "33 KB are sent after the response": 33 << 10, "1 MB is sent after the response": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			responded := make(chan error, 1)
			var g errgroup.Group
			g.Go(func() error {
				serveOnce(ln, response, responded)
				return nil
			})
			c, err := net.Dial("tcp", ln.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "request")
			assert.NilError(t, err)
			assert.NilError(t, <-responded)
			_, err = io.WriteString(c, strings.Repeat("x", late))
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond) // a reset would arrive meanwhile
			got, err := io.ReadAll(c)
			assert.NilError(t, err)
			assert.Equal(t, string(got), response)
			assert.NilError(t, c.Close())
			_ = g.Wait()
		})
	}
}

// serveOnce responds to the first bytes of one connection and closes it.
func serveOnce(ln net.Listener, response string, responded chan<- error) {
	c, err := ln.Accept()
	if err != nil {
		responded <- err
		return
	}
	defer func() { _ = c.Close() }()
	if _, err = c.Read(make([]byte, 4)); err == nil {
		_, err = io.WriteString(c, response)
	}
	responded <- err
	Drain(c)
}
