package cmds

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
)

const (
	keyVariable = "UMBERLADDER_KEY"
	callTime    = 15 * time.Second
)

// remote is the operators' interface of one VM.
type remote struct {
	server string
	key    string
}

func (r *remote) flags(c *cobra.Command) {
	c.Flags().StringVar(&r.server, "server", "127.0.0.1:8081", "operators' address of any VM")
	c.Flags().StringVar(&r.key, "key", os.Getenv(keyVariable), "operators' key; by default "+keyVariable)
}

// answer is what a VM answered.
type answer struct {
	status int
	etag   string
	body   []byte
}

// value returns the answer's JSON, or null.
func (a *answer) value() *fastjson.Value {
	v, err := fastjson.ParseBytes(a.body)
	if err != nil {
		return fastjson.MustParse("null")
	}
	return v
}

// call sends one request. It is never sent twice.
func (r *remote) call(method, path string, body []byte, headers ...string) (*answer, error) {
	if _, err := netip.ParseAddrPort(r.server); err != nil {
		return nil, exit(ExitUsage, trace.BadParameter("--server: want an IP address with a port, got %q", r.server))
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + r.server + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+r.key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBody(body)
	client := &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if err := client.DoTimeout(req, resp, callTime); err != nil {
		return nil, exit(ExitFailure, trace.ConnectionProblem(err, "%s does not answer: %s", r.server, err))
	}
	return &answer{
		status: resp.StatusCode(),
		etag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), resp.Body()...),
	}, nil
}

// failed turns a problem document into the error and exit code it means.
func (a *answer) failed() error {
	v := a.value()
	detail := string(v.GetStringBytes("detail"))
	if detail == "" {
		detail = "status " + strconv.Itoa(a.status)
	}
	err := fmt.Errorf("%s", detail)
	switch a.status {
	case fasthttp.StatusPreconditionFailed:
		return exit(ExitConflict, err)
	case fasthttp.StatusGatewayTimeout:
		return exit(ExitUnknown, err)
	case fasthttp.StatusUnprocessableEntity, fasthttp.StatusBadRequest:
		return exit(ExitInvalid, err)
	default:
		return exit(ExitFailure, err)
	}
}

// get fetches a path and fails unless it is there.
func (r *remote) get(path string) (*answer, error) {
	a, err := r.call(fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if a.status != fasthttp.StatusOK {
		return nil, a.failed()
	}
	return a, nil
}

// output is the form of what a command prints.
type output struct {
	form string
}

const (
	formTable = "table"
	formJSON  = "json"
	formPage  = "page"
)

func (o *output) flags(c *cobra.Command, forms string) {
	c.Flags().StringVar(&o.form, "output", formTable, "form of the output: "+forms)
}

func (o *output) check(forms ...string) error {
	for _, f := range forms {
		if o.form == f {
			return nil
		}
	}
	return exit(ExitUsage, trace.BadParameter("--output: want one of %v, got %q", forms, o.form))
}
