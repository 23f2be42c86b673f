package httpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// startServer runs f for each connection to a new listener, numbered from 0.
func startServer(t *testing.T, f func(n int, c net.Conn, r *bufio.Reader)) netip.AddrPort {
	t.Helper()
	return startListener(t, f).Addr().(*net.TCPAddr).AddrPort()
}

func startListener(t *testing.T, f func(n int, c net.Conn, r *bufio.Reader)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g, ctx := errgroup.WithContext(context.Background())
	ctx, cancel := context.WithCancel(ctx)
	g.Go(func() error {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			context.AfterFunc(ctx, func() { _ = c.Close() })
			g.Go(func() error {
				f(n, c, bufio.NewReader(c))
				return c.Close()
			})
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = ln.Close()
		_ = g.Wait()
	})
	return ln
}

// readRequest reads one request and returns its path.
func readRequest(r *bufio.Reader) (string, error) {
	var req fasthttp.Request
	err := req.Read(r)
	return string(req.URI().Path()), err
}

func writeResponse(c net.Conn, body string) {
	var resp fasthttp.Response
	resp.SetBodyString(body)
	w := bufio.NewWriter(c)
	_ = resp.Write(w)
	_ = w.Flush()
}

func do(d *Dialer, addr netip.AddrPort, path string, o Options) (string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI(path)
	o.MaxBody = 1 << 20
	err := d.Do(context.Background(), addr, &req, &resp, o)
	return string(resp.Body()), err
}

func newDialer() *Dialer { return New(netip.Addr{}, time.Second, 300*time.Millisecond, 4) }

// TestLateResponse guards against a late response that is taken for that of the
// next request. The server responds after the request has timed out.
func TestLateResponse(t *testing.T) {
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := readRequest(r)
			if err != nil {
				return
			}
			if path == "/slow" {
				time.Sleep(400 * time.Millisecond)
			}
			writeResponse(c, path)
		}
	})
	d := newDialer()
	for range 3 {
		_, err := do(d, addr, "/slow", Options{})
		assert.Assert(t, IsTimeout(err), "%v", err)
		time.Sleep(150 * time.Millisecond)
		body, err := do(d, addr, "/fast", Options{})
		assert.NilError(t, err)
		assert.Equal(t, body, "/fast")
	}
}

// TestDuplicateResponse guards against a duplicate response that is taken for that
// of the next request. The server sends every response twice.
func TestDuplicateResponse(t *testing.T) {
	duplicateSent := make(chan struct{}, 3)
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			path, err := readRequest(r)
			if err != nil {
				return
			}
			writeResponse(c, path)
			time.Sleep(20 * time.Millisecond)
			writeResponse(c, path)
			duplicateSent <- struct{}{}
		}
	})
	d := newDialer()
	for _, path := range []string{"/a", "/b", "/c"} {
		body, err := do(d, addr, path, Options{})
		assert.NilError(t, err)
		assert.Equal(t, body, path)
		<-duplicateSent
		time.Sleep(50 * time.Millisecond)
	}
}

func TestReuse(t *testing.T) {
	conns := make(chan int, 10)
	addr := startServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		conns <- n
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			writeResponse(c, "ok")
		}
	})
	d := newDialer()
	for range 3 {
		_, err := do(d, addr, "/", Options{})
		assert.NilError(t, err)
	}
	assert.Equal(t, len(conns), 1, "an idle connection is reused")
	_, err := do(d, addr, "/", Options{NewConn: true})
	assert.NilError(t, err)
	assert.Equal(t, len(conns), 2, "a new connection is dialled")
}

func TestErrors(t *testing.T) {
	var httpErr *Error
	t.Run("no connection", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		_ = ln.Close()
		_, err = do(newDialer(), addr, "/", Options{})
		assert.Assert(t, errors.As(err, &httpErr))
		assert.Assert(t, httpErr.Unsent() && httpErr.Stage == Connect)
	})
	t.Run("closed without a response", func(t *testing.T) {
		addr := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
		_, err := do(newDialer(), addr, "/", Options{})
		assert.Assert(t, errors.As(err, &httpErr))
		assert.Assert(t, !httpErr.Unsent() && httpErr.Stage == Read && httpErr.Written > 0)
	})
	t.Run("closed in the body", func(t *testing.T) {
		addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
		})
		_, err := do(newDialer(), addr, "/", Options{})
		assert.Assert(t, errors.As(err, &httpErr))
		assert.Equal(t, httpErr.Stage, Read)
	})
	t.Run("the caller's context ends", func(t *testing.T) {
		addr := startServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			_, _ = readRequest(r)
			time.Sleep(200 * time.Millisecond)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		var req fasthttp.Request
		var resp fasthttp.Response
		err := newDialer().Do(ctx, addr, &req, &resp, Options{MaxBody: 10})
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	})
}
