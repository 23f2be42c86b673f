package caller

import (
	"strings"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/openai"
)

const (
	bearerPrefix         = "Bearer "
	headerClass          = "Umberladder-Class"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	headerRequest        = "Umberladder-Request"
	headerResume         = "Umberladder-Resume"
	maxIdempotencyKey    = 255
)

func badInput(format string, args ...any) *refuse.Refusal {
	return refuse.New(refuse.BadInput, format, args...)
}

func bearerKey(ctx *fasthttp.RequestCtx) string {
	v := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(v, bearerPrefix)
	if !ok {
		return ""
	}
	return key
}

// parseGeneration parses a request with the given body for a completion or, with chat, for a chat
// completion.
func parseGeneration(ctx *fasthttp.RequestCtx, body []byte, chat bool) (GenerationRequest, *refuse.Refusal) {
	g := GenerationRequest{Key: bearerKey(ctx)}
	class := string(ctx.Request.Header.Peek(headerClass))
	if class != "" && ident.CheckName(class) != nil {
		return g, badInput("the header %s must be a class name", headerClass)
	}
	g.Class = ident.Class(class)
	var r *refuse.Refusal
	if g.IdempotencyKey, r = idempotencyKey(ctx); r != nil {
		return g, r
	}
	g.Request, r = openai.Parse(body, chat)
	return g, r
}

func idempotencyKey(ctx *fasthttp.RequestCtx) (string, *refuse.Refusal) {
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if len(key) > maxIdempotencyKey {
		return "", badInput("the header %s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKey)
	}
	return key, nil
}
