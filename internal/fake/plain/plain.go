// Package plain implements a fake of a workspace's own HTTP server (bookings,
// tank checks, ticket look-ups). Its response contains the tag of the call. It
// counts how often each tag ran, so that a test can detect lost and duplicated
// calls.
package plain

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/fake/httpd"
	"umberladder/internal/fake/runlog"
)

// Faults are the failures that a test injects.
type Faults struct {
	Delay        time.Duration // the call runs and its response is delayed by this much
	DropResponse bool          // the call runs and its connection is closed without a response
	Error        bool          // the call runs and fails with 500
	RawResponse  string        // the call runs and this is sent in place of its response; empty: the response is sent
}

// Server is a fake plain server.
type Server struct {
	name   string
	faults atomic.Pointer[Faults]
	runLog *runlog.Log
}

// New returns a server that records the calls it runs in runLog.
func New(name string, runLog *runlog.Log) *Server {
	s := &Server{name: name, runLog: runLog}
	s.faults.Store(&Faults{})
	return s
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Runs returns how often the call with the tag ran.
func (s *Server) Runs(tag string) int { return s.runLog.Runs(tag) }

// Serve accepts connections on ln until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, s.name, s.handle)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/stand-in/faults" {
		s.handleFaults(ctx)
		return
	}
	f := s.faults.Load()
	tag := string(ctx.QueryArgs().Peek("tag"))
	if err := s.runLog.Add(tag); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.DropResponse {
		_ = ctx.Conn().Close()
		return
	}
	if f.RawResponse != "" {
		httpd.RespondRaw(ctx, f.RawResponse)
		return
	}
	if f.Error {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.SetBytesV("Umberladder-Request", ctx.Request.Header.Peek("Umberladder-Request"))
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"tag":%q,"method":%q,"path":%q,"bytes":%d}`, tag, ctx.Method(), ctx.Path(), len(ctx.PostBody()))
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{
		Delay:        time.Duration(v.GetInt("late_ms")) * time.Millisecond,
		DropResponse: v.GetBool("cut"),
		Error:        v.GetBool("error"),
	})
}
