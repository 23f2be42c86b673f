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

// Fault says what is known of a failed call.
type Fault uint8

// The faults.
const (
	Unsent Fault = iota // nothing was written: it can't have run
	Maybe               // written, and no whole answer came back
	Silent              // written, and the time ran out
)

// Error is a failed call.
type Error struct {
	Fault Fault
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("plain call: %v", e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Call is one call to a plain server.
type Call struct {
	Method      string
	Path        string // with the query
	ContentType string
	Body        []byte
	Headers     [][2]string
	Repeatable  bool
	Timeout     time.Duration
}

// EchoHeader is the header in which a server may return the request's
// identifier, so that its answer is told from another's.
const EchoHeader = "Umberladder-Request"

// Answer is a whole answer.
type Answer struct {
	Echo        string // what EchoHeader holds
	Status      int
	ContentType string
	Body        []byte
}

// Client calls plain servers. It is safe for use by several goroutines.
type Client struct {
	dialer *link.Dialer
	body   int
}

// New makes a client that takes answers of up to body bytes.
func New(dialer *link.Dialer, body int) *Client { return &Client{dialer: dialer, body: body} }

// Do sends the call and returns the whole answer.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	call.fill(req)
	err := c.dialer.Do(ctx, addr, req, resp, link.Options{
		Fresh: !call.Repeatable,
		Body:  c.body,
		Idle:  call.Timeout,
	})
	if err != nil {
		return Answer{}, classify(ctx, err)
	}
	return Answer{
		Echo:        string(resp.Header.Peek(EchoHeader)),
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	}, nil
}

func (c Call) fill(req *fasthttp.Request) {
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

func classify(ctx context.Context, err error) *Error {
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
