// Package plain is a stand-in for a team's own HTTP server: bookings, tank
// checks, ticket look-ups. It answers with the tag of the call and counts how
// often each tag ran, so that a test can tell lost and doubled calls.
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
	"umberladder/internal/fake/record"
)

// Faults are what a test switches on.
type Faults struct {
	Late  time.Duration // answers come this late
	Cut   bool          // the call runs and its answer is cut
	Error bool          // the call runs and fails with 500
}

// Server is a stand-in plain server.
type Server struct {
	name   string
	faults atomic.Pointer[Faults]
	record *record.Record
}

// New makes a server that records what it runs.
func New(name string, rec *record.Record) *Server {
	s := &Server{name: name, record: rec}
	s.faults.Store(&Faults{})
	return s
}

// Fault replaces the faults in force.
func (s *Server) Fault(f Faults) { s.faults.Store(&f) }

// Runs returns how often the call with the tag ran.
func (s *Server) Runs(tag string) int { return s.record.Runs(tag) }

// Serve answers on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, s.name, s.handle)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/stand-in/faults" {
		s.setFaults(ctx)
		return
	}
	f := s.faults.Load()
	tag := string(ctx.QueryArgs().Peek("tag"))
	if err := s.record.Add(tag); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if f.Late > 0 {
		time.Sleep(f.Late)
	}
	if f.Cut {
		_ = ctx.Conn().Close()
		return
	}
	if f.Error {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.SetBytesV("Umberladder-Request", ctx.Request.Header.Peek("Umberladder-Request"))
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, `{"tag":%q,"method":%q,"path":%q,"bytes":%d}`, tag, ctx.Method(), ctx.Path(), len(ctx.PostBody()))
}

func (s *Server) setFaults(ctx *fasthttp.RequestCtx) {
	v, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.Fault(Faults{
		Late:  time.Duration(v.GetInt("late_ms")) * time.Millisecond,
		Cut:   v.GetBool("cut"),
		Error: v.GetBool("error"),
	})
}
