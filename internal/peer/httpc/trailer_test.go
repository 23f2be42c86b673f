package httpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestTrailer guards against responses whose trailer holds lines that are no fields, and against
// sound ones that are rejected. Calls that forward the body end with its last chunk, and pass no
// trailer on.
func TestTrailer(t *testing.T) {
	for name, tc := range map[string]struct {
		trailer string
		sound   bool
	}{
		"empty":                       {trailer: "\r\n", sound: true},
		"the connection ends instead": {trailer: "", sound: true},
		"the connection ends in it":   {trailer: "X-Note: a\r\n", sound: true},
		"fields":                      {trailer: "X-Note: a b: c\r\nX-Other:\r\n\r\n", sound: true},
		"every character of a token":  {trailer: "!#$%&'*+-.^_`|~09AZaz: \xe9\r\n\r\n", sound: true},
		"a value on two lines":        {trailer: "X-Note: a\r\n b\r\n\r\n", sound: true},
		"a blank in a name":           {trailer: "X Note: a\r\n\r\n"},
		"a blank before a colon":      {trailer: "X-Other: b\r\nX-Note : a\r\n\r\n"},
		"a control byte in a name":    {trailer: "X-\x01Note: a\r\n\r\n"},
		"an empty name":               {trailer: ": a\r\n\r\n"},
		"a line without a colon":      {trailer: "X-Note\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"+tc.trailer)
			})
			body, err := do(newDialer(), addr, "/", Options{})
			assert.Equal(t, err == nil, tc.sound, "a whole body: %v", err)
			if tc.sound {
				assert.Equal(t, body, "abc")
			}

			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("/")
			stream, err := newDialer().DoStream(context.Background(), addr, req, resp, Options{})
			assert.NilError(t, err)
			assertBody(t, stream, tc.sound)

			h := &fasthttp.RequestHeader{}
			h.SetRequestURI("/")
			h.SetHost("h")
			raw, err := newDialer().DoRaw(context.Background(), addr, h, nil, Options{})
			assert.NilError(t, err)
			assertBody(t, raw.Body, true)
			assert.Equal(t, len(raw.Header.Peek("X-Note")), 0)
		})
	}
}

// assertBody fails the test unless a body of "abc" ends regularly, or with an error if it is not
// sound.
func assertBody(t *testing.T, body io.ReadCloser, sound bool) {
	t.Helper()
	got, err := io.ReadAll(body)
	assert.Equal(t, err == nil, sound, "%v", err)
	assert.Equal(t, string(got), "abc")
	_, again := body.Read(make([]byte, 1))
	assert.Equal(t, errors.Is(again, io.EOF), sound, "the next read: %v", again)
	assert.NilError(t, body.Close())
}
