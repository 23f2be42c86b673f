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
	// takeTime is how long other VMs are asked before the store is: large settings
	// have reached most of some hundred VMs by then. A transfer under way goes on.
	takeTime = 1200 * time.Millisecond
	// firstTake and lastTake are the bounds of the pause between two questions.
	firstTake = 25 * time.Millisecond
	lastTake  = 100 * time.Millisecond
)

// Take asks VMs, one after the other, until one gives what fetch fetches; there must
// be one at least to ask first. It goes on to those that a busy VM names, so that
// what one VM has spreads over all of them though its link carries a few at a time.
func Take[T any](ctx context.Context, first []netip.AddrPort, fetch func(ctx context.Context, from netip.AddrPort) (T, error)) (T, error) {
	list := slices.Clone(first)
	end := time.Now().Add(takeTime)
	for pause := firstTake; ; pause = min(2*pause, lastTake) {
		from := list[rand.IntN(len(list))]
		v, err := fetch(ctx, from)
		if err == nil {
			return v, nil
		}
		list = next(list, from, err, slices.Contains(first, from))
		if len(list) == 0 || ctx.Err() != nil || time.Now().After(end) {
			return v, err
		}
		retry.Pause(ctx, pause/2+rand.N(pause))
	}
}

// next returns whom to ask after from did not give it. A VM that was named by a busy
// one may still be taking it itself; one that was to have it never will.
func next(list []netip.AddrPort, from netip.AddrPort, err error, first bool) []netip.AddrPort {
	if errors.Is(err, ErrNotYet) && !first {
		return list
	}
	var busy *BusyError
	if errors.As(err, &busy) {
		if len(busy.Others) == 0 {
			return list
		}
		for _, a := range busy.Others {
			if !slices.Contains(list, a) {
				list = append(list, a)
			}
		}
	}
	return slices.DeleteFunc(list, func(a netip.AddrPort) bool { return a == from })
}
