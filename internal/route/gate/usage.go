package gate

import (
	"time"

	"umberladder/internal/policy/limit"
	"umberladder/internal/state/config"
)

// Usage is what a workspace uses on one VM of that VM's share of its limits.
type Usage struct {
	Open       int
	OpenShare  int
	TokensLeft float64 // in the bucket; below zero: a debt that new requests wait for
	RateShare  int     // tokens a second; 0: no limit
	Version    uint64  // of the workspace's settings in force there
}

// Usage returns what w uses on this VM.
func (g *Gate) Usage(w *config.Workspace, now time.Time) Usage {
	i, n := g.place(w)
	g.mu.Lock()
	defer g.mu.Unlock()
	out := Usage{
		OpenShare: openShare(w, i, n),
		RateShare: limit.Share(w.Limits.TokensPerSecond, i, n),
		Version:   w.Version,
	}
	if u := g.usage[w.Name]; u != nil {
		out.Open = u.open
		out.TokensLeft = u.tokens.Level(now)
	}
	return out
}

// place returns this VM's number among the n live ones, from which its share
// of the workspace's limits follows. The shares' remainders start at another VM
// for each workspace.
func (g *Gate) place(w *config.Workspace) (i, n int) {
	i, n = g.fleet.Rank()
	return (i + len(w.Name)) % n, n
}

// openShare is at least 1, so that a VM takes requests of every workspace.
func openShare(w *config.Workspace, i, n int) int {
	return max(limit.Share(w.Limits.Concurrency, i, n), 1)
}
