package entry

import (
	"context"
	"crypto/sha256"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/proto"
)

// maxStoredResponse is the size, in bytes, of the largest response stored for
// clients that repeat an idempotency key.
const maxStoredResponse = 64 << 10

// Claims decides which requests with an idempotency key may run.
type Claims interface {
	// Claim grants the key to the request, or returns the response of an earlier
	// request with the same key, or a refusal.
	Claim(ctx context.Context, w ident.Workspace, key string, sum [32]byte, r ident.Request) (*proto.Answer, *refuse.Refusal)
	// Finish reports the end of a request to which Claim granted the key. ran is
	// set if the request may have run, and response is stored for repetitions of
	// the request; nil: none is stored.
	Finish(ctx context.Context, w ident.Workspace, key string, r ident.Request, ran bool, response *proto.Answer)
}

// claim is one request's claim on its idempotency key. It is inactive if the
// request has no key or the key was already used.
type claim struct {
	claims    Claims
	workspace ident.Workspace
	key       string
	request   ident.Request
	stored    *proto.Answer // response of an earlier request with the key; nil: none
}

// fingerprint returns a hash that detects different requests with the same
// idempotency key.
func fingerprint(operation, body string) [32]byte {
	return sha256.Sum256([]byte(operation + "\x00" + body))
}

// acquireClaim claims the request's idempotency key, if it has one.
func (h *Handler) acquireClaim(ctx context.Context, info *callInfo, key string, sum [32]byte) (*claim, *refuse.Refusal) {
	c := &claim{}
	if key == "" {
		return c, nil
	}
	response, refusal := h.claims.Claim(ctx, info.workspace.Name, key, sum, info.request)
	if refusal != nil {
		return c, refusal
	}
	if response != nil {
		c.stored = response
		return c, nil
	}
	return &claim{claims: h.claims, workspace: info.workspace.Name, key: key, request: info.request}, nil
}

// active reports whether the request holds its key.
func (c *claim) active() bool { return c != nil && c.claims != nil }

// hasStoredResponse reports whether the key's response is already known.
func (c *claim) hasStoredResponse() bool { return c != nil && c.stored != nil }

// finish reports how the request ended, with its response unless that is too
// large to store. The client's context is not used, since the client may have
// disconnected.
func (c *claim) finish(ran bool, response *proto.Answer) {
	if !c.active() {
		return
	}
	if len(response.GetBody()) > maxStoredResponse {
		response = nil
	}
	c.claims.Finish(context.Background(), c.workspace, c.key, c.request, ran, response)
}

// generationResponse returns the stored form of a complete generation. Its
// ContentType field holds the finish reason, which distinguishes it from the
// response of a plain call.
func generationResponse(text, finish string) *proto.Answer {
	return &proto.Answer{Status: 200, ContentType: finish, Body: []byte(text)}
}
