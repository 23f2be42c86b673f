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
	"umberladder/internal/peer/link"
)

const (
	generations = "/v1/generations"
	loads       = "/v1/load"
	maxAnswer   = 1 << 16
)

// Start is the order for one generation.
type Start struct {
	Generation ident.Generation
	Model      ident.Model
	Prompt     string
	MaxTokens  int           // zero: as long as it gets
	Priority   int           // 0 goes first
	Detach     time.Duration // how long it goes on while nobody reads
}

// Load is an engine's report of itself. At is when it was true, by this VM's
// clock: the time of the answer less the age the engine gave.
type Load struct {
	Running    int
	Waiting    int
	MemoryUsed int // tokens
	MemorySize int // tokens
	Leaving    bool
	At         time.Time
}

// Client calls engines. It is safe for use by several goroutines.
type Client struct {
	dialer *link.Dialer
}

// New makes a client over a dialer.
func New(dialer *link.Dialer) *Client { return &Client{dialer: dialer} }

// Start starts a generation and returns its stream from token 0 on.
func (c *Client) Start(ctx context.Context, addr netip.AddrPort, s Start) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(generations)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(s.encode())
	st, err := c.open(ctx, addr, req)
	return st, trace.Wrap(err)
}

func (s Start) encode() []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("id", a.NewString(string(s.Generation)))
	o.Set("model", a.NewString(string(s.Model)))
	o.Set("prompt", a.NewString(s.Prompt))
	o.Set("priority", a.NewNumberInt(s.Priority))
	o.Set("detach_ms", a.NewNumberInt(int(s.Detach.Milliseconds())))
	if s.MaxTokens > 0 {
		o.Set("max_tokens", a.NewNumberInt(s.MaxTokens))
	}
	return o.MarshalTo(nil)
}

// Resume returns the stream of a started generation from token next on.
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, g ident.Generation, next uint64) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(generations + "/" + string(g) + "?from=" + strconv.FormatUint(next, 10))
	st, err := c.open(ctx, addr, req)
	return st, trace.Wrap(err)
}

// Cancel ends a generation and frees its memory.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, g ident.Generation) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI(generations + "/" + string(g))
	return trace.Wrap(c.dialer.Do(ctx, addr, req, resp, link.Options{Body: maxAnswer}))
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (Load, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(loads)
	if err := c.dialer.Do(ctx, addr, req, resp, link.Options{Body: maxAnswer}); err != nil {
		return Load{}, trace.Wrap(err)
	}
	v, err := fastjson.ParseBytes(resp.Body())
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return Load{}, trace.Wrap(&Error{Fault: Invalid, Err: trace.BadParameter("load report with status %d", resp.StatusCode())})
	}
	return Load{
		Running:    v.GetInt("running"),
		Waiting:    v.GetInt("waiting"),
		MemoryUsed: v.GetInt("memory_used"),
		MemorySize: v.GetInt("memory_size"),
		Leaving:    v.GetBool("leaving"),
		At:         time.Now().Add(-time.Duration(v.GetInt("age_ms")) * time.Millisecond),
	}, nil
}

func (c *Client) open(ctx context.Context, addr netip.AddrPort, req *fasthttp.Request) (*Stream, error) {
	resp := &fasthttp.Response{}
	body, err := c.dialer.Open(ctx, addr, req, resp, link.Options{Fresh: true, Body: maxAnswer})
	if err != nil {
		return nil, fromLink(err)
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return NewStream(body), nil
	}
	defer func() { _ = body.Close() }()
	return nil, refusal(resp)
}

// fromLink turns the failure of an exchange into what is known of the run.
func fromLink(err error) *Error {
	fault := Maybe
	var le *link.Error
	if errors.As(err, &le) && le.Unsent() {
		fault = Unsent
	}
	return &Error{Fault: fault, Err: err}
}

func refusal(resp *fasthttp.Response) *Error {
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxAnswer))
	if err != nil {
		return &Error{Fault: Maybe, Err: err}
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return &Error{Fault: Maybe, Err: trace.BadParameter("status %d without a word of whether it started", resp.StatusCode())}
	}
	e := &Error{Fault: Maybe, Err: trace.BadParameter("status %d: %s", resp.StatusCode(), v.GetStringBytes("error"))}
	started := v.Get("started")
	if started == nil || started.Type() != fastjson.TypeFalse {
		return e
	}
	e.Fault = Refused
	if resp.StatusCode() == fasthttp.StatusNotFound {
		e.Fault = Unknown
	}
	if s, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}
