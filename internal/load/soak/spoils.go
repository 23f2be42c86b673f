package soak

import (
	"context"

	"umberladder/platform/fake"
)

// spoilResponses makes a server send something else instead of its responses for a time. It runs
// the calls.
func (r *run) spoilResponses(ctx context.Context) {
	b := r.pickServer()
	if b == nil {
		return
	}
	b.server.SetSpoil(&fake.Spoils[r.rng.IntN(len(fake.Spoils))])
	r.undoLater(ctx, func() { b.server.SetSpoil(nil) })
}
