package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestEndedProcess guards against responses that are taken for complete although their
// server's process ended in the middle of them, where only the end of the connection marks the
// end of the body.
func TestEndedProcess(t *testing.T) {
	const (
		closeDelimited = "HTTP/1.1 200 OK\r\n\r\nabc"
		length         = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
		chunks         = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	)
	for name, tc := range map[string]struct {
		response string
		ends     bool // the server accepts no connections afterwards
		complete bool
	}{
		"close-delimited, the process ends":    {response: closeDelimited, ends: true},
		"close-delimited, the process goes on": {response: closeDelimited, complete: true},
		"a length, the process ends":           {response: length, ends: true, complete: true},
		"chunks, the process ends":             {response: chunks, ends: true, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			started := make(chan net.Listener, 1)
			ln := startListener(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				if tc.ends {
					_ = (<-started).Close()
				}
				_, _ = io.WriteString(c, tc.response)
			})
			started <- ln
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("/")
			err := newDialer().Do(context.Background(), ln.Addr().(*net.TCPAddr).AddrPort(), req, resp, Options{MaxBody: 100})
			assert.Equal(t, err == nil, tc.complete, "%v", err)
		})
	}
}
