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
	"umberladder/internal/state/amend"
	"umberladder/internal/state/config"
	"umberladder/internal/state/spread"
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
	readTime     = 30 * time.Second
	callTime     = 10 * time.Second
)

// Settings is where the snapshot in force is read.
type Settings interface {
	Load() *config.Snapshot
}

// Amender accepts changes of settings.
type Amender interface {
	Apply(ctx context.Context, c amend.Change) (amend.Result, error)
	Read(ctx context.Context, path string) (*spread.Value, uint64, error)
	Ask(ctx context.Context, path, id string, want uint64) amend.Status
}

// Node is what operators see and do of the VM itself.
type Node interface {
	Status(a *fastjson.Arena) *fastjson.Value
	// Burn returns the report as JSON: of this VM, or merged over all; of one
	// workspace, unless only is empty.
	Burn(ctx context.Context, merged bool, only ident.Workspace) ([]byte, error)
	// Workspace tells what a workspace uses on every VM, or nil if there is
	// none of that name.
	Workspace(ctx context.Context, a *fastjson.Arena, name ident.Workspace) *fastjson.Value
	Drain()
}

// Server serves operators.
type Server struct {
	settings  Settings
	amender   Amender
	node      Node
	operators []config.KeyHash // from the node's own settings
	http      *fasthttp.Server
}

// New makes a server. The keys in operators open everything, also before any
// settings are there.
func New(s Settings, a Amender, n Node, operators []config.KeyHash, log fasthttp.Logger) *Server {
	o := &Server{settings: s, amender: a, node: n, operators: operators}
	o.http = &fasthttp.Server{
		Handler:            o.handle,
		Name:               "umberladder",
		ReadTimeout:        readTime,
		MaxRequestBodySize: maxBody,
		NoDefaultDate:      true,
		Logger:             log,
	}
	return o
}

// Serve answers on ln until ctx ends.
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
	acc, ok := s.access(ctx)
	if !ok {
		fail(ctx, fasthttp.StatusUnauthorized, "wrong-key", "the Authorization header must be \"Bearer\" and an operators' key")
		return
	}
	path := string(ctx.Path())
	switch {
	case path == pathSettings:
		s.list(ctx, &acc)
	case strings.HasPrefix(path, pathSettings+"/"):
		s.settingsAt(ctx, &acc, strings.TrimPrefix(path, pathSettings))
	case strings.HasPrefix(path, pathHistory+"/"):
		s.history(ctx, &acc, strings.TrimPrefix(path, pathHistory))
	case strings.HasPrefix(path, pathChanges):
		s.change(ctx, &acc, strings.TrimPrefix(path, pathChanges))
	case path == pathStatus:
		s.status(ctx)
	case strings.HasPrefix(path, pathUsage):
		s.usage(ctx, &acc, ident.Workspace(strings.TrimPrefix(path, pathUsage)))
	case path == pathBurn:
		s.burn(ctx, &acc)
	case path == pathDrain && ctx.IsPost():
		s.drain(ctx, &acc)
	default:
		fail(ctx, fasthttp.StatusNotFound, "not-found", "there is nothing at "+path)
	}
}

// allowed checks a settings path and the key's right to it. To a team's key
// another's subtree does not exist.
func allowed(ctx *fasthttp.RequestCtx, acc *access, path string) bool {
	if path != config.SystemPath {
		if _, err := config.WorkspaceOf(path); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, "bad-input", trace.UserMessage(err))
			return false
		}
	}
	if !acc.opens(path) {
		fail(ctx, fasthttp.StatusNotFound, "not-found", "there is nothing at "+path)
		return false
	}
	return true
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	var a fastjson.Arena
	reply(ctx, s.node.Status(&a))
}

func (s *Server) usage(ctx *fasthttp.RequestCtx, acc *access, name ident.Workspace) {
	if !allowed(ctx, acc, config.WorkspacePath(name)) {
		return
	}
	c, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	var a fastjson.Arena
	v := s.node.Workspace(c, &a, name)
	if v == nil {
		fail(ctx, fasthttp.StatusNotFound, "not-found", "there is no workspace "+string(name))
		return
	}
	reply(ctx, v)
}

func (s *Server) burn(ctx *fasthttp.RequestCtx, acc *access) {
	c, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	data, err := s.node.Burn(c, ctx.QueryArgs().GetBool("merged"), acc.workspace)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, "report", trace.UserMessage(err))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (s *Server) drain(ctx *fasthttp.RequestCtx, acc *access) {
	if !acc.system {
		fail(ctx, fasthttp.StatusForbidden, "not-allowed", "only the system's operators drain a VM")
		return
	}
	s.node.Drain()
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func reply(ctx *fasthttp.RequestCtx, v *fastjson.Value) {
	ctx.SetContentType("application/json")
	ctx.SetBody(v.MarshalTo(nil))
}

// fail answers with a problem document (RFC 9457).
func fail(ctx *fasthttp.RequestCtx, status int, slug, detail string) {
	var a fastjson.Arena
	ctx.SetStatusCode(status)
	reply(ctx, problem(&a, status, slug, detail))
	ctx.SetContentType("application/problem+json")
}

func problem(a *fastjson.Arena, status int, slug, detail string) *fastjson.Value {
	o := a.NewObject()
	o.Set("type", a.NewString("urn:umberladder:operators:"+slug))
	o.Set("title", a.NewString(fasthttp.StatusMessage(status)))
	o.Set("status", a.NewNumberInt(status))
	o.Set("detail", a.NewString(detail))
	return o
}

// failed answers with the problem document of a failed change or read.
func failed(ctx *fasthttp.RequestCtx, err error) {
	var a fastjson.Arena
	var field *config.FieldError
	status, slug := fasthttp.StatusServiceUnavailable, "store-down"
	var add func(o *fastjson.Value)
	switch c, conflict := amend.IsConflict(err); {
	case conflict:
		status, slug = fasthttp.StatusPreconditionFailed, "conflict"
		add = func(o *fastjson.Value) {
			o.Set("version", a.NewNumberInt(int(c.Version)))
			o.Set("by", a.NewString(c.By))
		}
	case amend.IsUnknown(err):
		status, slug = fasthttp.StatusGatewayTimeout, "unknown"
	case errors.As(err, &field):
		status, slug = fasthttp.StatusUnprocessableEntity, "invalid-document"
		add = func(o *fastjson.Value) { o.Set("path", a.NewString(field.Path)) }
	case trace.IsBadParameter(err):
		status, slug = fasthttp.StatusBadRequest, "bad-input"
	case store.Is(err, store.Budget):
		slug = "store-budget"
	}
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "2")
	}
	o := problem(&a, status, slug, trace.UserMessage(err))
	if add != nil {
		add(o)
	}
	ctx.SetStatusCode(status)
	reply(ctx, o)
	ctx.SetContentType("application/problem+json")
}
