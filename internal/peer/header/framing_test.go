package header

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFraming guards against headers that state the length of the body in two ways, of which the
// codec takes one, and against sound ones that are rejected.
func TestFraming(t *testing.T) {
	for name, tc := range map[string]struct {
		lines  string
		length int // -1: chunks, -2: until the connection ends
		sound  bool
	}{
		"a length":                        {lines: "Content-Length: 5\r\n", length: 5, sound: true},
		"the same length twice":           {lines: "Content-Length: 5\r\nA: b\r\ncontent-length:5 \r\n", length: 5, sound: true},
		"the same length with zeros":      {lines: "Content-Length: 5\r\nContent-Length: 005\r\n", length: 5, sound: true},
		"zero twice":                      {lines: "Content-Length: 0\r\nContent-Length: 00\r\n", sound: true},
		"the same length on another line": {lines: "Content-Length:\r\n 5\r\nContent-Length: 5\r\n", length: 5, sound: true},
		"a length and chunks":             {lines: "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", length: -1, sound: true},
		"neither":                         {lines: "A: b\r\n", length: -2, sound: true},
		"a value like a length":           {lines: "A: Content-Length: 4\r\nB: c\r\n Content-Length: 6\r\nContent-Length: 5\r\n", length: 5, sound: true},
		"two lengths":                     {lines: "Content-Length: 5\r\nContent-Length: 6\r\n"},
		"zero and a length":               {lines: "Content-Length: 0\r\nContent-Length: 6\r\n"},
		"a length and zero":               {lines: "Content-Length: 6\r\nA: b\r\nContent-Length: 0\r\n"},
		"three lengths, the second alike": {lines: "Content-Length: 6\r\nContent-Length: 6\r\nContent-Length: 7\r\n"},
		"two lengths on following lines":  {lines: "Content-Length:\r\n 5\r\nContent-Length:\r\n\t6\r\n"},
		"two lengths in other letters":    {lines: "content-length: 5\r\nCONTENT-LENGTH: 6\r\n"},
		"two lengths in one field":        {lines: "Content-Length: 5, 6\r\n"},
		"a length and no length":          {lines: "Content-Length: 5\r\nContent-Length:\r\n"},
		"a length with a sign":            {lines: "Content-Length: +5\r\n"},
		"a negative length":               {lines: "Content-Length: -1\r\n"},
		"a length with a blank":           {lines: "Content-Length: 5 6\r\n"},
		"chunks":                          {lines: "Transfer-Encoding: chunked\r\n", length: -1, sound: true},
		"chunks in other letters":         {lines: "transfer-encoding:CHUNKED \r\n", length: -1, sound: true},
		"chunks on the following line":    {lines: "Transfer-Encoding:\r\n\tchunked\r\nA: b\r\n", length: -1, sound: true},
		"no coding":                       {lines: "Transfer-Encoding:\r\nContent-Length: 5\r\n", length: 5, sound: true},
		"the identity coding":             {lines: "Transfer-Encoding: identity\r\nContent-Length: 5\r\n", length: 5, sound: true},
		"no coding, then chunks":          {lines: "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", length: -1, sound: true},
		"chunks, then no coding":          {lines: "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
		"chunks twice":                    {lines: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
		"chunks that are not last":        {lines: "Transfer-Encoding: chunked, identity\r\n"},
		"another coding":                  {lines: "Transfer-Encoding: gzip\r\n"},
		"another coding before chunks":    {lines: "Transfer-Encoding: gzip, chunked\r\n"},
		"another field before chunks":     {lines: "Transfer-Encoding: gzip\r\nA: b\r\nTransfer-Encoding: chunked\r\n"},
		"another coding beside a length":  {lines: "Content-Length: 5\r\nTransfer-Encoding: deflate\r\n"},
		"chunks with a parameter":         {lines: "Transfer-Encoding: chunked;q=1\r\n"},
		"chunks and a blank of Unicode":   {lines: "Transfer-Encoding: chunked\u00a0\r\n"},
		"a coding on two lines":           {lines: "Transfer-Encoding: chun\r\n ked\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := readHeader(t, "HTTP/1.1 200 OK\r\n"+tc.lines+"\r\n")
			assert.Equal(t, err == nil, tc.sound, "%v", err)
			if tc.sound {
				assert.Equal(t, h.ContentLength(), tc.length)
			}
		})
	}
}

// TestChunksInOldVersion guards against chunks that are read in a response of HTTP/1.0, whose framing
// is faulty (RFC 9112, section 6.1): other recipients take what frames them for a part of the body.
func TestChunksInOldVersion(t *testing.T) {
	_, err := readHeader(t, "HTTP/1.0 200 \nTrAnsfer-EnCoding: Chunked\r\n\r\n")
	assert.ErrorContains(t, err, "no HTTP response")
}
