package entry

import (
	"context"
	"crypto/sha256"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/proto"
)

// maxKept is the longest answer kept for a caller who asks again, in bytes.
const maxKept = 64 << 10

// Claims decides which calls with an idempotency key may run.
type Claims interface {
	// Claim lets the request run the key, or returns the answer of the call
	// that had the key before, or the refusal.
	Claim(ctx context.Context, w ident.Workspace, key string, sum [32]byte, r ident.Request) (*proto.Answer, *refuse.Refusal)
	// Finish tells the end of a request that Claim let run.
	Finish(ctx context.Context, w ident.Workspace, key string, r ident.Request, ran bool, answer *proto.Answer)
}

// held is the claim of one request; a request without a key holds none.
type held struct {
	claims    Claims
	workspace ident.Workspace
	key       string
	request   ident.Request
	replay    *proto.Answer
}

// fingerprint tells two requests with one key apart.
func fingerprint(what, body string) [32]byte {
	return sha256.Sum256([]byte(what + "\x00" + body))
}

// claimed takes the claim on the request's key, if it has one.
func (e *Entry) claimed(ctx context.Context, t *target, key string, sum [32]byte) (*held, *refuse.Refusal) {
	h := &held{}
	if key == "" {
		return h, nil
	}
	answer, refusal := e.claims.Claim(ctx, t.workspace.Name, key, sum, t.request)
	if refusal != nil {
		return h, refusal
	}
	if answer != nil {
		h.replay = answer
		return h, nil
	}
	return &held{claims: e.claims, workspace: t.workspace.Name, key: key, request: t.request}, nil
}

func (h *held) holds() bool { return h != nil && h.claims != nil }

func (h *held) replaying() bool { return h != nil && h.replay != nil }

// finish tells the holder how the request ended, whatever became of its caller.
func (h *held) finish(ran bool, answer *proto.Answer) {
	if !h.holds() {
		return
	}
	if len(answer.GetBody()) > maxKept {
		answer = nil
	}
	h.claims.Finish(context.Background(), h.workspace, h.key, h.request, ran, answer)
}

// wholeAnswer keeps a whole generation for a caller who asks again. Its
// content type tells it from a plain answer.
func wholeAnswer(text, finish string) *proto.Answer {
	return &proto.Answer{Status: 200, ContentType: finish, Body: []byte(text)}
}
