package header

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestReadHeader guards against bytes that are taken for a response because they hold a word and a
// number, and against sound responses that are rejected.
func TestReadHeader(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for name, tc := range map[string]struct {
		text   string
		status int // 0: no response
	}{
		"a response":                   {text: final, status: 200},
		"no reason phrase":             {text: "HTTP/1.1 503 \r\n\r\n", status: 503},
		"no space after the status":    {text: "HTTP/1.1 404\r\n\r\n", status: 404},
		"an older version":             {text: "HTTP/1.0 200 OK\r\n\r\n", status: 200},
		"an interim response first":    {text: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + final, status: 200},
		"many interim responses":       {text: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterim) + final, status: 200},
		"too many interim responses":   {text: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterim+1) + final},
		"a word and a number":          {text: "job 221 aborted\r\n\r\n"},
		"a number and a word":          {text: "200 OK\r\n\r\n"},
		"another protocol":             {text: "ICY 200 OK\r\n\r\n"},
		"another version":              {text: "HTTP/2 200\r\n\r\n"},
		"lower case":                   {text: "http/1.1 200 OK\r\n\r\n"},
		"two digits":                   {text: "HTTP/1.1 20\r\n\r\n"},
		"four digits":                  {text: "HTTP/1.1 2000\r\n\r\n"},
		"a sign":                       {text: "HTTP/1.1 +20 OK\r\n\r\n"},
		"status 000":                   {text: "HTTP/1.1 000 OK\r\n\r\n"},
		"status 000 without a reason":  {text: "HTTP/1.1 000\r\n\r\n"},
		"status 000, then a sound one": {text: "HTTP/1.1 000 OK\r\n\r\n" + final},
		"the lowest status":            {text: "HTTP/1.1 200 \r\n\r\n", status: 200},
		"the highest status":           {text: "HTTP/1.1 599 \r\n\r\n", status: 599},
		"a status out of range":        {text: "HTTP/1.1 600 OK\r\n\r\n"},
		"another status out of range":  {text: "HTTP/1.1 099 OK\r\n\r\n"},
		"two spaces":                   {text: "HTTP/1.1  200 OK\r\n\r\n"},
		"an empty line first":          {text: "\r\n" + final},
		"an interim response, then no": {text: "HTTP/1.1 100 Continue\r\n\r\njob 200\r\n\r\n"},
		"the start of a status line":   {text: "HTTP/1.1 2"},
		"nothing":                      {},
	} {
		for how, r := range map[string]io.Reader{"at once": strings.NewReader(tc.text), "byte by byte": iotest.OneByteReader(strings.NewReader(tc.text))} {
			t.Run(name+" "+how, func(t *testing.T) {
				var h fasthttp.ResponseHeader
				err := Read(bufio.NewReader(r), &h)
				assert.Equal(t, err == nil, tc.status != 0, "%v", err)
				if err == nil {
					assert.Equal(t, h.StatusCode(), tc.status)
				}
			})
		}
	}
}
