package httpc

import (
	"bytes"
	"iter"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// checkFraming returns an error if the fields of a header state several lengths of the body, of
// which only one can hold (RFC 9112, section 6.3). The codec parses the length that it keeps.
func checkFraming(section []byte) error {
	var length []byte // without leading zeros
	hasLength := false
	for name, value := range fields(section) {
		if !bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
			continue
		}
		n := bytes.TrimLeft(bytes.TrimSpace(value), "0")
		if hasLength && !bytes.Equal(n, length) {
			return trace.BadParameter("no HTTP response: it states several lengths")
		}
		length, hasLength = n, true
	}
	return nil
}

// fields iterates over the names and values of the fields of a section that awaitFields has
// accepted. A value comes with the blanks around it and the ends of its lines.
func fields(section []byte) iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for len(section) > 0 {
			name, rest, ok := bytes.Cut(section, []byte(":"))
			if !ok {
				return // the empty line
			}
			end := 0
			for more := true; more; more = isContinuation(rest[end:]) {
				end += bytes.IndexByte(rest[end:], '\n') + 1
			}
			if !yield(name, rest[:end]) {
				return
			}
			section = rest[end:]
		}
	}
}
