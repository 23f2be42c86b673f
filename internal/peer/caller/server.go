package caller

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/openai"
	"umberladder/internal/policy/hold"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	pathServices    = "/v1/services/"
	pathResume      = "/v1/resume/"
	pathRefusals    = "/v1/refusals/"
	pathHealth      = "/healthz"
	pathReady       = "/readyz"
	pathMetrics     = "/metrics"
)

// Config holds the limits on requests and connections, and the logger.
type Config struct {
	MaxBodyBytes   int           // largest request body, in bytes
	MaxHeaderBytes int           // largest request line and header section, in bytes
	ReadTimeout    time.Duration // longest time for receiving one request
	IdleTimeout    time.Duration // longest time between two requests
	WriteTimeout   time.Duration // longest time that one write may block
	MaxConns       int           // largest number of open connections
	Held           *hold.Pool    // what connections, requests and responses take is part of it
	DrainDelay     time.Duration // time from reporting not ready to closing the listener
	Log            fasthttp.Logger
}

// Server is the HTTP server for clients. It passes requests to a Handler.
type Server struct {
	cfg      Config
	handler  Handler
	metrics  func(*fasthttp.RequestCtx)
	http     *fasthttp.Server
	baseCtx  context.Context
	draining atomic.Bool
}

// New returns a server. Canceling baseCtx cancels all requests. The function
// metrics serves /metrics.
func New(baseCtx context.Context, cfg Config, handler Handler, metrics func(*fasthttp.RequestCtx)) *Server {
	s := &Server{cfg: cfg, handler: handler, metrics: metrics, baseCtx: baseCtx}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		ErrorHandler:       s.handleReadError,
		Name:               "umberladder",
		ReadTimeout:        cfg.ReadTimeout,
		IdleTimeout:        cfg.IdleTimeout,
		ReadBufferSize:     cfg.MaxHeaderBytes,
		MaxRequestBodySize: cfg.MaxBodyBytes,
		Concurrency:        cfg.MaxConns,
		ConnState:          stateChanged,
		ReduceMemoryUsage:  true,
		// Bodies are read in the handler, into a buffer that the pool counts.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		NoDefaultDate:                true,
		Logger:                       cfg.Log,
	}
	return s
}

// Serve serves connections from ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	return trace.Wrap(s.http.Serve(&listener{Listener: ln, writeTimeout: s.cfg.WriteTimeout, held: s.cfg.Held}))
}

// Shutdown reports the VM as not ready, waits DrainDelay for the load balancer
// to notice, and then stops accepting connections. It returns when all requests
// have completed, without a time limit of its own, or when ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	select {
	case <-time.After(s.cfg.DrainDelay):
	case <-ctx.Done():
	}
	return trace.Wrap(s.http.ShutdownWithContext(ctx))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	body, refusal := s.readBody(ctx)
	if refusal != nil {
		s.rejectBody(ctx, refusal)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathChat:
		s.generate(ctx, body, true)
	case path == pathCompletions:
		s.generate(ctx, body, false)
	case path == pathModels:
		s.models(ctx)
	case strings.HasPrefix(path, pathServices):
		s.plain(ctx, body, strings.TrimPrefix(path, pathServices))
	case strings.HasPrefix(path, pathResume):
		s.resume(ctx, strings.TrimPrefix(path, pathResume))
	case strings.HasPrefix(path, pathRefusals):
		s.explain(ctx, strings.TrimPrefix(path, pathRefusals))
	case path == pathHealth:
		ctx.SetBodyString("ok\n")
	case path == pathReady:
		s.ready(ctx)
	case path == pathMetrics:
		s.metrics(ctx)
	default:
		s.refuse(ctx, refuse.New(refuse.NotFound, "there is nothing at %.100s", path))
	}
}

// overloadRetryAfter is the retry delay of a request for which too little memory was left. Other VMs
// are likely to have more.
const overloadRetryAfter = 500 * time.Millisecond

// readBody reads the body of a request, which the connection holds until its response is written.
func (s *Server) readBody(ctx *fasthttp.RequestCtx) ([]byte, *refuse.Refusal) {
	c, ok := ctx.Conn().(*conn)
	length := ctx.Request.Header.ContentLength()
	body := ctx.RequestBodyStream()
	if !ok || body == nil {
		return nil, s.holdRequest(c, callBytes)
	}
	if length > s.cfg.MaxBodyBytes {
		return nil, s.bodyTooLarge()
	}
	if callBytes+bodyCopies*length > s.cfg.Held.LargestRequest() {
		return nil, refuse.New(refuse.MemoryShort, "the body of %d bytes is over what this VM has memory for", length)
	}
	size := length
	if length < 0 {
		size = s.cfg.MaxBodyBytes + 1
	}
	b, err := c.account.ReadAll(body, size, callBytes)
	switch {
	case c.account.Reclaimed(), errors.Is(err, hold.ErrExhausted):
		return nil, overloaded(err)
	case err != nil, len(b) < length:
		return nil, s.readRefusal(err)
	case len(b) > s.cfg.MaxBodyBytes:
		return nil, s.bodyTooLarge()
	}
	return b, s.holdRequest(c, callBytes+bodyCopies*len(b))
}

// holdRequest states that the connection holds a request of n bytes, and that nothing of it is
// missing any more.
func (s *Server) holdRequest(c *conn, n int) *refuse.Refusal {
	if c == nil {
		return nil
	}
	err := c.account.Hold(hold.Requests, n)
	if err == nil {
		err = c.account.SetState(hold.Busy, 0)
	}
	if err != nil {
		return overloaded(err)
	}
	return nil
}

func overloaded(err error) *refuse.Refusal {
	return refuse.New(refuse.MemoryShort, "this VM has too little memory left for the request: %v", err).WithRetryAfter(overloadRetryAfter)
}

func (s *Server) bodyTooLarge() *refuse.Refusal {
	return refuse.New(refuse.TooLarge, "the body is over %d bytes", s.cfg.MaxBodyBytes)
}

// rejectBody responds to a request whose body was not read, and closes the connection.
func (s *Server) rejectBody(ctx *fasthttp.RequestCtx, r *refuse.Refusal) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.release()
		c.rejected.Store(true)
	}
	ctx.SetConnectionClose()
	s.refuse(ctx, r)
}

// refuse responds with a refusal made before the request reached the handler.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r *refuse.Refusal) {
	s.writeRefusal(ctx, s.handler.RecordRefusal(r))
}

func (s *Server) generate(ctx *fasthttp.RequestCtx, body []byte, chat bool) {
	if !ctx.IsPost() {
		ctx.Response.Header.Set(fasthttp.HeaderAllow, fasthttp.MethodPost)
		s.refuse(ctx, badInput("%s takes POST, not %s", ctx.Path(), ctx.Method()))
		return
	}
	g, refusal := parseGeneration(ctx, body, chat)
	if refusal != nil {
		s.refuse(ctx, refusal)
		return
	}
	if !g.Stream {
		s.generateUnary(ctx, g)
		return
	}
	st, refusal := s.handler.Stream(s.baseCtx, g)
	if refusal != nil {
		s.writeRefusal(ctx, refusal)
		return
	}
	s.stream(ctx, st)
}

func (s *Server) generateUnary(ctx *fasthttp.RequestCtx, g GenerationRequest) {
	completion, refusal := s.handler.Generate(s.baseCtx, g)
	if refusal != nil {
		s.writeRefusal(ctx, refusal)
		return
	}
	ctx.Response.Header.Set(headerRequest, string(completion.Request))
	ctx.SetContentType("application/json")
	ctx.SetBody(completion.Encode(&g.Request, time.Now()))
}

func (s *Server) resume(ctx *fasthttp.RequestCtx, handle string) {
	next := uint64(0)
	if last := string(ctx.Request.Header.Peek(headerLastEventID)); last != "" {
		n, err := strconv.ParseUint(last, 10, 63)
		if err != nil {
			s.refuse(ctx, badInput("the header %s must be the index of the last token held", headerLastEventID))
			return
		}
		next = n + 1
	}
	st, refusal := s.handler.Resume(s.baseCtx, ResumeRequest{Key: bearerKey(ctx), Handle: handle, Next: next})
	if refusal != nil {
		s.writeRefusal(ctx, refusal)
		return
	}
	s.stream(ctx, st)
}

func (s *Server) plain(ctx *fasthttp.RequestCtx, body []byte, rest string) {
	name, _, _ := strings.Cut(rest, "/")
	if err := ident.CheckName(name); err != nil {
		s.refuse(ctx, badInput("service: %s", trace.UserMessage(err)))
		return
	}
	key, refusal := idempotencyKey(ctx)
	if refusal != nil {
		s.refuse(ctx, refusal)
		return
	}
	uri := strings.TrimPrefix(string(ctx.RequestURI()), pathServices+name)
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	resp, refusal := s.handler.Plain(s.baseCtx, PlainRequest{
		Key:            bearerKey(ctx),
		Service:        ident.Service(name),
		Method:         string(ctx.Method()),
		Path:           uri,
		ContentType:    string(ctx.Request.Header.ContentType()),
		Body:           body,
		IdempotencyKey: key,
	})
	if refusal != nil {
		s.writeRefusal(ctx, refusal)
		return
	}
	ctx.Response.Header.Set(headerRequest, string(resp.Request))
	ctx.SetStatusCode(resp.Status)
	ctx.SetContentType(resp.ContentType)
	s.holdResponse(ctx, len(resp.Body))
	ctx.Response.SetBodyRaw(resp.Body)
}

// holdResponse states how large the response is that the connection holds. A response that does not
// fit is counted as far as it does.
func (s *Server) holdResponse(ctx *fasthttp.RequestCtx, n int) {
	c, ok := ctx.Conn().(*conn)
	if ok && c.account.Hold(hold.Responses, n) != nil {
		_ = c.account.Hold(hold.Responses, min(n, hold.SmallBytes)) // never fails for a small response
	}
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	names, refusal := s.handler.Services(bearerKey(ctx))
	if refusal != nil {
		s.writeRefusal(ctx, refusal)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(openai.EncodeModels(names))
}

func (s *Server) explain(ctx *fasthttp.RequestCtx, code string) {
	r, err := s.handler.Explain(code)
	if err != nil {
		s.refuse(ctx, refuse.New(refuse.NotFound, "%s", trace.UserMessage(err)))
		return
	}
	var a fastjson.Arena
	o := problemDocument(&a, r, "")
	o.Set("explanation", a.NewString(r.Explain()))
	ctx.SetContentType("application/json")
	ctx.SetBody(o.MarshalTo(nil))
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() || !s.handler.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// handleReadError responds to a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*conn); ok {
		c.rejected.Store(true)
		if c.account.Reclaimed() {
			s.refuse(ctx, overloaded(hold.ErrReclaimed))
			return
		}
	}
	s.refuse(ctx, s.readRefusal(err))
}

// readRefusal returns the refusal of a request that could not be read.
func (s *Server) readRefusal(err error) *refuse.Refusal {
	var tooSmall *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &tooSmall):
		return refuse.New(refuse.HeaderTooLarge, "the header section is over %d bytes", s.cfg.MaxHeaderBytes)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return s.bodyTooLarge()
	case errors.As(err, &timeout) && timeout.Timeout():
		return refuse.New(refuse.ClientStalled, "the request was not sent whole within %s", s.cfg.ReadTimeout)
	default:
		return badInput("the request is not valid HTTP")
	}
}
