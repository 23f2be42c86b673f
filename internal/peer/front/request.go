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
	"umberladder/internal/policy/hold"
)

// Request is a request as the client sent it.
type Request struct {
	Method       string
	Target       string // path and query, byte for byte
	Path         string
	Host         string
	HeaderFields []call.HeaderField // without connection-specific fields
	Body         []byte
	Arrived      time.Time
	closeAfter   bool // the client closes the connection after the response
}

// HeaderField returns the value of the first header field with the name, or "".
func (r *Request) HeaderField(name string) string {
	for _, f := range r.HeaderFields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// ErrorKind classifies a failure to read a request.
type ErrorKind uint8

// The kinds of read errors.
const (
	Malformed ErrorKind = iota
	HeaderTooLarge
	BodyTooLarge
	RequestTimeout
	Overloaded   // too little memory is left for the request
	Unservable   // the VM has too little memory for the request
	ClientClosed // the client closed the connection and can't receive a response
)

type readError struct {
	ErrorKind
	err error
}

// Fault is why a request could not be read.
type Fault struct {
	Kind       ErrorKind
	Detail     string
	RetryAfter time.Duration // zero: a retry of the same request won't help
}

// overloadRetryAfter is the retry delay of a request for which too little memory was left. Other VMs
// are likely to have more.
const overloadRetryAfter = 500 * time.Millisecond

func (e *readError) fault() Fault {
	f := Fault{Kind: e.ErrorKind, Detail: e.Error()}
	if e.ErrorKind == Overloaded {
		f.RetryAfter = overloadRetryAfter
	}
	return f
}

func (e *readError) Error() string { return e.err.Error() }

func (e *readError) canRespond() bool { return e.ErrorKind != ClientClosed }

func newReadError(kind ErrorKind, format string, args ...any) *readError {
	return &readError{ErrorKind: kind, err: fmt.Errorf(format, args...)}
}

// classifyReadError converts an error from reading the named part of a request.
func classifyReadError(err error, what string) *readError {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	switch {
	case errors.As(err, &small):
		return newReadError(HeaderTooLarge, "the header section is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newReadError(RequestTimeout, "%s did not come whole in time", what)
	case errors.As(err, &nothing), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return newReadError(ClientClosed, "the client closed the connection while sending %s", what)
	case isNetError(err):
		return newReadError(ClientClosed, "%s: %w", what, err)
	default:
		return newReadError(Malformed, "%s: %w", what, err)
	}
}

func isNetError(err error) bool {
	var n interface{ Timeout() bool }
	return errors.As(err, &n)
}

// connectionSpecific holds the fields that are not forwarded: the hop-by-hop
// fields (RFC 9110, section 7.6.1) and those that are parsed here.
var connectionSpecific = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "host": true, "expect": true,
	"proxy-authorization": true, "proxy-authenticate": true,
}

// framing holds the header fields that determine the length of the body and
// the use of the connection.
type framing struct {
	length            int // value of Content-Length; -1 if it is missing
	lengthFields      int // number of Content-Length fields
	chunked           bool
	codingFields      int // number of Transfer-Encoding fields
	expectContinue    bool
	connectionOptions []string // names listed in the Connection field
	closeAfter        bool
}

// readRequest reads a request, for which largest bytes may be held. If that fails, the request has the
// header fields, or is nil.
func readRequest(c *conn, limits Limits, largest int, w *ResponseWriter) (*Request, *readError) {
	c.setReceiveDeadline(time.Now().Add(limits.HeaderTimeout))
	var h fasthttp.RequestHeader
	h.DisableSpecialHeader()
	h.DisableNormalizing()
	if rerr := c.readHeader(&h, limits.MaxHeaderBytes); rerr != nil {
		return nil, rerr
	}
	r := &Request{Method: string(h.Method()), Target: string(h.RequestURI()), Arrived: time.Now()}
	f, rerr := r.parseFields(&h)
	if rerr != nil {
		return nil, rerr
	}
	r.closeAfter = f.closeAfter || string(h.Protocol()) != "HTTP/1.1"
	if rerr := r.parseTarget(); rerr != nil {
		return nil, rerr
	}
	if f.length > limits.MaxBodyBytes {
		return r, newReadError(BodyTooLarge, "the body of %d bytes is over the limit of %d", f.length, limits.MaxBodyBytes)
	}
	if callBytes+c.headerBytes+f.length > largest {
		return r, newReadError(Unservable, "the body of %d bytes is over what this VM has memory for", f.length)
	}
	if rerr := c.holdRequest(); rerr != nil {
		return r, rerr
	}
	if f.expectContinue && (f.chunked || f.length > 0) {
		if err := w.writeContinue(); err != nil {
			return r, newReadError(ClientClosed, "the client disconnected before sending the body: %w", err)
		}
	}
	if rerr := r.readBody(c, f, limits); rerr != nil {
		return r, rerr
	}
	r.Arrived = time.Now()
	return r, nil
}

// readHeader reads the header section, which may have up to limit bytes.
func (c *conn) readHeader(h *fasthttp.RequestHeader, limit int) *readError {
	err := h.Read(c.r)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && c.r.Size() < limit {
		c.headerBytes = headerCopies * limit
		if err := c.account.Hold(hold.Requests, c.headerBytes); err != nil {
			return overloaded(err)
		}
		c.growReadBuffer(limit)
		err = h.Read(c.r)
	}
	if err != nil {
		return c.readError(err, "the header section")
	}
	return nil
}

// readError converts an error from reading the named part of a request.
func (c *conn) readError(err error, what string) *readError {
	if c.account.Reclaimed() {
		return errReclaimed()
	}
	return classifyReadError(err, what)
}

func errReclaimed() *readError { return overloaded(hold.ErrReclaimed) }

func overloaded(err error) *readError {
	return newReadError(Overloaded, "this VM has too little memory left for the request: %w", err)
}

// holdRequest states that the connection holds a request, whose body is still to be read.
func (c *conn) holdRequest() *readError {
	if err := c.account.Hold(hold.Requests, callBytes+c.headerBytes); err != nil {
		return overloaded(err)
	}
	return nil
}

// releaseRequest states that the connection holds no request any more.
func (c *conn) releaseRequest() {
	c.headerBytes = 0
	c.shrinkReadBuffer()
	_ = c.account.Hold(hold.Requests, 0) // never fails for fewer bytes
}

// parseFields parses the header fields and refuses ambiguous framing.
func (r *Request) parseFields(h *fasthttp.RequestHeader) (framing, *readError) {
	f := framing{length: -1}
	hosts := 0
	var rerr *readError
	for k, v := range h.AllInOrder() {
		name, value := string(k), strings.TrimSpace(string(v))
		if strings.ContainsAny(name, " \t") {
			rerr = newReadError(Malformed, "the field name %q holds a space", name)
		}
		lower := strings.ToLower(name)
		if lower == "host" {
			hosts++
			r.Host = value
		}
		if err := f.parseField(lower, value); err != nil {
			rerr = err
		}
		if !connectionSpecific[lower] {
			r.HeaderFields = append(r.HeaderFields, call.HeaderField{Name: name, Value: value})
		}
	}
	switch {
	case rerr != nil:
		return f, rerr
	case hosts != 1 || r.Host == "":
		return f, newReadError(Malformed, "the request must name one host")
	case f.lengthFields > 1 || f.codingFields > 1 || f.lengthFields > 0 && f.codingFields > 0:
		return f, newReadError(Malformed, "the length of the body is given in more than one way")
	}
	r.removeFields(f.connectionOptions)
	return f, nil
}

func (f *framing) parseField(name, value string) *readError {
	switch name {
	case "content-length":
		f.lengthFields++
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return newReadError(Malformed, "the length %q of the body is not a number", value)
		}
		f.length = int(n)
	case "transfer-encoding":
		f.codingFields++
		if !strings.EqualFold(value, "chunked") {
			return newReadError(Malformed, "the transfer coding %q is not supported", value)
		}
		f.chunked = true
	case "expect":
		f.expectContinue = strings.EqualFold(value, "100-continue")
	case "connection":
		for token := range strings.SplitSeq(value, ",") {
			token = strings.ToLower(strings.TrimSpace(token))
			f.closeAfter = f.closeAfter || token == "close"
			f.connectionOptions = append(f.connectionOptions, token)
		}
	}
	return nil
}

func (r *Request) removeFields(names []string) {
	for _, n := range names {
		kept := r.HeaderFields[:0]
		for _, f := range r.HeaderFields {
			if !strings.EqualFold(f.Name, n) {
				kept = append(kept, f)
			}
		}
		r.HeaderFields = kept
	}
}

// parseTarget sets the path from the request target.
func (r *Request) parseTarget() *readError {
	if !strings.HasPrefix(r.Target, "/") {
		return newReadError(Malformed, "the target %.80q must begin with a slash", r.Target)
	}
	r.Path, _, _ = strings.Cut(r.Target, "?")
	return nil
}

func (r *Request) readBody(c *conn, f framing, limits Limits) *readError {
	if f.length <= 0 && !f.chunked {
		return nil
	}
	c.setReceiveDeadline(time.Now().Add(limits.HeaderTimeout + limits.IdleTimeout))
	if f.length > hold.SmallBytes {
		c.widenReceive()
	}
	if f.chunked {
		return r.readChunks(c, limits)
	}
	var rerr *readError
	r.Body, rerr = c.readAll(io.LimitReader(c.r, int64(f.length)), f.length)
	if rerr == nil && len(r.Body) < f.length {
		rerr = c.readError(io.ErrUnexpectedEOF, "the body")
	}
	return rerr
}

func (r *Request) readChunks(c *conn, limits Limits) *readError {
	limit := limits.MaxBodyBytes
	var rerr *readError
	r.Body, rerr = c.readAll(io.LimitReader(httputil.NewChunkedReader(c.r), int64(limit)+1), limit+1)
	if rerr != nil {
		return rerr
	}
	if len(r.Body) > limit {
		return newReadError(BodyTooLarge, "the body is over the limit of %d bytes", limit)
	}
	return c.skipTrailer(limits.MaxHeaderBytes)
}

// readAll reads up to size bytes of a body.
func (c *conn) readAll(body io.Reader, size int) ([]byte, *readError) {
	b, err := c.account.ReadAll(body, size, callBytes+c.headerBytes)
	switch {
	case err == nil:
		return b, nil
	case errors.Is(err, hold.ErrExhausted), errors.Is(err, hold.ErrReclaimed):
		return nil, overloaded(err)
	default:
		return nil, c.readError(err, "the body")
	}
}

// skipTrailer discards the trailer fields after the last chunk, which may have up to limit bytes.
func (c *conn) skipTrailer(limit int) *readError {
	for {
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return c.readError(err, "the trailer")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if limit -= len(line); limit < 0 {
			return newReadError(HeaderTooLarge, "the trailer is too large")
		}
	}
}
