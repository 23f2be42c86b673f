package header

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// readHeader reads a header that arrives at once, and byte by byte, and returns the error.
func readHeader(t *testing.T, text string) (*fasthttp.ResponseHeader, error) {
	t.Helper()
	var h, slow fasthttp.ResponseHeader
	err := Read(bufio.NewReader(strings.NewReader(text)), &h)
	slowErr := Read(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))), &slow)
	assert.Equal(t, err == nil, slowErr == nil, "at once: %v, byte by byte: %v", err, slowErr)
	return &h, err
}

// TestFieldNames guards against header fields whose name is no token and that are taken for
// fields, and against tokens that are not.
func TestFieldNames(t *testing.T) {
	const symbols = "!#$%&'*+-.^_`|~"
	for c := range 256 {
		b := string([]byte{byte(c)})
		isToken := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || c < 128 && strings.Contains(symbols, b)
		for name, form := range map[string]string{"alone": "%s", "first": "%sb", "inside": "a%sb", "last": "a%s"} {
			if b == ":" || b == "\n" {
				continue // ends the name
			}
			t.Run(fmt.Sprintf("%q %s", b, name), func(t *testing.T) {
				field := fmt.Sprintf(form, b)
				_, err := readHeader(t, "HTTP/1.1 200 OK\r\n"+field+": v\r\nOther: o\r\n\r\n")
				assert.Equal(t, err == nil, isToken, "as the first field: %v", err)
				goesOn := strings.HasPrefix(field, " ") || strings.HasPrefix(field, "\t") // the value of the line before
				h, err := readHeader(t, "HTTP/1.1 200 OK\r\nOther: o\r\n"+field+": v\r\n\r\n")
				assert.Equal(t, err == nil, isToken || goesOn, "after another field: %v", err)
				if isToken {
					assert.Equal(t, string(h.Peek(field)), "v")
				}
			})
		}
	}
}

// TestFieldLines guards against lines that are no fields and are taken for some, and against
// sound ones that are rejected.
func TestFieldLines(t *testing.T) {
	for name, tc := range map[string]struct {
		lines string
		value string // of the field A
		sound bool
	}{
		"no fields":                       {lines: "", sound: true},
		"an empty value":                  {lines: "A:\r\n", sound: true},
		"blanks and colons in a value":    {lines: "A: b : c\td\r\n", value: "b : c\td", sound: true},
		"bytes over 127 in a value":       {lines: "A: \x80\xff\r\n", value: "\x80\xff", sound: true},
		"a value on two lines":            {lines: "A: b\r\n c\r\n", value: "b c", sound: true},
		"a value on a line without colon": {lines: "A:\r\n\tb\r\nC: d\r\n", value: "b", sound: true},
		"an empty line that goes on":      {lines: "A: b\r\n \r\nC: d\r\n", value: "b ", sound: true},
		"a line that ends without CR":     {lines: "A: b\nC: d\r\n", value: "b", sound: true},
		"a first line that goes on":       {lines: " A: b\r\n"},
		"a line without a colon":          {lines: "A: b\r\nC\r\n"},
		"an empty name":                   {lines: "A: b\r\n: c\r\n"},
		"a blank in a name":               {lines: "A: b\r\nC d: e\r\n"},
		"a blank before a colon":          {lines: "A : b\r\n"},
		"a blank in a line without colon": {lines: "A: b\r\nC d\r\n"},
		"a control byte in a value":       {lines: "A: b\x02\r\n"},
		"two carriage returns":            {lines: "A: b\r\n\r\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := readHeader(t, "HTTP/1.1 200 OK\r\n"+tc.lines+"\r\n")
			assert.Equal(t, err == nil, tc.sound, "%v", err)
			if tc.sound {
				assert.Equal(t, string(h.Peek("A")), tc.value)
			}
		})
		t.Run(name+" of an interim response", func(t *testing.T) {
			_, err := readHeader(t, "HTTP/1.1 103 Early Hints\r\n"+tc.lines+"\r\nHTTP/1.1 200 OK\r\n\r\n")
			assert.Equal(t, err == nil, tc.sound, "%v", err)
		})
	}
}
