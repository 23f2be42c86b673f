package entry

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/final"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/caller"
	peer "umberladder/internal/peer/plain"
	"umberladder/internal/peer/proto"
	"umberladder/internal/state/config"
)

// repeatable lists the idempotent methods (RFC 9110, section 9.2.2).
var repeatable = []string{
	fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions,
	fasthttp.MethodPut, fasthttp.MethodDelete,
}

// Plain implements caller.Handler.
func (e *Entry) Plain(ctx context.Context, p caller.Plain) (caller.Answer, *refuse.Refusal) {
	rec := &final.Record{}
	t, refusal := e.find(p.Key, p.Service, config.PlainService, "")
	if refusal != nil {
		return caller.Answer{}, e.refused(&t, rec, refusal)
	}
	pass, refusal := e.gate.Admit(t.workspace, t.start)
	if refusal != nil {
		return caller.Answer{}, e.refused(&t, rec, refusal)
	}
	defer func() { pass.Release(0, time.Now()) }()
	claim, refusal := e.claimed(ctx, &t, p.IdempotencyKey, fingerprint(p.Method+" "+p.Path, string(p.Body)))
	if refusal != nil {
		return caller.Answer{}, e.refused(&t, rec, refusal)
	}
	if claim.replay != nil {
		rec.Bytes = len(claim.replay.GetBody())
		e.done(&t, rec)
		return replayed(t.request, claim.replay), nil
	}
	answer, server, refusal := e.plain.Do(ctx, t.request, t.service, t.plainCall(p))
	rec.Server = server
	rec.First = time.Since(t.start)
	if refusal != nil {
		claim.finish(refusal.Ran != refuse.RanNo, nil)
		return caller.Answer{}, e.refused(&t, rec, refusal)
	}
	claim.finish(true, &proto.Answer{
		Status:      uint32(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
	})
	rec.Bytes = len(answer.Body)
	e.done(&t, rec)
	return caller.Answer{Request: t.request, Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

func (t *target) plainCall(p caller.Plain) peer.Call {
	c := peer.Call{
		Method:      p.Method,
		Path:        p.Path,
		ContentType: p.ContentType,
		Body:        p.Body,
		Timeout:     t.service.Timeout,
		Repeatable:  !t.service.AtMostOnce && p.IdempotencyKey == "" && slices.Contains(repeatable, p.Method),
		Headers: [][2]string{
			{peer.EchoHeader, string(t.request)},
			{"Umberladder-Workspace", string(t.workspace.Name)},
		},
	}
	if p.IdempotencyKey != "" {
		c.Headers = append(c.Headers, [2]string{"Idempotency-Key", p.IdempotencyKey})
	}
	return c
}

func replayed(r ident.Request, a *proto.Answer) caller.Answer {
	return caller.Answer{
		Request:     r,
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
	}
}

// once marks a request as ended and asserts that it had not ended before.
func (e *Entry) once(ended *bool, t *target) bool {
	if !e.book.Assert(invar.OneOutcome, !*ended, "request %s ends twice", t.request) {
		return false
	}
	*ended = true
	return true
}
