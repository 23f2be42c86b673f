package verify

import (
	"context"
	"errors"
	"net/http"

	"umberladder/internal/route/port"
)

// Reasons why a response is not verified.
var (
	errOtherCall     = errors.New("verify: the response does not bear the identifier of the call")
	errUnsigned      = errors.New("verify: the response is a success without a signature")
	errContradiction = errors.New("verify: the response is a success, and states that the call did not run")
	// errUnmarked reports a status that promises clients that the call has not run, which only
	// the server can know.
	errUnmarked = errors.New("verify: the status means that the call did not run, which the server does not state")
)

// Backend is a client of the backend servers that returns only verified responses.
type Backend struct {
	port.Backend
}

// New returns a Backend that sends through b.
func New(b port.Backend) *Backend { return &Backend{Backend: b} }

// Send implements port.Backend.
func (b *Backend) Send(ctx context.Context, a port.Attempt) (*port.Response, error) {
	resp, err := b.Backend.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	if err := check(a, resp); err != nil {
		_ = resp.Body.Close()
		return nil, &port.SendError{Err: err}
	}
	return resp, nil
}

// check returns why a response is not the answer of the called server to an attempt, or nil.
func check(a port.Attempt, r *port.Response) error {
	isSuccess := r.Status < http.StatusMultipleChoices
	switch {
	case r.CallID == "" && r.Replaced && r.Responder != "":
		return nil // another server names itself, and need not know the call
	case r.CallID != a.Call.ID:
		return errOtherCall
	case isSuccess && r.NotExecuted:
		return errContradiction
	case isSuccess && !r.Signed:
		return errUnsigned
	case meansNotRun(r.Status) && !r.NotExecuted:
		return errUnmarked
	default:
		return nil
	}
}

// meansNotRun reports whether clients take a status as a promise that the call has not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
