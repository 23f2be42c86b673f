// Package opapi is the command line's client for the operators' API of a VM.
package opapi

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/peer/httpc"
)

const callTimeout = 15 * time.Second

// Client calls the operators' API of one VM.
type Client struct {
	Address string // IP address and port
	Key     string
}

// StatusError is a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Detail string
}

func (e *StatusError) Error() string { return e.Detail }

// Response is a VM's response.
type Response struct {
	Status int
	ETag   string
	Body   []byte
}

// JSON returns the parsed body, or null if it is not valid JSON.
func (r *Response) JSON() *fastjson.Value {
	v, err := fastjson.ParseBytes(r.Body)
	if err != nil {
		return fastjson.MustParse("null")
	}
	return v
}

// CheckStatus returns a *StatusError unless the response has the given status.
func (r *Response) CheckStatus(status int) error {
	if r.Status == status {
		return nil
	}
	detail := string(r.JSON().GetStringBytes("detail"))
	if detail == "" {
		detail = "status " + strconv.Itoa(r.Status)
	}
	return &StatusError{Status: r.Status, Detail: detail}
}

// Call sends one request. Headers are given as pairs of name and value. The request
// is never retried.
func (c *Client) Call(method, path string, body []byte, headers ...string) (*Response, error) {
	addr, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return nil, trace.BadParameter("--server: want an IP address with a port, got %q", c.Address)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Address + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.Key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBody(body)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	dialer := httpc.New(netip.Addr{}, callTimeout, callTimeout, 0)
	if err := dialer.Do(ctx, addr, req, resp, httpc.Options{NewConn: true}); err != nil {
		return nil, fmt.Errorf("%s does not answer: %w", c.Address, err)
	}
	return &Response{
		Status: resp.StatusCode(),
		ETag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		Body:   append([]byte(nil), resp.Body()...),
	}, nil
}

// Get sends a GET request for a path. It fails unless the status is 200.
func (c *Client) Get(path string) (*Response, error) {
	resp, err := c.Call(fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return resp, resp.CheckStatus(fasthttp.StatusOK)
}
