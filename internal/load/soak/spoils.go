package soak

import (
	"context"

	"umberladder/platform/fake"
)

// spoilResponses returns a function that makes a server send one of spoils instead of its responses
// for a time. It runs the calls.
func (r *run) spoilResponses(spoils []fake.Spoil) func(context.Context) {
	return func(ctx context.Context) {
		b := r.pickServer()
		if b == nil {
			return
		}
		b.server.SetSpoil(&spoils[r.rng.IntN(len(spoils))])
		r.undoLater(ctx, func() { b.server.SetSpoil(nil) })
	}
}
