package plain

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/link"
)

// ErrorKind classifies a failed call by whether it may have run.
type Fault uint8

// The kinds of errors.
const (
	Unsent Fault = iota // nothing was written: the call can't have run
	Maybe               // the call was written, but no complete response was received
	Silent              // the call was written, but the timeout expired
)

// Error describes a failed call.
type Error struct {
	Fault Fault
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("plain call: %v", e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Call is one call to a plain server.
type Call struct {
	Method      string
	Path        string // including the query
	ContentType string
	Body        []byte
	Headers     [][2]string
	Repeatable  bool
	Timeout     time.Duration
}

// RequestIDHeader is the header that carries the request identifier. A server
// may return it in its response, so that a response to another request can be
// detected.
const EchoHeader = "Umberladder-Request"

// Response is a complete response.
type Answer struct {
	Echo        string // value of RequestIDHeader
	Status      int
	ContentType string
	Body        []byte
}

// Client calls plain servers. It is safe for concurrent use.
type Client struct {
	dialer  *link.Dialer
	maxBody int
}

// New returns a client that accepts response bodies of up to maxBody bytes.
func New(dialer *link.Dialer, maxBody int) *Client { return &Client{dialer: dialer, maxBody: maxBody} }

// Do sends the call and returns the complete response. Its error is always an
// *Error.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	call.writeTo(req)
	err := c.dialer.Do(ctx, addr, req, resp, link.Options{
		Fresh: !call.Repeatable,
		Body:  c.maxBody,
		Idle:  call.Timeout,
	})
	if err != nil {
		return Answer{}, newError(ctx, err)
	}
	return Answer{
		Echo:        string(resp.Header.Peek(EchoHeader)),
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

func (c Call) writeTo(req *fasthttp.Request) {
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(c.Path)
	if c.ContentType != "" {
		req.Header.SetContentType(c.ContentType)
	}
	for _, h := range c.Headers {
		req.Header.Set(h[0], h[1])
	}
	req.SetBodyRaw(c.Body)
}

func newError(ctx context.Context, err error) *Error {
	var le *link.Error
	switch {
	case errors.As(err, &le) && le.Unsent():
		return &Error{Fault: Unsent, Err: err}
	case ctx.Err() != nil || link.Timeout(err):
		return &Error{Fault: Silent, Err: err}
	default:
		return &Error{Fault: Maybe, Err: err}
	}
}
