package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestTruncatedBody guards against truncated bodies that are taken for complete ones, for
// each way in which a response can mark the end of its body.
func TestTruncatedBody(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		reset    bool
		body     string
		complete bool
	}{
		"a length":                        {response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", body: "abc", complete: true},
		"more bytes than the length":      {response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n", body: "abc", complete: true},
		"fewer bytes than the length":     {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", body: "abc"},
		"chunks":                          {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc", complete: true},
		"chunks without an end":           {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", body: "abc"},
		"until the connection closes":     {response: "HTTP/1.1 200 OK\r\n\r\nabc", body: "abc", complete: true},
		"until the connection is reset":   {response: "HTTP/1.1 200 OK\r\n\r\nabc", reset: true, body: "abc"},
		"after an informational response": {response: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", body: "a", complete: true},
		"none for 204":                    {response: "HTTP/1.1 204 No Content\r\n\r\n", complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, tc.response)
				if tc.reset {
					<-read
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			h := &fasthttp.RequestHeader{}
			h.SetMethod("GET")
			h.SetRequestURI("/")
			h.SetHost("h")
			resp, err := newDialer().DoRaw(context.Background(), addr, h, nil, Options{})
			assert.NilError(t, err)
			var got []byte
			if tc.reset {
				got = make([]byte, len(tc.body))
				_, err = io.ReadFull(resp.Body, got)
				assert.NilError(t, err)
				close(read)
			}
			rest, err := io.ReadAll(resp.Body)
			assert.Equal(t, string(append(got, rest...)), tc.body)
			assert.Equal(t, err == nil, tc.complete, "%v", err)
			assert.NilError(t, resp.Body.Close())
		})
	}
}

// TestSilentPeer guards against connections that are given up while a sound peer is silent for
// a second or two: a user timeout would decide when keep-alive probes and retransmissions end,
// whatever their count.
func TestSilentPeer(t *testing.T) {
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	nc, err := newDialer().Dial(t.Context(), addr)
	assert.NilError(t, err)
	defer func() { _ = nc.Close() }()
	raw, err := nc.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	for option, want := range map[int]int{unix.TCP_USER_TIMEOUT: 0, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3} {
		var got int
		var optErr error
		assert.NilError(t, raw.Control(func(fd uintptr) { got, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
		assert.NilError(t, optErr)
		assert.Equal(t, got, want, "option %d", option)
	}
}

// TestRequestUnchanged checks that a request arrives byte for byte.
func TestRequestUnchanged(t *testing.T) {
	got := make(chan string, 1)
	addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		b := make([]byte, 4096)
		n, _ := r.Read(b)
		got <- string(b[:n])
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	h := &fasthttp.RequestHeader{}
	h.DisableNormalizing()
	h.DisableSpecialHeader()
	h.SetMethod("POST")
	h.SetRequestURI("/a//b/../c?x=%2F&y")
	h.Add("Host", "h")
	h.Add("x-lower", "1")
	h.Add("Content-Length", "3")
	resp, err := newDialer().DoRaw(context.Background(), addr, h, []byte("abc"), Options{})
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, <-got, "POST /a//b/../c?x=%2F&y HTTP/1.1\r\nHost: h\r\nx-lower: 1\r\nContent-Length: 3\r\n\r\nabc")
}
