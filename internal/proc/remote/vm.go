// Package remote calls the operators' interface of a VM for the command line.
package remote

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

const callTime = 15 * time.Second

// VM is the operators' interface of one VM.
type VM struct {
	Address string // IP address and port
	Key     string
}

// StatusError is an answer other than the one hoped for.
type StatusError struct {
	Status int
	Detail string
}

func (e *StatusError) Error() string { return e.Detail }

// Answer is what a VM answered.
type Answer struct {
	Status int
	ETag   string
	Body   []byte
}

// Value returns the answer's JSON, or null.
func (a *Answer) Value() *fastjson.Value {
	v, err := fastjson.ParseBytes(a.Body)
	if err != nil {
		return fastjson.MustParse("null")
	}
	return v
}

// Err returns a *StatusError unless the answer has the status.
func (a *Answer) Err(status int) error {
	if a.Status == status {
		return nil
	}
	detail := string(a.Value().GetStringBytes("detail"))
	if detail == "" {
		detail = "status " + strconv.Itoa(a.Status)
	}
	return &StatusError{Status: a.Status, Detail: detail}
}

// Call sends one request, with headers as pairs of name and value. It is
// never sent twice.
func (vm *VM) Call(method, path string, body []byte, headers ...string) (*Answer, error) {
	if _, err := netip.ParseAddrPort(vm.Address); err != nil {
		return nil, trace.BadParameter("--server: want an IP address with a port, got %q", vm.Address)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + vm.Address + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+vm.Key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBody(body)
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if err := client.DoTimeout(req, resp, callTime); err != nil {
		return nil, fmt.Errorf("%s does not answer: %w", vm.Address, err)
	}
	return &Answer{
		Status: resp.StatusCode(),
		ETag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		Body:   append([]byte(nil), resp.Body()...),
	}, nil
}

// Get fetches what is at a path.
func (vm *VM) Get(path string) (*Answer, error) {
	a, err := vm.Call(fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return a, a.Err(fasthttp.StatusOK)
}
