package caller

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/refuse"
)

const problemType = "application/problem+json"

// problemDocument encodes a refusal as a problem document (RFC 9457). Client
// libraries of the OpenAI interface show the member "error".
func problemDocument(a *fastjson.Arena, r *refuse.Refusal, code string) *fastjson.Value {
	o := a.NewObject()
	o.Set("type", a.NewString("urn:umberladder:refusal:"+r.Reason.String()))
	o.Set("title", a.NewString(r.Reason.Title()))
	o.Set("status", a.NewNumberInt(r.Reason.Status()))
	o.Set("detail", a.NewString(r.Detail))
	o.Set("instance", a.NewString(string(r.Request)))
	o.Set("reason", a.NewString(r.Reason.String()))
	o.Set("ran", a.NewString(r.Ran.String()))
	o.Set("vm", a.NewString(string(r.VM)))
	o.Set("at", a.NewString(r.At.UTC().Format(time.RFC3339Nano)))
	if r.Rule.Path != "" {
		l := a.NewObject()
		l.Set("path", a.NewString(r.Rule.Path))
		l.Set("version", a.NewNumberString(strconv.FormatUint(r.Rule.Version, 10)))
		l.Set("limit", a.NewNumberFloat64(r.Rule.Limit))
		l.Set("observed", a.NewNumberFloat64(r.Rule.Observed))
		o.Set("limit", l)
	}
	if r.RetryAfter > 0 {
		o.Set("retry-after-ms", a.NewNumberInt(int(r.RetryAfter.Milliseconds())))
	}
	if code != "" {
		o.Set("code", a.NewString(code))
	}
	e := a.NewObject()
	e.Set("message", a.NewString(r.Reason.Title()+": "+r.Detail))
	e.Set("type", a.NewString(r.Reason.String()))
	e.Set("code", a.NewString(r.Ran.String()))
	o.Set("error", e)
	return o
}

func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, r *refuse.Refusal) {
	var a fastjson.Arena
	ctx.Response.ResetBody()
	ctx.SetStatusCode(r.Reason.Status())
	ctx.SetContentType(problemType)
	if r.Request != "" {
		ctx.Response.Header.Set(headerRequest, string(r.Request))
	}
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(r.RetryAfter))
	}
	ctx.SetBody(problemDocument(&a, r, s.handler.Code(r)).MarshalTo(nil))
}

// retryAfterSeconds rounds up to whole seconds, because an earlier retry would
// be refused again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
