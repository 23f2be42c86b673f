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

	"umberladder/internal/state/amend"
)

const (
	headerChange = "Umberladder-Change"
	headerBy     = "Umberladder-Operator"
	maxName      = 100
)

// list names the documents that the key opens, with their versions.
func (s *Server) list(ctx *fasthttp.RequestCtx, acc *access) {
	var a fastjson.Arena
	snap := s.settings.Load()
	var paths []string
	for path, d := range snap.Documents {
		if acc.opens(path) && !d.Deleted() {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	list := a.NewArray()
	for i, path := range paths {
		o := a.NewObject()
		o.Set("path", a.NewString(path))
		o.Set("version", Number(&a, snap.Documents[path].Version))
		list.SetArrayItem(i, o)
	}
	reply(ctx, list)
}

// Number returns a whole number as JSON.
func Number(a *fastjson.Arena, n uint64) *fastjson.Value {
	return a.NewNumberString(strconv.FormatUint(n, 10))
}

func (s *Server) settingsAt(ctx *fasthttp.RequestCtx, acc *access, path string) {
	if !allowed(ctx, acc, path) {
		return
	}
	switch {
	case ctx.IsGet():
		s.get(ctx, path)
	case ctx.IsPut():
		s.put(ctx, acc, path, append([]byte(nil), ctx.PostBody()...))
	case ctx.IsDelete():
		s.put(ctx, acc, path, nil)
	default:
		ctx.Response.Header.Set(fasthttp.HeaderAllow, "GET, PUT, DELETE")
		fail(ctx, fasthttp.StatusMethodNotAllowed, "method", "settings take GET, PUT and DELETE")
	}
}

// get answers with the document in force on this VM.
func (s *Server) get(ctx *fasthttp.RequestCtx, path string) {
	d, ok := s.settings.Load().Documents[path]
	if !ok || d.Deleted() {
		fail(ctx, fasthttp.StatusNotFound, "not-found", "there is nothing at "+path)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatUint(d.Version, 10)))
	ctx.SetContentType("application/json")
	ctx.SetBody(d.Body)
}

func (s *Server) put(ctx *fasthttp.RequestCtx, acc *access, path string, body []byte) {
	want, ok := wanted(ctx)
	if !ok {
		fail(ctx, fasthttp.StatusPreconditionRequired, "precondition",
			"a change needs If-Match with the version it was made from, or If-None-Match: * for a new document")
		return
	}
	if body != nil && len(body) == 0 {
		fail(ctx, fasthttp.StatusBadRequest, "bad-input", "the body is empty; use DELETE to delete a document")
		return
	}
	c := amend.Change{
		ID:     string(ctx.Request.Header.Peek(headerChange)),
		By:     operator(ctx, acc),
		Path:   path,
		Want:   want,
		Body:   body,
		DryRun: ctx.QueryArgs().GetBool("dry-run"),
	}
	if c.ID == "" {
		c.ID = uuid.Must(uuid.NewV7()).String()
	}
	call, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	ctx.Response.Header.Set(headerChange, c.ID)
	res, err := s.amender.Apply(call, c)
	if err != nil {
		failed(ctx, err)
		return
	}
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("path", a.NewString(path))
	o.Set("version", Number(&a, res.Version))
	o.Set("change", a.NewString(c.ID))
	o.Set("dry-run", Bool(&a, c.DryRun))
	o.Set("diff", texts(&a, res.Diff))
	o.Set("warnings", texts(&a, res.Warnings))
	reply(ctx, o)
}

func operator(ctx *fasthttp.RequestCtx, acc *access) string {
	who := string(ctx.Request.Header.Peek(headerBy))
	if who == "" {
		return acc.name
	}
	return acc.name + " (" + who[:min(len(who), maxName)] + ")"
}

// wanted reads the version that the change was made from.
func wanted(ctx *fasthttp.RequestCtx) (uint64, bool) {
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == "*" {
		return 0, true
	}
	tag := strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`)
	n, err := strconv.ParseUint(tag, 10, 64)
	return n, err == nil
}

func (s *Server) history(ctx *fasthttp.RequestCtx, acc *access, path string) {
	if !allowed(ctx, acc, path) {
		return
	}
	call, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	v, version, err := s.amender.Read(call, path)
	if err != nil {
		failed(ctx, err)
		return
	}
	var a fastjson.Arena
	o, list := a.NewObject(), a.NewArray()
	for i, c := range v.Changes {
		e := a.NewObject()
		e.Set("change", a.NewString(c.ID))
		e.Set("by", a.NewString(c.By))
		e.Set("at", a.NewString(c.At.UTC().Format(time.RFC3339Nano)))
		e.Set("delete", Bool(&a, c.Delete))
		e.Set("diff", texts(&a, c.Diff))
		list.SetArrayItem(i, e)
	}
	o.Set("path", a.NewString(path))
	o.Set("version", Number(&a, version))
	o.Set("changes", list)
	reply(ctx, o)
}

// change tells what became of a change: ?path=…&from=VERSION.
func (s *Server) change(ctx *fasthttp.RequestCtx, acc *access, id string) {
	path := string(ctx.QueryArgs().Peek("path"))
	if !allowed(ctx, acc, path) {
		return
	}
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "bad-input", "from: want the version that the change was made from")
		return
	}
	call, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("change", a.NewString(id))
	o.Set("status", a.NewString(s.amender.Ask(call, path, id, from).String()))
	reply(ctx, o)
}

func texts(a *fastjson.Arena, list []string) *fastjson.Value {
	out := a.NewArray()
	for i, s := range list {
		out.SetArrayItem(i, a.NewString(s))
	}
	return out
}

// Bool returns a truth value as JSON.
func Bool(a *fastjson.Arena, b bool) *fastjson.Value {
	if b {
		return a.NewTrue()
	}
	return a.NewFalse()
}
