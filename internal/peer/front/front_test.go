package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/policy/hold"
	"umberladder/internal/test/check"
)

var limits = Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}

var statuses = map[ErrorKind]int{Malformed: 400, HeaderTooLarge: 431, BodyTooLarge: 413, RequestTimeout: 408, Overloaded: 503, Unservable: 507}

// startServer serves a handler on a loopback port and returns a function that
// connects to it.
func startServer(t *testing.T, h Handler) (*Server, func() net.Conn) {
	t.Helper()
	return startServerWith(t, h, &testGate{})
}

// startServerWith is like startServer, with a gate.
func startServerWith(t *testing.T, h Handler, gate Gate) (*Server, func() net.Conn) {
	t.Helper()
	return serve(t, h, gate, hold.NewPool(hold.Limits{Memory: 8 << 20}), limits)
}

// startBoundedServer is like startServer, with a pool and limits.
func startBoundedServer(t *testing.T, h Handler, held *hold.Pool, l Limits) (*Server, func() net.Conn) {
	t.Helper()
	return serve(t, h, &testGate{}, held, l)
}

func serve(t *testing.T, h Handler, gate Gate, held *hold.Pool, l Limits) (*Server, func() net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	reject := func(w *ResponseWriter, _ *Request, f Fault) {
		_ = w.WriteResponse(statuses[f.Kind], nil, []byte(f.Detail))
	}
	s := New(h, reject, func() Limits { return l }, gate, held, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		_ = ln.Close()
		_ = g.Wait()
		s.Wait()
		for _, c := range []hold.Class{hold.Connections, hold.Requests, hold.Responses} {
			assert.Equal(t, held.Held(c), 0, "bytes held once all connections are closed")
		}
	})
	return s, func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(3*time.Second)))
		return c
	}
}

// echo responds with the parts of the request.
func echo(_ context.Context, r *Request, w *ResponseWriter) {
	_ = w.WriteResponse(200, []call.HeaderField{{Name: "X-Own", Value: "1"}}, fmt.Appendf(nil, "%s %s %s %q %d", r.Method, r.Target, r.Host, r.Body, len(r.HeaderFields)))
}

// send writes raw bytes and returns everything received until the connection is
// closed.
func send(t *testing.T, c net.Conn, raw string) string {
	t.Helper()
	_, err := io.WriteString(c, raw)
	assert.NilError(t, err)
	b, _ := io.ReadAll(c)
	return string(b)
}

func TestRequests(t *testing.T) {
	_, dial := startServer(t, echo)
	const closeHeader = "Connection: close\r\n\r\n"
	for name, tc := range map[string]struct{ raw, want string }{
		"no body":                        {"GET /a/b?c=%41 HTTP/1.1\r\nHost: h\r\n" + closeHeader, `GET /a/b?c=%41 h "" 0`},
		"a length":                       {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" + closeHeader + "abc", `"abc"`},
		"a chunked body":                 {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" + closeHeader + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", `"abc"`},
		"a get with a body":              {"GET /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n" + closeHeader + "abc", `GET /a/ h "abc" 0`},
		"connection-specific fields":     {"GET /a/ HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-B: 2\r\nKeep-Alive: 5\r\nConnection: close, X-B\r\n\r\n", `"" 1`},
		"two lengths":                    {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400"},
		"a length and chunked coding":    {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"an invalid length":              {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", "400"},
		"an unsupported transfer coding": {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400"},
		"a space before the colon":       {"GET /a/ HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", "400"},
		"two hosts":                      {"GET /a/ HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400"},
		"no host":                        {"GET /a/ HTTP/1.1\r\n\r\n", "400"},
		"an absolute target":             {"GET http://h/a/ HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
		"a long header section":          {"GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", "431"},
		"a long body":                    {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "413"},
		"a long chunked body":            {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + "3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n", "413"},
		"an incomplete header section":   {"GET /a/ HTTP/1.1\r\nHost: h\r\n", "408"},
		"not HTTP":                       {"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", "400"},
		"a body after 100 Continue":      {"POST /a/ HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n" + closeHeader + "abc", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"},
		"a truncated body":               {"", ""},
		"two pipelined requests":         {"GET /1/ HTTP/1.1\r\nHost: h\r\n\r\nGET /2/ HTTP/1.1\r\nHost: h\r\n" + closeHeader, "GET /2/ h"},
	} {
		t.Run(name, func(t *testing.T) {
			if tc.raw == "" {
				c := dial()
				_, _ = io.WriteString(c, "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
				assert.NilError(t, c.(*net.TCPConn).CloseWrite())
				b, _ := io.ReadAll(c)
				assert.Equal(t, string(b), "")
				return
			}
			got := send(t, dial(), tc.raw)
			assert.Assert(t, strings.Contains(got, tc.want), "%q in %q", tc.want, got)
			if strings.HasPrefix(tc.want, "4") {
				assert.Equal(t, strings.Count(got, "HTTP/1.1"), 1, "no further request is read after one that can't be parsed")
			}
		})
	}
}

// TestClientDisconnect checks that a handler's context is canceled when the
// client closes its connection during the request.
func TestClientDisconnect(t *testing.T) {
	elapsed := make(chan time.Duration, 1)
	_, dial := startServer(t, func(ctx context.Context, _ *Request, w *ResponseWriter) {
		start := time.Now()
		<-ctx.Done()
		elapsed <- time.Since(start)
		w.Abort()
	})
	c := dial()
	_, _ = io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	assert.Assert(t, <-elapsed < 500*time.Millisecond)
}

func TestChunkedResponse(t *testing.T) {
	_, dial := startServer(t, func(_ context.Context, r *Request, w *ResponseWriter) {
		_ = w.WriteHeader(200, nil)
		_ = w.WriteChunk([]byte("one"))
		if r.Path == "/cut/" {
			w.Abort()
			return
		}
		_ = w.WriteChunk([]byte("two"))
		_ = w.Finish()
	})
	complete := send(t, dial(), "GET /all/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	assert.Assert(t, strings.HasSuffix(complete, "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"), "%q", complete)
	cut := send(t, dial(), "GET /cut/ HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Assert(t, !strings.HasSuffix(cut, "0\r\n\r\n"), "an aborted response looks complete: %q", cut)
}

func TestDrain(t *testing.T) {
	s, dial := startServer(t, echo)
	kept, idle := dial(), dial()
	for _, c := range []net.Conn{kept, idle} {
		_, _ = io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
		line, err := bufio.NewReader(c).ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 200 OK\r\n")
	}
	time.Sleep(20 * time.Millisecond)
	s.Drain()
	got := send(t, kept, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Assert(t, strings.Contains(got, "Connection: close"), "%q", got)
	s.CloseIdle(time.Millisecond)
	_, err := idle.Read(make([]byte, 1))
	for err == nil {
		_, err = idle.Read(make([]byte, 100))
	}
	assert.ErrorIs(t, err, io.EOF)
	check.Eventually(t, time.Second, "both connections are closed", func() bool { return s.OpenConns() == 0 })
}

// testGate rejects connections while closed is set, and has open ones closed while it sheds.
type testGate struct{ closed, shedding atomic.Bool }

func (g *testGate) Admit(time.Time) bool    { return !g.closed.Load() }
func (g *testGate) Shedding(time.Time) bool { return g.shedding.Load() }

// TestShedding checks that a connection that is not admitted is closed with its request unread,
// and that open ones serve their next request and are closed after it.
func TestShedding(t *testing.T) {
	var served atomic.Int64
	gate := &testGate{}
	_, dial := startServerWith(t, func(ctx context.Context, r *Request, w *ResponseWriter) {
		served.Add(1)
		echo(ctx, r, w)
	}, gate)
	open := dial()
	_, _ = io.WriteString(open, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
	line, err := bufio.NewReader(open).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 200 OK\r\n")
	gate.closed.Store(true)
	gate.shedding.Store(true)
	c, err := net.Dial("tcp", open.RemoteAddr().String())
	if err == nil { // else it was reset before the client knew that it was open
		defer func() { assert.NilError(t, c.Close()) }()
		_, _ = io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n") // fails if the connection is closed already
		n, err := c.Read(make([]byte, 1))
		assert.Assert(t, n == 0 && err != nil)
	}
	got := send(t, open, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Assert(t, strings.Contains(got, "Connection: close"), "%q", got)
	assert.Equal(t, served.Load(), int64(2))
}
