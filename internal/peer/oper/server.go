package oper

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/store"
	"umberladder/internal/state/config"
	"umberladder/internal/state/edit"
	"umberladder/internal/state/syncer"
)

const (
	pathSettings = "/v1/settings"
	pathHistory  = "/v1/history"
	pathChanges  = "/v1/changes/"
	pathStatus   = "/v1/status"
	pathUsage    = "/v1/status/workspaces/"
	pathBurn     = "/v1/burn"
	pathDrain    = "/v1/drain"
	maxBody      = 1 << 20
	readTimeout  = 30 * time.Second
	idleTimeout  = 2 * time.Minute
	maxConns     = 64 // each may hold a body of maxBody
	callTimeout  = 10 * time.Second
)

// Settings provides the snapshot of the settings in force.
type Settings interface {
	Load() *config.Snapshot
}

// Editor applies operators' changes of settings and reports on them.
type Editor interface {
	Apply(ctx context.Context, c edit.Change) (edit.Result, error)
	Read(ctx context.Context, path string) (*syncer.Value, uint64, error)
	ChangeStatus(ctx context.Context, path, id string, baseVersion uint64) edit.Status
}

// VM provides the status, reports and draining of this VM.
type VM interface {
	Status(a *fastjson.Arena) *fastjson.Value
	// BurnReport returns the burn report as JSON, for this VM or merged over all
	// VMs. If workspace is not empty, it covers only that workspace.
	BurnReport(ctx context.Context, merged bool, workspace ident.Workspace) ([]byte, error)
	// WorkspaceUsage returns the usage of a workspace on each VM, or nil if there
	// is no such workspace.
	WorkspaceUsage(ctx context.Context, a *fastjson.Arena, name ident.Workspace) *fastjson.Value
	Drain()
}

// Server is the HTTP server for operators.
type Server struct {
	settings  Settings
	editor    Editor
	vm        VM
	operators []config.KeyHash // from the configuration file of the VM
	http      *fasthttp.Server
}

// New returns a server. The keys in operators grant access to everything, also
// before any settings have been loaded.
func New(settings Settings, editor Editor, vm VM, operators []config.KeyHash, log fasthttp.Logger) *Server {
	s := &Server{settings: settings, editor: editor, vm: vm, operators: operators}
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		Name:               "umberladder",
		ReadTimeout:        readTimeout,
		MaxRequestBodySize: maxBody,
		IdleTimeout:        idleTimeout,
		WriteTimeout:       readTimeout,
		Concurrency:        maxConns,
		NoDefaultDate:      true,
		Logger:             log,
	}
	return s
}

// Serve serves connections from ln until ctx is canceled.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := s.http.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	p, ok := s.authenticate(ctx)
	if !ok {
		writeProblem(ctx, fasthttp.StatusUnauthorized, "wrong-key", "the Authorization header must be \"Bearer\" and an operators' key")
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathSettings:
		s.listDocuments(ctx, &p)
	case strings.HasPrefix(path, pathSettings+"/"):
		s.handleDocument(ctx, &p, strings.TrimPrefix(path, pathSettings))
	case strings.HasPrefix(path, pathHistory+"/"):
		s.history(ctx, &p, strings.TrimPrefix(path, pathHistory))
	case strings.HasPrefix(path, pathChanges):
		s.changeStatus(ctx, &p, strings.TrimPrefix(path, pathChanges))
	case path == pathStatus:
		s.status(ctx)
	case strings.HasPrefix(path, pathUsage):
		s.workspaceUsage(ctx, &p, ident.Workspace(strings.TrimPrefix(path, pathUsage)))
	case path == pathBurn:
		s.burnReport(ctx, &p)
	case path == pathDrain && ctx.IsPost():
		s.drain(ctx, &p)
	default:
		writeProblem(ctx, fasthttp.StatusNotFound, "not-found", "there is nothing at "+path)
	}
}

// authorizePath checks a settings path and the principal's access to it, and
// reports whether the request may proceed. A path of another workspace is
// reported as not found, so that its existence is not disclosed.
func authorizePath(ctx *fasthttp.RequestCtx, p *principal, path string) bool {
	if path != config.SystemPath {
		if _, err := config.WorkspaceFromPath(path); err != nil {
			writeProblem(ctx, fasthttp.StatusBadRequest, "bad-input", trace.UserMessage(err))
			return false
		}
	}
	if !p.mayAccess(path) {
		writeProblem(ctx, fasthttp.StatusNotFound, "not-found", "there is nothing at "+path)
		return false
	}
	return true
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	var a fastjson.Arena
	writeJSON(ctx, s.vm.Status(&a))
}

func (s *Server) workspaceUsage(ctx *fasthttp.RequestCtx, p *principal, name ident.Workspace) {
	if !authorizePath(ctx, p, config.WorkspacePath(name)) {
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var a fastjson.Arena
	v := s.vm.WorkspaceUsage(callCtx, &a, name)
	if v == nil {
		writeProblem(ctx, fasthttp.StatusNotFound, "not-found", "there is no workspace "+string(name))
		return
	}
	writeJSON(ctx, v)
}

func (s *Server) burnReport(ctx *fasthttp.RequestCtx, p *principal) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, err := s.vm.BurnReport(callCtx, ctx.QueryArgs().GetBool("merged"), p.workspace)
	if err != nil {
		writeProblem(ctx, fasthttp.StatusInternalServerError, "report", trace.UserMessage(err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (s *Server) drain(ctx *fasthttp.RequestCtx, p *principal) {
	if !p.isSystem {
		writeProblem(ctx, fasthttp.StatusForbidden, "not-allowed", "only the system's operators drain a VM")
		return
	}
	s.vm.Drain()
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func writeJSON(ctx *fasthttp.RequestCtx, v *fastjson.Value) {
	ctx.SetContentType("application/json")
	ctx.SetBody(v.MarshalTo(nil))
}

// writeProblem responds with a problem document (RFC 9457).
func writeProblem(ctx *fasthttp.RequestCtx, status int, slug, detail string) {
	var a fastjson.Arena
	ctx.SetStatusCode(status)
	writeJSON(ctx, problemDocument(&a, status, slug, detail))
	ctx.SetContentType("application/problem+json")
}

func problemDocument(a *fastjson.Arena, status int, slug, detail string) *fastjson.Value {
	o := a.NewObject()
	o.Set("type", a.NewString("urn:umberladder:operators:"+slug))
	o.Set("title", a.NewString(fasthttp.StatusMessage(status)))
	o.Set("status", a.NewNumberInt(status))
	o.Set("detail", a.NewString(detail))
	return o
}

// writeError responds with the problem document for a failed change or read of
// settings.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	var a fastjson.Arena
	var field *config.FieldError
	status, slug := fasthttp.StatusServiceUnavailable, "store-down"
	var addDetails func(o *fastjson.Value)
	switch c, conflict := edit.IsConflict(err); {
	case conflict:
		status, slug = fasthttp.StatusPreconditionFailed, "conflict"
		addDetails = func(o *fastjson.Value) {
			o.Set("version", a.NewNumberInt(int(c.Version)))
			o.Set("by", a.NewString(c.By))
		}
	case edit.IsUnknown(err):
		status, slug = fasthttp.StatusGatewayTimeout, "unknown"
	case errors.As(err, &field):
		status, slug = fasthttp.StatusUnprocessableEntity, "invalid-document"
		addDetails = func(o *fastjson.Value) { o.Set("path", a.NewString(field.Path)) }
	case trace.IsBadParameter(err):
		status, slug = fasthttp.StatusBadRequest, "bad-input"
	case store.Is(err, store.BudgetExhausted):
		slug = "store-budget"
	}
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "2")
	}
	o := problemDocument(&a, status, slug, trace.UserMessage(err))
	if addDetails != nil {
		addDetails(o)
	}
	ctx.SetStatusCode(status)
	writeJSON(ctx, o)
	ctx.SetContentType("application/problem+json")
}
