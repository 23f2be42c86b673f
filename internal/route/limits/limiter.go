// Package limits enforces the limits of workspaces on this VM. Each limit is
// divided among the live VMs; see package limit.
package limits

import (
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/limit"
	"umberladder/internal/state/config"
)

// concurrencyRetryAfter is the retry delay given to a workspace that has
// reached its limit of open requests. It is about the duration of a short
// generation.
const concurrencyRetryAfter = time.Second

// Fleet reports this VM's rank among the live VMs.
type Fleet interface {
	// Rank returns this VM's index i among the n live VMs, 0 <= i < n.
	Rank() (i, n int)
}

// Limiter admits requests within this VM's share of the workspace limits. It is
// safe for concurrent use.
type Limiter struct {
	fleet Fleet

	mu         sync.Mutex
	workspaces map[ident.Workspace]*counters
}

// counters holds what one workspace uses on this VM.
type counters struct {
	open   int
	tokens *limit.Bucket
}

// New returns a Limiter that takes its share of each limit from fleet.
func New(fleet Fleet) *Limiter {
	return &Limiter{fleet: fleet, workspaces: map[ident.Workspace]*counters{}}
}

// Permit represents one admitted request. Release must be called exactly once.
type Permit struct {
	limiter  *Limiter
	counters *counters
}

// Admit admits a request of w, or returns a refusal that names the limit
// reached.
func (l *Limiter) Admit(w *config.Workspace, now time.Time) (*Permit, *refuse.Refusal) {
	i, n := l.rank(w)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.countersOf(w, now)
	share := openShare(w, i, n)
	if c.open >= share {
		return nil, refuse.New(refuse.Concurrency, "this VM is one of %d and holds a share of %d open requests", n, share).
			WithRule(limitRule(w, "concurrency", w.Limits.Concurrency, c.open)).WithRetryAfter(concurrencyRetryAfter)
	}
	rate := limit.Share(w.Limits.TokensPerSecond, i, n)
	c.tokens.SetRate(float64(rate), now)
	if wait := c.tokens.Wait(now); wait > 0 {
		return nil, refuse.New(refuse.TokenRate, "this VM is one of %d and holds a share of %d tokens a second", n, rate).
			WithRule(limitRule(w, "tokens-per-second", w.Limits.TokensPerSecond, rate-int(c.tokens.Level(now)))).WithRetryAfter(wait)
	}
	c.open++
	return &Permit{limiter: l, counters: c}, nil
}

func limitRule(w *config.Workspace, name string, bound, observed int) refuse.Rule {
	return refuse.Rule{
		Path:     config.WorkspacePath(w.Name) + "/limits/" + name,
		Version:  w.Version,
		Limit:    float64(bound),
		Observed: float64(observed),
	}
}

func (l *Limiter) countersOf(w *config.Workspace, now time.Time) *counters {
	c := l.workspaces[w.Name]
	if c == nil {
		c = &counters{tokens: limit.NewBucket(float64(w.Limits.TokensPerSecond), now)}
		l.workspaces[w.Name] = c
	}
	return c
}

// Release ends the request and charges the generated tokens to the workspace.
func (p *Permit) Release(tokens int, now time.Time) {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.counters.open--
	p.counters.tokens.Take(tokens, now)
}
