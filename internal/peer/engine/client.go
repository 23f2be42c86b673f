package engine

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/httpc"
)

const (
	pathGenerations = "/v1/generations"
	pathLoad        = "/v1/load"
	maxResponse     = 1 << 16 // bytes
)

// StartRequest holds the parameters of a new generation.
type StartRequest struct {
	Generation    ident.Generation
	Model         ident.Model
	Prompt        string
	MaxTokens     int           // zero: no limit
	Priority      int           // 0 is the most urgent
	DetachTimeout time.Duration // how long the generation continues while no client reads it
}

// Load is the load report of an engine. AsOf is the time the report describes,
// by this VM's clock: the time of the response minus the age stated in it.
type Load struct {
	Running    int
	Waiting    int
	MemoryUsed int // tokens
	MemorySize int // tokens
	Draining   bool
	AsOf       time.Time
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	dialer *httpc.Dialer
}

// New returns a client that uses the dialer.
func New(dialer *httpc.Dialer) *Client { return &Client{dialer: dialer} }

// Start starts a generation and returns its stream, beginning with token 0.
func (c *Client) Start(ctx context.Context, addr netip.AddrPort, s StartRequest) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(pathGenerations)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(s.encode())
	st, err := c.openStream(ctx, addr, req)
	return st, trace.Wrap(err)
}

func (s StartRequest) encode() []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("id", a.NewString(string(s.Generation)))
	o.Set("model", a.NewString(string(s.Model)))
	o.Set("prompt", a.NewString(s.Prompt))
	o.Set("priority", a.NewNumberInt(s.Priority))
	o.Set("detach_ms", a.NewNumberInt(int(s.DetachTimeout.Milliseconds())))
	if s.MaxTokens > 0 {
		o.Set("max_tokens", a.NewNumberInt(s.MaxTokens))
	}
	return o.MarshalTo(nil)
}

// Resume returns the stream of a started generation, beginning with token next.
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, g ident.Generation, next uint64) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(pathGenerations + "/" + string(g) + "?from=" + strconv.FormatUint(next, 10))
	st, err := c.openStream(ctx, addr, req)
	return st, trace.Wrap(err)
}

// Cancel stops a generation and frees its memory.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, g ident.Generation) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI(pathGenerations + "/" + string(g))
	return trace.Wrap(c.dialer.Do(ctx, addr, req, resp, httpc.Options{MaxBody: maxResponse}))
}

// Load requests the load report of an engine.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (Load, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(pathLoad)
	if err := c.dialer.Do(ctx, addr, req, resp, httpc.Options{MaxBody: maxResponse}); err != nil {
		return Load{}, trace.Wrap(err)
	}
	v, err := fastjson.ParseBytes(resp.Body())
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return Load{}, trace.Wrap(&Error{Kind: Invalid, Err: trace.BadParameter("load report with status %d", resp.StatusCode())})
	}
	return Load{
		Running:    v.GetInt("running"),
		Waiting:    v.GetInt("waiting"),
		MemoryUsed: v.GetInt("memory_used"),
		MemorySize: v.GetInt("memory_size"),
		Draining:   v.GetBool("leaving"),
		AsOf:       time.Now().Add(-time.Duration(v.GetInt("age_ms")) * time.Millisecond),
	}, nil
}

func (c *Client) openStream(ctx context.Context, addr netip.AddrPort, req *fasthttp.Request) (*Stream, error) {
	resp := &fasthttp.Response{}
	body, err := c.dialer.DoStream(ctx, addr, req, resp, httpc.Options{NewConn: true, MaxBody: maxResponse})
	if err != nil {
		return nil, transportError(err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return NewStream(body), nil
	}
	defer func() { _ = body.Close() }()
	return nil, responseError(resp)
}

// transportError classifies a failed exchange by whether the request may have run.
func transportError(err error) *Error {
	kind := OutcomeUnknown
	var httpErr *httpc.Error
	if errors.As(err, &httpErr) && httpErr.Unsent() {
		kind = Unsent
	}
	return &Error{Kind: kind, Err: err}
}

// responseError classifies a response other than 200 by the member "started".
func responseError(resp *fasthttp.Response) *Error {
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxResponse))
	if err != nil {
		return &Error{Kind: OutcomeUnknown, Err: err}
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return &Error{Kind: OutcomeUnknown, Err: trace.BadParameter("status %d without a JSON body that says whether the generation started", resp.StatusCode())}
	}
	e := &Error{Kind: OutcomeUnknown, Err: trace.BadParameter("status %d: %s", resp.StatusCode(), v.GetStringBytes("error"))}
	started := v.Get("started")
	if started == nil || started.Type() != fastjson.TypeFalse {
		return e
	}
	e.Kind = Rejected
	if resp.StatusCode() == fasthttp.StatusNotFound {
		e.Kind = NotFound
	}
	if s, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}
