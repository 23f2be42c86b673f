package claim

import (
	"context"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/proto"
)

// Claims takes each key the way that suits it.
type Claims struct {
	direct *Direct
}

// New makes the claims of a VM.
func New(direct *Direct) *Claims { return &Claims{direct: direct} }

// Claim lets the request run the key, or returns the answer of the call that
// had it before, or the refusal.
func (c *Claims) Claim(ctx context.Context, w ident.Workspace, key string, sum [32]byte, r ident.Request) (*proto.Answer, *refuse.Refusal) {
	return nil, c.direct.Claim(ctx, w, key, r)
}

// Finish tells the end of a request that Claim let run.
func (c *Claims) Finish(ctx context.Context, w ident.Workspace, key string, r ident.Request, ran bool, answer *proto.Answer) {
	if !ran {
		_ = c.direct.Release(ctx, w, key, r)
	}
}
