package httpc

import (
	"bufio"
	"bytes"

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

// ReadHeader reads the header of the final response from r and skips interim responses. It
// returns an error if the bytes are no HTTP response, which the codec alone does not detect: it
// takes any word and number for a status line.
func ReadHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		if err := awaitStatusLine(r); err != nil {
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

// awaitStatusLine waits until r has buffered a status line, and leaves it there. It returns an
// error as soon as the buffered bytes cannot begin one.
func awaitStatusLine(r *bufio.Reader) error {
	for {
		b, _ := r.Peek(r.Buffered()) // cannot fail: the bytes are buffered
		line, _, whole := bytes.Cut(b, []byte("\n"))
		switch {
		case !beginsStatusLine(line) || whole && len(line) < len(statusLineForm):
			return trace.BadParameter("no HTTP response: it begins with %q", line[:min(len(line), maxQuotedBytes)])
		case whole:
			return nil
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return err
		}
	}
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
