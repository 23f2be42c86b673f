package task

import (
	"context"
	"errors"
	"io"

	"github.com/gravitational/trace"

	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

// maxBody is the maximum size of a response that is read as a whole, in bytes.
const maxBody = 16 << 20

// errEndNotConfirmed reports a response whose body may be truncated.
var errEndNotConfirmed = errors.New("task: the server marked the end of its response only by closing the connection, and accepts no others")

// ReadBody reads the complete body of a response, and closes it.
func (t *Task) ReadBody(ctx context.Context, s *srvtab.Server, resp *port.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxBody:
		return nil, trace.LimitExceeded("the response is larger than %d bytes", maxBody)
	case resp.Delimited || resp.NotExecuted:
		return body, nil
	default:
		return body, t.ConfirmEnd(ctx, s)
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
