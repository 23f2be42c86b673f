package limits

import (
	"time"

	"umberladder/internal/policy/limit"
	"umberladder/internal/state/config"
)

// Usage reports how much of a VM's share of its limits a workspace uses.
type Usage struct {
	Open       int     // open requests
	OpenShare  int     // open requests that the VM allows; at least 1
	TokensLeft float64 // level of the token bucket; negative: a debt, and new requests are refused until it is paid
	RateShare  int     // tokens per second; 0: no limit
	Version    uint64  // version of the workspace's settings applied on that VM
}

// Usage returns the usage of w on this VM.
func (l *Limiter) Usage(w *config.Workspace, now time.Time) Usage {
	i, n := l.rank(w)
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Usage{
		OpenShare: openShare(w, i, n),
		RateShare: limit.Share(w.Limits.TokensPerSecond, i, n),
		Version:   w.Version,
	}
	if c := l.workspaces[w.Name]; c != nil {
		out.Open = c.open
		out.TokensLeft = c.tokens.Level(now)
	}
	return out
}

// rank returns the index i of this VM among the n live VMs for dividing the
// limits of w. The index is offset by the length of the workspace's name, so that
// the remainders of the division do not go to the same VMs for every workspace.
func (l *Limiter) rank(w *config.Workspace) (i, n int) {
	i, n = l.fleet.Rank()
	return (i + len(w.Name)) % n, n
}

// openShare returns the number of open requests that VM i of n allows w. It is
// at least 1, so that every VM accepts requests of every workspace.
func openShare(w *config.Workspace, i, n int) int {
	return max(limit.Share(w.Limits.Concurrency, i, n), 1)
}
