package front

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/call"
)

// Request is one request as the client sent it.
type Request struct {
	Method  string
	Target  string // path and query, byte for byte
	Path    string
	Host    string
	Fields  []call.Field // without those that concern the connection alone
	Body    []byte
	Arrived time.Time
	last    bool // the client closes after the answer
}

// Field returns the value of a header field, or nothing.
func (r *Request) Field(name string) string {
	for _, f := range r.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Fault says what is wrong with a request that can't be read.
type Fault uint8

// The faults.
const (
	Malformed Fault = iota
	HeaderTooLarge
	BodyTooLarge
	TooSlow
	Gone // the client closed the connection; nobody reads an answer
)

type readError struct {
	Fault
	err error
}

func (e *readError) Error() string { return e.err.Error() }

func (e *readError) answerable() bool { return e.Fault != Gone }

func fault(f Fault, format string, args ...any) *readError {
	return &readError{Fault: f, err: fmt.Errorf(format, args...)}
}

// fromRead turns the failure of a read into a fault.
func fromRead(err error, what string) *readError {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	switch {
	case errors.As(err, &small):
		return fault(HeaderTooLarge, "the header section is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault(TooSlow, "%s did not come whole in time", what)
	case errors.As(err, &nothing), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fault(Gone, "the client closed the connection within %s", what)
	case isNet(err):
		return fault(Gone, "%s: %w", what, err)
	default:
		return fault(Malformed, "%s: %w", what, err)
	}
}

func isNet(err error) bool {
	var n interface{ Timeout() bool }
	return errors.As(err, &n)
}

// connectionFields concern one connection alone (RFC 9110, section 7.6.1).
var connectionFields = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "host": true, "expect": true,
	"proxy-authorization": true, "proxy-authenticate": true,
}

// framing is how the end of a body is known.
type framing struct {
	length  int // -1: none is given
	lengths int // fields that give one
	chunked bool
	codings int
	expect  bool
	drop    []string // fields that the client names as of this connection
	last    bool
}

func readRequest(c *conn, limits Limits, w *Reply) (*Request, *readError) {
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	var h fasthttp.RequestHeader
	h.DisableSpecialHeader()
	h.DisableNormalizing()
	if err := h.Read(c.r); err != nil {
		return nil, fromRead(err, "the header section")
	}
	r := &Request{Method: string(h.Method()), Target: string(h.RequestURI()), Arrived: time.Now()}
	f, bad := r.fields(&h)
	if bad != nil {
		return nil, bad
	}
	r.last = f.last || string(h.Protocol()) != "HTTP/1.1"
	if bad := r.split(); bad != nil {
		return nil, bad
	}
	if f.length > limits.Body {
		return nil, fault(BodyTooLarge, "the body of %d bytes is over the limit of %d", f.length, limits.Body)
	}
	if f.expect && (f.chunked || f.length > 0) {
		if err := w.proceed(); err != nil {
			return nil, fault(Gone, "the client left before its body: %w", err)
		}
	}
	if bad := r.readBody(c, f, limits); bad != nil {
		return nil, bad
	}
	r.Arrived = time.Now()
	return r, nil
}

// fields takes the header section apart.
func (r *Request) fields(h *fasthttp.RequestHeader) (framing, *readError) {
	f := framing{length: -1}
	hosts := 0
	var bad *readError
	for k, v := range h.AllInOrder() {
		name, value := string(k), strings.TrimSpace(string(v))
		if strings.ContainsAny(name, " \t") {
			bad = fault(Malformed, "the field name %q holds a space", name)
		}
		lower := strings.ToLower(name)
		if lower == "host" {
			hosts++
			r.Host = value
		}
		if err := f.take(lower, value); err != nil {
			bad = err
		}
		if !connectionFields[lower] {
			r.Fields = append(r.Fields, call.Field{Name: name, Value: value})
		}
	}
	switch {
	case bad != nil:
		return f, bad
	case hosts != 1 || r.Host == "":
		return f, fault(Malformed, "the request must name one host")
	case f.lengths > 1 || f.codings > 1 || f.lengths > 0 && f.codings > 0:
		return f, fault(Malformed, "the length of the body is given in more than one way")
	}
	r.dropNamed(f.drop)
	return f, nil
}

func (f *framing) take(name, value string) *readError {
	switch name {
	case "content-length":
		f.lengths++
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return fault(Malformed, "the length %q of the body is not a number", value)
		}
		f.length = int(n)
	case "transfer-encoding":
		f.codings++
		if !strings.EqualFold(value, "chunked") {
			return fault(Malformed, "the transfer coding %q is not supported", value)
		}
		f.chunked = true
	case "expect":
		f.expect = strings.EqualFold(value, "100-continue")
	case "connection":
		for token := range strings.SplitSeq(value, ",") {
			token = strings.ToLower(strings.TrimSpace(token))
			f.last = f.last || token == "close"
			f.drop = append(f.drop, token)
		}
	}
	return nil
}

func (r *Request) dropNamed(names []string) {
	for _, n := range names {
		keep := r.Fields[:0]
		for _, f := range r.Fields {
			if !strings.EqualFold(f.Name, n) {
				keep = append(keep, f)
			}
		}
		r.Fields = keep
	}
}

// split finds the path in the target.
func (r *Request) split() *readError {
	if !strings.HasPrefix(r.Target, "/") {
		return fault(Malformed, "the target %.80q must begin with a slash", r.Target)
	}
	r.Path, _, _ = strings.Cut(r.Target, "?")
	return nil
}

func (r *Request) readBody(c *conn, f framing, limits Limits) *readError {
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTime + limits.Idle))
	switch {
	case f.chunked:
		return r.readChunks(c, limits.Body)
	case f.length > 0:
		r.Body = make([]byte, f.length)
		if _, err := io.ReadFull(c.r, r.Body); err != nil {
			return fromRead(err, "the body")
		}
	}
	return nil
}

func (r *Request) readChunks(c *conn, limit int) *readError {
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(httputil.NewChunkedReader(c.r), int64(limit)+1))
	if err != nil {
		return fromRead(err, "the body")
	}
	if n > int64(limit) {
		return fault(BodyTooLarge, "the body is over the limit of %d bytes", limit)
	}
	r.Body = b.Bytes()
	return skipTrailer(c)
}

// skipTrailer reads the fields after the last chunk up to the empty line.
func skipTrailer(c *conn) *readError {
	for {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return fromRead(err, "the trailer")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}
