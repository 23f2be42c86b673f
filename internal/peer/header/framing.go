package header

import (
	"bytes"
	"iter"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// blanks are the bytes around a value that are no part of it, with the ends of its lines.
const blanks = " \t\r\n"

// framing is how a header states the end of the body.
type framing struct {
	length    []byte // without leading zeros
	hasLength bool
	isChunked bool
}

// checkFraming returns an error unless the fields of a header state the end of the body in one
// way that the codec understands (RFC 9112, section 6.3). The codec parses the length, keeps the
// last of several, and takes any coding for chunks.
func checkFraming(section []byte) error {
	var f framing
	for name, value := range fields(section) {
		var err error
		switch {
		case isName(name, fasthttp.HeaderContentLength):
			err = f.addLength(bytes.Trim(value, blanks))
		case isName(name, fasthttp.HeaderTransferEncoding):
			err = f.addCoding(bytes.Trim(value, blanks))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// addLength adds a field that states a length.
func (f *framing) addLength(value []byte) error {
	n := bytes.TrimLeft(value, "0")
	if f.hasLength && !bytes.Equal(n, f.length) {
		return trace.BadParameter("no HTTP response: it states several lengths")
	}
	f.length, f.hasLength = n, true
	return nil
}

// addCoding adds a field that states transfer codings. Chunks are the only one that servers may
// use unasked, and must be the last one.
func (f *framing) addCoding(value []byte) error {
	isChunks := bytes.EqualFold(value, []byte("chunked"))
	isNone := len(value) == 0 || string(value) == "identity" // as older servers state it
	if f.isChunked || !isChunks && !isNone {
		return trace.BadParameter("no HTTP response: it is transferred as %q", value[:min(len(value), maxQuotedBytes)])
	}
	f.isChunked = isChunks
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
