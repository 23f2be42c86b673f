package task

import (
	"context"
	"errors"
	"io"
	"slices"

	"github.com/gravitational/trace"

	"umberladder/internal/policy/hold"
	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

const (
	// maxBody is the maximum size of a response that is read as a whole, in bytes.
	maxBody = 16 << 20
	// initialBody is the size of the buffer for a response that is read as a whole, in bytes.
	initialBody = 1 << 10
)

// errEndNotConfirmed reports a response whose body may be truncated.
var errEndNotConfirmed = errors.New("task: the server marked the end of its response only by closing the connection, and accepts no others")

// ReadBody reads the complete body of a response, and closes it.
func (t *Task) ReadBody(ctx context.Context, s *srvtab.Server, resp *port.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := t.readAll(resp.Body)
	switch {
	case err != nil:
		return nil, err
	case resp.Delimited || resp.NotExecuted:
		return body, nil
	default:
		return body, t.ConfirmEnd(ctx, s)
	}
}

// readAll reads a body, which the call then holds until ReleaseResponse.
func (t *Task) readAll(body port.Body) ([]byte, error) {
	t.ReleaseResponse()
	t.response = t.Held.Account()
	buf := make([]byte, 0, initialBody)
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) > maxBody:
			return nil, trace.LimitExceeded("the response is larger than %d bytes", maxBody)
		case len(buf) < cap(buf):
			continue
		}
		more := min(len(buf), maxBody+1-len(buf))
		if err := t.response.Hold(hold.Responses, min(len(buf)+more, maxBody)); err != nil {
			return nil, err
		}
		buf = slices.Grow(buf, more)
	}
}

// ReleaseResponse states that the call no longer holds the body of a response.
func (t *Task) ReleaseResponse() {
	if t.response != nil {
		t.response.Close()
	}
}

// ConfirmEnd returns an error unless a response that ended regularly, but whose end was marked
// only by that of its connection, is complete. The connections of a process that ends also end
// regularly, so that the server must still accept connections.
func (t *Task) ConfirmEnd(ctx context.Context, s *srvtab.Server) error {
	if t.Backend.AcceptsConnections(ctx, s) {
		return nil
	}
	return errEndNotConfirmed
}
