package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestSend has a server answer in every way that tells, or hides, whether a
// body is whole.
func TestSend(t *testing.T) {
	for name, tc := range map[string]struct {
		answer string
		reset  bool
		body   string
		whole  bool
	}{
		"a length":                    {answer: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", body: "abc", whole: true},
		"more bytes than the length":  {answer: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n", body: "abc", whole: true},
		"fewer bytes than the length": {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", body: "abc"},
		"chunks":                      {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc", whole: true},
		"chunks without an end":       {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", body: "abc"},
		"until the end":               {answer: "HTTP/1.1 200 OK\r\n\r\nabc", body: "abc", whole: true},
		"until a reset":               {answer: "HTTP/1.1 200 OK\r\n\r\nabc", reset: true, body: "abc"},
		"after an informational one":  {answer: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", body: "a", whole: true},
		"none for 204":                {answer: "HTTP/1.1 204 No Content\r\n\r\n", whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, tc.answer)
				if tc.reset {
					<-read
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			h := &fasthttp.RequestHeader{}
			h.SetMethod("GET")
			h.SetRequestURI("/")
			h.SetHost("h")
			a, err := newDialer().Send(context.Background(), addr, h, nil, Options{})
			assert.NilError(t, err)
			var got []byte
			if tc.reset {
				got = make([]byte, len(tc.body))
				_, err = io.ReadFull(a.Body, got)
				assert.NilError(t, err)
				close(read)
			}
			rest, err := io.ReadAll(a.Body)
			assert.Equal(t, string(append(got, rest...)), tc.body)
			assert.Equal(t, err == nil, tc.whole, "%v", err)
			assert.NilError(t, a.Body.Close())
		})
	}
}

// TestSendBytes checks that a call arrives byte for byte.
func TestSendBytes(t *testing.T) {
	got := make(chan string, 1)
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
	a, err := newDialer().Send(context.Background(), addr, h, []byte("abc"), Options{})
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	assert.Equal(t, <-got, "POST /a//b/../c?x=%2F&y HTTP/1.1\r\nHost: h\r\nx-lower: 1\r\nContent-Length: 3\r\n\r\nabc")
}
