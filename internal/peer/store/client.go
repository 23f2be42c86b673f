package store

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
	"golang.org/x/time/rate"

	"umberladder/internal/peer/httpc"
)

const (
	maxResponse = 64 << 20        // bytes
	watchMargin = 5 * time.Second // idle timeout of a watch beyond its wait time
)

// ErrorKind classifies a failed call.
type ErrorKind uint8

// The kinds of errors.
const (
	Unavailable     ErrorKind = iota // the call had no effect: not sent, refused, or the store is unavailable
	Conflict                         // the compare-and-swap found another revision
	NotFound                         // no such value or lease
	OutcomeUnknown                   // a write was sent but its response was lost: it may have taken effect
	BudgetExhausted                  // the call budget of this VM is exhausted: nothing was sent
)

func (k ErrorKind) String() string {
	return [...]string{"down", "conflict", "missing", "unknown", "budget"}[k]
}

// Error describes a failed call.
type Error struct {
	Kind ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("store %s: %v", e.Kind, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Is reports whether err is or wraps an *Error of the kind.
func Is(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// Item is a stored value. Value is empty if the item is deleted.
type Item struct {
	Path     string
	Revision uint64
	Value    []byte
	Deleted  bool
}

// Lease is a granted lease. StoreTime is the time of the store's clock when the
// lease was granted or renewed.
type Lease struct {
	ID        uint64
	StoreTime time.Time
}

// Client calls the store. It is safe for concurrent use.
type Client struct {
	dialer *httpc.Dialer
	addr   netip.AddrPort
	name   string
	budget *rate.Limiter
	calls  atomic.Uint64
}

// New returns a client for the store at addr that makes at most perSecond calls
// per second, in bursts of up to burst calls. The name is sent to the store with
// each call.
func New(dialer *httpc.Dialer, addr netip.AddrPort, name string, perSecond float64, burst int) *Client {
	return &Client{
		dialer: dialer,
		addr:   addr,
		name:   name,
		budget: rate.NewLimiter(rate.Limit(perSecond), burst),
	}
}

// Calls returns the number of calls sent so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get returns the value at path.
func (c *Client) Get(ctx context.Context, path string) (Item, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.do(ctx, fasthttp.MethodGet, "/kv"+path, nil, resp, 0); err != nil {
		return Item{}, trace.Wrap(err)
	}
	rev, err := revisionOf(resp)
	return Item{Path: path, Revision: rev, Value: clone(resp.Body())}, trace.Wrap(err)
}

// List returns the items under prefix that changed after the revision, and the
// current revision of the store.
func (c *Client) List(ctx context.Context, prefix string, after uint64) ([]Item, uint64, error) {
	return c.queryItems(ctx, "/list?prefix="+url.QueryEscape(prefix)+"&after="+strconv.FormatUint(after, 10), 0)
}

// Watch is like List but waits up to wait for a change.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	uri := fmt.Sprintf("/watch?prefix=%s&after=%d&wait_ms=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	return c.queryItems(ctx, uri, wait+watchMargin)
}

func (c *Client) queryItems(ctx context.Context, uri string, idle time.Duration) ([]Item, uint64, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.do(ctx, fasthttp.MethodGet, uri, nil, resp, idle); err != nil {
		return nil, 0, trace.Wrap(err)
	}
	v, err := fastjson.ParseBytes(resp.Body())
	if err != nil {
		return nil, 0, trace.Wrap(&Error{Kind: Unavailable, Err: err})
	}
	var out []Item
	for _, it := range v.GetArray("items") {
		value, err := base64.StdEncoding.DecodeString(string(it.GetStringBytes("value")))
		if err != nil {
			return nil, 0, trace.Wrap(&Error{Kind: Unavailable, Err: err})
		}
		out = append(out, Item{
			Path:     string(it.GetStringBytes("path")),
			Revision: it.GetUint64("revision"),
			Value:    value,
			Deleted:  it.GetBool("deleted"),
		})
	}
	return out, v.GetUint64("revision"), nil
}

// Put writes the value at path if its revision is still expected (0: there is no
// value). If lease is not 0, the value is deleted when the lease ends. Put
// returns the new revision.
func (c *Client) Put(ctx context.Context, path string, value []byte, expected, lease uint64) (uint64, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	uri := fmt.Sprintf("/kv%s?if=%d&lease=%d", path, expected, lease)
	if err := c.do(ctx, fasthttp.MethodPut, uri, value, resp, 0); err != nil {
		return 0, trace.Wrap(err)
	}
	rev, err := revisionOf(resp)
	return rev, trace.Wrap(err)
}

// Delete removes the value at path if its revision is still expected.
func (c *Client) Delete(ctx context.Context, path string, expected uint64) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	return trace.Wrap(c.do(ctx, fasthttp.MethodDelete, fmt.Sprintf("/kv%s?if=%d", path, expected), nil, resp, 0))
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	return c.requestLease(ctx, fmt.Sprintf("/leases?ttl_ms=%d", ttl.Milliseconds()))
}

// Renew extends a lease. An error of kind NotFound means that it has expired.
func (c *Client) Renew(ctx context.Context, id uint64) (Lease, error) {
	return c.requestLease(ctx, fmt.Sprintf("/leases/%d", id))
}

// Revoke ends a lease and deletes every value written under it.
func (c *Client) Revoke(ctx context.Context, id uint64) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	return trace.Wrap(c.do(ctx, fasthttp.MethodDelete, fmt.Sprintf("/leases/%d", id), nil, resp, 0))
}

func (c *Client) requestLease(ctx context.Context, uri string) (Lease, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.do(ctx, fasthttp.MethodPost, uri, nil, resp, 0); err != nil {
		return Lease{}, trace.Wrap(err)
	}
	v, err := fastjson.ParseBytes(resp.Body())
	if err != nil {
		return Lease{}, trace.Wrap(&Error{Kind: OutcomeUnknown, Err: err})
	}
	return Lease{ID: v.GetUint64("lease"), StoreTime: time.UnixMilli(v.GetInt64("now_ms"))}, nil
}

func (c *Client) do(ctx context.Context, method, uri string, body []byte, resp *fasthttp.Response, idle time.Duration) error {
	if !c.budget.Allow() {
		return &Error{Kind: BudgetExhausted, Err: trace.LimitExceeded("the store's call budget of %g/s is used up", c.budget.Limit())}
	}
	c.calls.Add(1)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.Header.Set("Caller", c.name)
	req.SetBodyRaw(body)
	isRead := method == fasthttp.MethodGet
	err := c.dialer.Do(ctx, c.addr, req, resp, httpc.Options{NewConn: !isRead, MaxBody: maxResponse, IdleTimeout: idle})
	if err != nil {
		return transportError(err, isRead)
	}
	return statusError(resp.StatusCode(), isRead)
}

// transportError classifies a call without a response. A read has no effect, and
// neither has a write of which nothing was sent.
func transportError(err error, isRead bool) *Error {
	var httpErr *httpc.Error
	if isRead || errors.As(err, &httpErr) && httpErr.Unsent() {
		return &Error{Kind: Unavailable, Err: err}
	}
	return &Error{Kind: OutcomeUnknown, Err: err}
}

// statusError classifies a response by its status.
func statusError(status int, isRead bool) error {
	err := trace.Errorf("status %d", status)
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusNotFound:
		return &Error{Kind: NotFound, Err: err}
	case status == fasthttp.StatusPreconditionFailed:
		return &Error{Kind: Conflict, Err: err}
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable, isRead:
		return &Error{Kind: Unavailable, Err: err}
	default:
		return &Error{Kind: OutcomeUnknown, Err: err}
	}
}

func revisionOf(resp *fasthttp.Response) (uint64, error) {
	n, err := strconv.ParseUint(string(resp.Header.Peek("Revision")), 10, 64)
	if err != nil {
		return 0, &Error{Kind: OutcomeUnknown, Err: trace.BadParameter("the reply has no revision")}
	}
	return n, nil
}

func clone(b []byte) []byte { return append([]byte(nil), b...) }
