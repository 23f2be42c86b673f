package header

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// statusLineForm is the start of a status line (RFC 9112, section 4), in which 0 stands for any
// digit.
const statusLineForm = "HTTP/1.0 000"

// maxInterim is the maximum number of interim responses before a final one. Servers send one or
// two; a faulty one may send them without end.
const maxInterim = 16

// maxQuotedBytes is how much of what is no response an error quotes, in bytes.
const maxQuotedBytes = 40

// Read reads the header of the final response from r and skips interim responses. It returns an
// error as soon as the bytes are no HTTP response. The codec alone does not detect that: it takes
// any word and number for a status line, blanks for a part of a field name, the last of several
// lengths, and any transfer coding for chunks.
func Read(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		if err := awaitHeader(r); err != nil {
			return err
		}
		if err := h.Read(r); err != nil {
			return err
		}
		if !isInterim(h.StatusCode()) {
			return nil
		}
	}
	return trace.LimitExceeded("no final response after %d interim ones", maxInterim)
}

func isInterim(status int) bool { return status < fasthttp.StatusOK }

// awaitHeader waits until r has buffered the header of a response, and leaves it there. It
// returns an error as soon as the buffered bytes cannot begin one.
func awaitHeader(r *bufio.Reader) error {
	line, err := awaitLine(r, 0, checkStatusLine)
	if err != nil {
		return err
	}
	start := len(line)
	end, err := awaitFields(r, start)
	if err != nil {
		return err
	}
	b, _ := r.Peek(end) // cannot fail: the bytes are buffered
	return checkFraming(b[start:end])
}

// awaitLine waits until r has buffered the line that starts at an offset, and returns it with its
// end. The line is valid until the next read. Check gets what has arrived of the line, without its
// end, and its error is returned.
func awaitLine(r *bufio.Reader, offset int, check func(line []byte, whole bool) error) ([]byte, error) {
	for {
		b, _ := r.Peek(r.Buffered()) // cannot fail: the bytes are buffered
		line, _, whole := bytes.Cut(b[offset:], []byte("\n"))
		if err := check(line, whole); err != nil {
			return nil, err
		}
		if whole {
			return b[offset : offset+len(line)+1], nil
		}
		_, err := r.Peek(len(b) + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, trace.LimitExceeded("no HTTP response: its header is longer than %d bytes", r.Size())
		}
		if err != nil {
			return nil, err
		}
	}
}

// checkStatusLine returns an error unless line is a status line or, if it is not whole, the start
// of one.
func checkStatusLine(line []byte, whole bool) error {
	if !beginsStatusLine(line) || whole && len(line) < len(statusLineForm) {
		return trace.BadParameter("no HTTP response: it begins with %q", line[:min(len(line), maxQuotedBytes)])
	}
	return nil
}

// beginsStatusLine reports whether line is a status line or the start of one.
func beginsStatusLine(line []byte) bool {
	n := len(statusLineForm)
	for i, c := range line[:min(len(line), n)] {
		form := statusLineForm[i]
		isDigit := '0' <= c && c <= '9'
		if form == '0' && !isDigit || form != '0' && c != form {
			return false
		}
	}
	first := n - len("000")
	if len(line) > first && (line[first] < '1' || line[first] > '5') {
		return false
	}
	return len(line) <= n || line[n] == ' ' || line[n] == '\r'
}
