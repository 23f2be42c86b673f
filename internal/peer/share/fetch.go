package share

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"umberladder/internal/policy/retry"
)

const (
	// fetchTimeout is how long requests to other VMs are repeated before the caller
	// turns to the store. By then large settings have reached most of some hundred VMs.
	// A transfer in progress is not interrupted.
	fetchTimeout = 1200 * time.Millisecond
	// minPause and maxPause bound the pause between two requests, which doubles.
	minPause = 25 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// Fetch calls fetch for one VM after the other until it succeeds, starting with those in
// initial, which must not be empty. It adds the alternatives that a busy VM lists, so
// that data of one VM spreads to all VMs although its link serves only a few at a time.
func Fetch[T any](ctx context.Context, initial []netip.AddrPort, fetch func(ctx context.Context, from netip.AddrPort) (T, error)) (T, error) {
	candidates := slices.Clone(initial)
	end := time.Now().Add(fetchTimeout)
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		from := candidates[rand.IntN(len(candidates))]
		v, err := fetch(ctx, from)
		if err == nil {
			return v, nil
		}
		candidates = nextCandidates(candidates, from, err, slices.Contains(initial, from))
		if len(candidates) == 0 || ctx.Err() != nil || time.Now().After(end) {
			return v, err
		}
		retry.Sleep(ctx, pause/2+rand.N(pause))
	}
}

// nextCandidates returns the VMs to try after the fetch from a VM failed with err. It
// drops that VM, unless it is an alternative that may still be receiving the data, or a
// busy VM that lists no alternatives. An initial VM without the data is dropped, because
// it should have had the data and is not about to receive it. The alternatives of a busy
// VM are added.
func nextCandidates(candidates []netip.AddrPort, from netip.AddrPort, err error, initial bool) []netip.AddrPort {
	if errors.Is(err, ErrNotAvailable) && !initial {
		return candidates
	}
	var busy *BusyError
	if errors.As(err, &busy) {
		if len(busy.Alternatives) == 0 {
			return candidates
		}
		for _, a := range busy.Alternatives {
			if !slices.Contains(candidates, a) {
				candidates = append(candidates, a)
			}
		}
	}
	return slices.DeleteFunc(candidates, func(a netip.AddrPort) bool { return a == from })
}
