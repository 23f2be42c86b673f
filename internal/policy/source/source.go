package source

import (
	"maps"
	"time"

	"umberladder/internal/core/ident"
)

// Choice chooses among responses of type T.
type Choice[T any] struct {
	// TTL is how long a response is used.
	TTL time.Duration
	// MinCoverage is the fraction of the VMs of the most complete source that a source has to include
	// to be used. With 1, only the most complete ones are.
	MinCoverage float64
	// Of returns when a response arrived, and the number of VMs that it includes.
	Of func(T) (at time.Time, reporting int)
}

// Best returns the latest of the hubs' responses that include enough VMs. It returns false if the
// reports to this VM, which come from reporting VMs, include enough and are to be used instead.
// Responses that are too old are removed from the map.
func (c Choice[T]) Best(responses map[ident.VM]T, reporting int, now time.Time) (best T, ok bool) {
	most := reporting
	maps.DeleteFunc(responses, func(_ ident.VM, r T) bool {
		at, n := c.Of(r)
		if now.Sub(at) > c.TTL {
			return true
		}
		most = max(most, n)
		return false
	})
	enough := c.MinCoverage * float64(most)
	if float64(reporting) >= enough {
		return best, false
	}
	var latest time.Time
	for _, r := range responses {
		if at, n := c.Of(r); float64(n) >= enough && (!ok || at.After(latest)) {
			best, latest, ok = r, at, true
		}
	}
	return best, ok
}
