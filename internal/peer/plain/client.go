package plain

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/peer/httpc"
)

// ErrorKind classifies a failed call by whether it may have run.
type ErrorKind uint8

// The kinds of errors.
const (
	Unsent         ErrorKind = iota // nothing was written: the call can't have run
	OutcomeUnknown                  // the call was written, but no complete response was received
	Timeout                         // the call was written, but the timeout expired
)

// Error describes a failed call.
type Error struct {
	Kind ErrorKind
	Err  error
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
	Retryable   bool
	Timeout     time.Duration
}

// RequestIDHeader is the header that carries the request identifier. A server
// may return it in its response, so that a response to another request can be
// detected.
const RequestIDHeader = "Umberladder-Request"

// Response is a complete response.
type Response struct {
	RequestID   string // value of RequestIDHeader
	Status      int
	ContentType string
	Body        []byte
}

// Client calls plain servers. It is safe for concurrent use.
type Client struct {
	dialer  *httpc.Dialer
	maxBody int
}

// New returns a client that accepts response bodies of up to maxBody bytes.
func New(dialer *httpc.Dialer, maxBody int) *Client { return &Client{dialer: dialer, maxBody: maxBody} }

// Do sends the call and returns the complete response. Its error is always an
// *Error.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	call.writeTo(req)
	err := c.dialer.Do(ctx, addr, req, resp, httpc.Options{
		NewConn:     !call.Retryable,
		MaxBody:     c.maxBody,
		IdleTimeout: call.Timeout,
	})
	if err != nil {
		return Response{}, newError(ctx, err)
	}
	return Response{
		RequestID:   string(resp.Header.Peek(RequestIDHeader)),
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
	var httpErr *httpc.Error
	switch {
	case errors.As(err, &httpErr) && httpErr.Unsent():
		return &Error{Kind: Unsent, Err: err}
	case ctx.Err() != nil || httpc.IsTimeout(err):
		return &Error{Kind: Timeout, Err: err}
	default:
		return &Error{Kind: OutcomeUnknown, Err: err}
	}
}
