package oper

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/state/edit"
)

const (
	headerChange    = "Umberladder-Change"
	headerOperator  = "Umberladder-Operator"
	maxOperatorName = 100
)

// listDocuments lists the documents that the principal may access, with their
// versions.
func (s *Server) listDocuments(ctx *fasthttp.RequestCtx, p *principal) {
	var a fastjson.Arena
	snap := s.settings.Load()
	var paths []string
	for path, d := range snap.Documents {
		if p.mayAccess(path) && !d.Deleted() {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	list := a.NewArray()
	for i, path := range paths {
		o := a.NewObject()
		o.Set("path", a.NewString(path))
		o.Set("version", JSONUint(&a, snap.Documents[path].Version))
		list.SetArrayItem(i, o)
	}
	writeJSON(ctx, list)
}

// JSONUint returns an unsigned integer as a JSON number.
func JSONUint(a *fastjson.Arena, n uint64) *fastjson.Value {
	return a.NewNumberString(strconv.FormatUint(n, 10))
}

func (s *Server) handleDocument(ctx *fasthttp.RequestCtx, p *principal, path string) {
	if !authorizePath(ctx, p, path) {
		return
	}
	switch {
	case ctx.IsGet():
		s.getDocument(ctx, path)
	case ctx.IsPut():
		s.putDocument(ctx, p, path, append([]byte(nil), ctx.PostBody()...))
	case ctx.IsDelete():
		s.putDocument(ctx, p, path, nil)
	default:
		ctx.Response.Header.Set(fasthttp.HeaderAllow, "GET, PUT, DELETE")
		writeProblem(ctx, fasthttp.StatusMethodNotAllowed, "method", "settings take GET, PUT and DELETE")
	}
}

// getDocument responds with the document in force on this VM.
func (s *Server) getDocument(ctx *fasthttp.RequestCtx, path string) {
	d, ok := s.settings.Load().Documents[path]
	if !ok || d.Deleted() {
		writeProblem(ctx, fasthttp.StatusNotFound, "not-found", "there is nothing at "+path)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatUint(d.Version, 10)))
	ctx.SetContentType("application/json")
	ctx.SetBody(d.Body)
}

func (s *Server) putDocument(ctx *fasthttp.RequestCtx, p *principal, path string, body []byte) {
	version, ok := expectedVersion(ctx)
	if !ok {
		writeProblem(ctx, fasthttp.StatusPreconditionRequired, "precondition",
			"a change needs If-Match with the version it was made from, or If-None-Match: * for a new document")
		return
	}
	if body != nil && len(body) == 0 {
		writeProblem(ctx, fasthttp.StatusBadRequest, "bad-input", "the body is empty; use DELETE to delete a document")
		return
	}
	c := edit.Change{
		ID:          string(ctx.Request.Header.Peek(headerChange)),
		By:          operatorName(ctx, p),
		Path:        path,
		BaseVersion: version,
		Body:        body,
		DryRun:      ctx.QueryArgs().GetBool("dry-run"),
	}
	if c.ID == "" {
		c.ID = uuid.Must(uuid.NewV7()).String()
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ctx.Response.Header.Set(headerChange, c.ID)
	res, err := s.editor.Apply(callCtx, c)
	if err != nil {
		writeError(ctx, err)
		return
	}
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("path", a.NewString(path))
	o.Set("version", JSONUint(&a, res.Version))
	o.Set("change", a.NewString(c.ID))
	o.Set("dry-run", JSONBool(&a, c.DryRun))
	o.Set("diff", stringArray(&a, res.Diff))
	o.Set("warnings", stringArray(&a, res.Warnings))
	writeJSON(ctx, o)
}

func operatorName(ctx *fasthttp.RequestCtx, p *principal) string {
	name := string(ctx.Request.Header.Peek(headerOperator))
	if name == "" {
		return p.historyName
	}
	return p.historyName + " (" + name[:min(len(name), maxOperatorName)] + ")"
}

// expectedVersion returns the version that the change is based on, from the
// header If-Match or If-None-Match. It returns false if neither is valid.
func expectedVersion(ctx *fasthttp.RequestCtx) (uint64, bool) {
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == "*" {
		return 0, true
	}
	tag := strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`)
	n, err := strconv.ParseUint(tag, 10, 64)
	return n, err == nil
}

func (s *Server) history(ctx *fasthttp.RequestCtx, p *principal, path string) {
	if !authorizePath(ctx, p, path) {
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v, version, err := s.editor.Read(callCtx, path)
	if err != nil {
		writeError(ctx, err)
		return
	}
	var a fastjson.Arena
	o, list := a.NewObject(), a.NewArray()
	for i, c := range v.Changes {
		e := a.NewObject()
		e.Set("change", a.NewString(c.ID))
		e.Set("by", a.NewString(c.By))
		e.Set("at", a.NewString(c.At.UTC().Format(time.RFC3339Nano)))
		e.Set("delete", JSONBool(&a, c.Delete))
		e.Set("diff", stringArray(&a, c.Diff))
		list.SetArrayItem(i, e)
	}
	o.Set("path", a.NewString(path))
	o.Set("version", JSONUint(&a, version))
	o.Set("changes", list)
	writeJSON(ctx, o)
}

// changeStatus responds with the status of a change. The query is
// ?path=PATH&from=VERSION.
func (s *Server) changeStatus(ctx *fasthttp.RequestCtx, p *principal, id string) {
	path := string(ctx.QueryArgs().Peek("path"))
	if !authorizePath(ctx, p, path) {
		return
	}
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		writeProblem(ctx, fasthttp.StatusBadRequest, "bad-input", "from: want the version that the change was made from")
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("change", a.NewString(id))
	o.Set("status", a.NewString(s.editor.ChangeStatus(callCtx, path, id, from).String()))
	writeJSON(ctx, o)
}

func stringArray(a *fastjson.Arena, list []string) *fastjson.Value {
	out := a.NewArray()
	for i, s := range list {
		out.SetArrayItem(i, a.NewString(s))
	}
	return out
}

// JSONBool returns b as a JSON boolean.
func JSONBool(a *fastjson.Arena, b bool) *fastjson.Value {
	if b {
		return a.NewTrue()
	}
	return a.NewFalse()
}
