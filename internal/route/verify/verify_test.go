package verify

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/route/port"
	"umberladder/internal/state/srvtab"
)

// backend returns one response.
type backend struct {
	port.Backend
	resp *port.Response
}

func (b backend) Send(context.Context, port.Attempt) (*port.Response, error) { return b.resp, nil }

// body records whether it was closed.
type body struct {
	port.Body
	closed bool
}

func (b *body) Close() error {
	b.closed = true
	return nil
}

// TestSend guards against responses that say what their server cannot have said, and against
// sound ones that are dropped.
func TestSend(t *testing.T) {
	for name, tc := range map[string]struct {
		resp port.Response
		err  error // nil: it is verified
	}{
		"a signed success":                       {resp: port.Response{Status: 200, CallID: "r", Signed: true}},
		"a signed success of another kind":       {resp: port.Response{Status: 204, CallID: "r", Signed: true}},
		"an unsigned success":                    {resp: port.Response{Status: 200, CallID: "r"}, err: errUnsigned},
		"a success of no call":                   {resp: port.Response{Status: 200, Signed: true}, err: errOtherCall},
		"a success of another call":              {resp: port.Response{Status: 200, CallID: "q", Signed: true}, err: errOtherCall},
		"a success that did not run":             {resp: port.Response{Status: 200, CallID: "r", Signed: true, NotExecuted: true}, err: errContradiction},
		"a failure":                              {resp: port.Response{Status: 500, CallID: "r"}},
		"a signed failure":                       {resp: port.Response{Status: 504, CallID: "r", Signed: true}},
		"a failure of no call":                   {resp: port.Response{Status: 500}, err: errOtherCall},
		"a refusal that is marked":               {resp: port.Response{Status: 503, CallID: "r", NotExecuted: true}},
		"a marked refusal of another status":     {resp: port.Response{Status: 400, CallID: "r", NotExecuted: true}},
		"a marked refusal of no call":            {resp: port.Response{Status: 503, NotExecuted: true}, err: errOtherCall},
		"a refusal without the mark":             {resp: port.Response{Status: 503, CallID: "r"}, err: errUnmarked},
		"too many requests, without the mark":    {resp: port.Response{Status: 429, CallID: "r"}, err: errUnmarked},
		"a timeout, without the mark":            {resp: port.Response{Status: 408, CallID: "r"}, err: errUnmarked},
		"misdirected":                            {resp: port.Response{Status: 421, CallID: "r", NotExecuted: true, Replaced: true}},
		"misdirected, from a server with a name": {resp: port.Response{Status: 421, NotExecuted: true, Replaced: true, Responder: "t"}},
		"misdirected, from nobody":               {resp: port.Response{Status: 421, NotExecuted: true, Replaced: true}, err: errOtherCall},
		"misdirected, for another call":          {resp: port.Response{Status: 421, CallID: "q", NotExecuted: true, Replaced: true, Responder: "t"}, err: errOtherCall},
	} {
		t.Run(name, func(t *testing.T) {
			content := &body{}
			tc.resp.Body = content
			resp, err := New(backend{resp: &tc.resp}).Send(t.Context(), port.Attempt{Call: &call.Call{ID: "r"}, Server: &srvtab.Server{}})
			assert.Assert(t, errors.Is(err, tc.err), "%v", err)
			assert.Equal(t, resp != nil, tc.err == nil)
			assert.Equal(t, content.closed, tc.err != nil)
			var sendErr *port.SendError
			assert.Equal(t, errors.As(err, &sendErr) && !sendErr.Unsent, tc.err != nil, "a call that was sent may have run")
		})
	}
}

// TestMeansNotRun checks that failures that promise nothing need no mark.
func TestMeansNotRun(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		assert.Assert(t, !meansNotRun(status), "%d", status)
	}
}
