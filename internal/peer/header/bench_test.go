package header

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// BenchmarkRead reads the header of a response of usual size, which has arrived as a whole.
func BenchmarkRead(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 10:00:00 GMT\r\nContent-Type: application/json\r\n" +
		"Content-Length: 312\r\nServer: x\r\nCache-Control: no-store\r\nServer-Limit: 120.5\r\n" +
		"X-Request-Identifier: 0123456789abcdef0123456789abcdef\r\nX-Response-Signature: " +
		"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n\r\n"
	r := bufio.NewReaderSize(nil, 4096)
	var h fasthttp.ResponseHeader
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(strings.NewReader(text))
		assert.NilError(b, Read(r, &h))
	}
}
