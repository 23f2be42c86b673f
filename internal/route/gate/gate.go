// Package gate holds workspaces to their limits on this VM. Each limit is
// shared out over the live VMs; see package limit.
package gate

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/limit"
	"umberladder/internal/state/config"
)

// busyAfter is when a workspace at its limit of open requests is told to come
// back: about the length of a short generation.
const busyAfter = time.Second

// Fleet tells this VM's place among the live VMs.
type Fleet interface {
	// Rank returns this VM's number among the n live VMs, 0 <= i < n.
	Rank() (i, n int)
}

// Gate counts what workspaces use on this VM. It is safe for use by several
// goroutines.
type Gate struct {
	fleet Fleet

	mu    sync.Mutex
	usage map[ident.Workspace]*usage
}

type usage struct {
	open   int
	tokens *limit.Bucket
}

// New makes a gate.
func New(fleet Fleet) *Gate {
	return &Gate{fleet: fleet, usage: map[ident.Workspace]*usage{}}
}

// Pass is an open request. It must be closed once.
type Pass struct {
	gate *Gate
	use  *usage
}

// Enter lets a request of w in, or explains which limit it meets.
func (g *Gate) Enter(w *config.Workspace, now time.Time) (*Pass, *refuse.Refusal) {
	i, n := g.place(w)
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.of(w, now)
	share := openShare(w, i, n)
	if u.open >= share {
		return nil, refuse.New(refuse.Concurrency, "this VM is one of %d and holds a share of %d open requests", n, share).
			Under(rule(w, "concurrency", w.Limits.Concurrency, u.open)).After(busyAfter)
	}
	rate := limit.Share(w.Limits.TokensPerSecond, i, n)
	u.tokens.SetRate(float64(rate), now)
	if wait := u.tokens.Wait(now); wait > 0 {
		return nil, refuse.New(refuse.TokenRate, "this VM is one of %d and holds a share of %d tokens a second", n, rate).
			Under(rule(w, "tokens-per-second", w.Limits.TokensPerSecond, rate-int(u.tokens.Level(now)))).After(wait)
	}
	u.open++
	return &Pass{gate: g, use: u}, nil
}

func rule(w *config.Workspace, name string, bound, observed int) refuse.Rule {
	return refuse.Rule{
		Path:     config.WorkspacePath(w.Name) + "/limits/" + name,
		Version:  w.Version,
		Limit:    float64(bound),
		Observed: float64(observed),
	}
}

func (g *Gate) of(w *config.Workspace, now time.Time) *usage {
	u := g.usage[w.Name]
	if u == nil {
		u = &usage{tokens: limit.NewBucket(float64(w.Limits.TokensPerSecond), now)}
		g.usage[w.Name] = u
	}
	return u
}

// Close ends the request, which generated so many tokens.
func (p *Pass) Close(tokens int, now time.Time) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.use.open--
	p.use.tokens.Take(tokens, now)
}
