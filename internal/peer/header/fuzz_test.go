package header

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// FuzzRead guards against headers that are accepted with a status or a field name that no
// response has, and against bodies that another recipient would end elsewhere. The standard library
// is the other one.
func FuzzRead(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 05\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA : b\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.0 404\r\nContent-Length:\r\n 5\r\n\r\n",
		"HTTP/1.1 200 OK\nA: b\n\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var h fasthttp.ResponseHeader
		if Read(bufio.NewReader(strings.NewReader(text)), &h) != nil {
			return
		}
		assert.Assert(t, h.StatusCode() >= 200 && h.StatusCode() < 600, "status %d", h.StatusCode())
		for name := range h.All() {
			assert.Assert(t, isToken(name), "%q", name)
		}
		other, err := readByLibrary(text)
		if err != nil {
			return // the library rejects some that are accepted here
		}
		defer func() { _ = other.Body.Close() }()
		if h.StatusCode() == http.StatusNoContent || h.StatusCode() == http.StatusNotModified {
			return // such a response has no body
		}
		want := other.ContentLength
		if want == -1 && len(other.TransferEncoding) == 0 {
			want = identityLength
		}
		assert.Equal(t, int64(h.ContentLength()), want)
	})
}

// identityLength is the codec's length of a body that ends with its connection.
const identityLength = -2

// readByLibrary reads the final response in text with the standard library.
func readByLibrary(text string) (*http.Response, error) {
	r := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || !isInterim(resp.StatusCode) {
			return resp, err
		}
		_ = resp.Body.Close()
	}
}
