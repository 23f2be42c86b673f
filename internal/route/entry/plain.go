package entry

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/result"
	"umberladder/internal/peer/caller"
	peer "umberladder/internal/peer/plain"
	"umberladder/internal/peer/proto"
	"umberladder/internal/state/config"
)

// idempotentMethods lists the idempotent methods (RFC 9110, section 9.2.2).
var idempotentMethods = []string{
	fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodOptions,
	fasthttp.MethodPut, fasthttp.MethodDelete,
}

// Plain implements caller.Handler.
func (h *Handler) Plain(ctx context.Context, p caller.PlainRequest) (caller.PlainResponse, *refuse.Refusal) {
	rec := &result.Record{}
	info, refusal := h.resolve(p.Key, p.Service, config.PlainService, "")
	if refusal != nil {
		return caller.PlainResponse{}, h.recordRefusal(&info, rec, refusal)
	}
	permit, refusal := h.limiter.Admit(info.workspace, info.start)
	if refusal != nil {
		return caller.PlainResponse{}, h.recordRefusal(&info, rec, refusal)
	}
	defer func() { permit.Release(0, time.Now()) }()
	claim, refusal := h.acquireClaim(ctx, &info, p.IdempotencyKey, fingerprint(p.Method+" "+p.Path, string(p.Body)))
	if refusal != nil {
		return caller.PlainResponse{}, h.recordRefusal(&info, rec, refusal)
	}
	if claim.stored != nil {
		rec.Bytes = len(claim.stored.GetBody())
		h.recordEnd(&info, rec)
		return clientResponse(info.request, claim.stored), nil
	}
	response, server, refusal := h.plain.Do(ctx, info.request, info.service, info.plainCall(p))
	rec.Server = server
	rec.TimeToFirst = time.Since(info.start)
	if refusal != nil {
		claim.finish(refusal.Ran != refuse.RanNo, nil)
		return caller.PlainResponse{}, h.recordRefusal(&info, rec, refusal)
	}
	claim.finish(true, &proto.Answer{
		Status:      uint32(response.Status),
		ContentType: response.ContentType,
		Body:        response.Body,
	})
	rec.Bytes = len(response.Body)
	h.recordEnd(&info, rec)
	return caller.PlainResponse{Request: info.request, Status: response.Status, ContentType: response.ContentType, Body: response.Body}, nil
}

// plainCall returns the call to send to a server of a plain service.
func (info *callInfo) plainCall(p caller.PlainRequest) peer.Call {
	c := peer.Call{
		Method:      p.Method,
		Path:        p.Path,
		ContentType: p.ContentType,
		Body:        p.Body,
		Timeout:     info.service.Timeout,
		Retryable:   !info.service.AtMostOnce && p.IdempotencyKey == "" && slices.Contains(idempotentMethods, p.Method),
		Headers: [][2]string{
			{peer.RequestIDHeader, string(info.request)},
			{"Umberladder-Workspace", string(info.workspace.Name)},
		},
	}
	if p.IdempotencyKey != "" {
		c.Headers = append(c.Headers, [2]string{"Idempotency-Key", p.IdempotencyKey})
	}
	return c
}

// clientResponse returns a stored response in the form for the client.
func clientResponse(r ident.Request, a *proto.Answer) caller.PlainResponse {
	return caller.PlainResponse{
		Request:     r,
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
	}
}

// markEnded sets ended and asserts that it was not set before. It reports
// whether the request had not ended yet.
func (h *Handler) markEnded(ended *bool, info *callInfo) bool {
	if !h.invariants.Assert(invar.OneOutcome, !*ended, "request %s ends twice", info.request) {
		return false
	}
	*ended = true
	return true
}
