package pick

import (
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

// Chooser chooses engines by what this VM knows of all of them.
type Chooser struct {
	servers *backs.Table
	seats   *seats.Book
	health  *health.Book
	rates   *rates.Book

	mu      sync.Mutex
	shunned map[ident.Server]time.Time // until when
	lostAt  time.Time                  // when a server was last found gone without notice
}

// NewChooser makes a chooser.
func NewChooser(servers *backs.Table, book *seats.Book, h *health.Book, r *rates.Book) *Chooser {
	return &Chooser{servers: servers, seats: book, health: h, rates: r, shunned: make(map[ident.Server]time.Time)}
}

// View returns the servers known now.
func (c *Chooser) View() *backs.View { return c.servers.View() }

// Changed returns a channel that is closed once there may be more room.
func (c *Chooser) Changed() <-chan struct{} { return c.seats.Changed() }

// Distrusted returns the service's servers that failed calls of this VM lately.
func (c *Chooser) Distrusted(service ident.Service, now time.Time) []ident.Server {
	var out []ident.Server
	for _, s := range c.servers.View().Service(service) {
		if c.health.Weight(s.ID, now) < distrust {
			out = append(out, s.ID)
		}
	}
	return out
}

// Paused returns the service's servers that want no calls of this VM now.
func (c *Chooser) Paused(service ident.Service, now time.Time) []ident.Server {
	var out []ident.Server
	for _, s := range c.servers.View().Service(service) {
		if c.IsPaused(s.ID, now) {
			out = append(out, s.ID)
		}
	}
	return out
}

// IsPaused reports whether a server wants no calls of this VM now.
func (c *Chooser) IsPaused(id ident.Server, now time.Time) bool { return c.health.Paused(id, now) > 0 }

// distrust is the weight under which a VM asks for another server: two failures
// in a row without a success.
const distrust = 0.45

// shunTime is how long a server that could not be connected to gets no runs.
// Where all engines are full, one that is dead always has room. It is short, as one
// that goes down and up by turns loses it of each turn.
const shunTime = 400 * time.Millisecond

// Failed notes servers that a VM could not connect to.
func (c *Chooser) Failed(list []ident.Server, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range list {
		c.shunned[id] = now.Add(shunTime)
		c.lostAt = now
	}
	for id, until := range c.shunned {
		if now.After(until) {
			delete(c.shunned, id)
		}
	}
}

// riskTime is how long after a server was found gone without notice more copies
// are kept for the next loss.
const riskTime = 20 * time.Second

// risky reports whether servers are lost without notice these days.
func (c *Chooser) risky(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lostAt) < riskTime
}

// shun reports whether a server is to get no runs now.
func (c *Chooser) shun(id ident.Server, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.shunned[id])
}

// Choose returns the spot of a run, beside loads that no VM tells of yet. It
// returns ErrNoServer or a *NoRoomError if there is none.
func (c *Chooser) Choose(w *Want, pending map[ident.Server]seats.Load, now time.Time) (Spot, error) {
	loads := c.seats.All(now)
	for id, l := range pending {
		loads[id] = loads[id].Plus(l)
	}
	// Caches that share a link all arrive late, after their engine has ended.
	if w.Source != "" && loads[w.Source].Sends > 0 {
		return Spot{}, &NoRoomError{Link: true}
	}
	copies := c.fill(w, loads) < assign.CopyFill(c.risky(now))
	if w.Use == Keep && !copies {
		return Spot{}, &NoRoomError{}
	}
	s, known := c.pick(w, w.Use, loads, w.From, w.Skip, now)
	if !known {
		return Spot{}, ErrNoServer
	}
	if s == nil {
		return Spot{}, &NoRoomError{}
	}
	if w.Use != Keep {
		c.rates.Grant(s.ID, now)
	}
	spot := Spot{Server: s}
	if w.Backup && copies {
		skip := append(slices.Clone(w.Skip), s.ID)
		spot.Backup, _ = c.pick(w, Keep, loads, s.Domain, skip, now)
	}
	return spot, nil
}

// pick returns an engine with room for a use of the run; known reports whether
// there is an engine at all.
func (c *Chooser) pick(w *Want, u Use, loads map[ident.Server]seats.Load, from ident.Domain, skip []ident.Server, now time.Time) (s *backs.Server, known bool) {
	list := c.servers.View().Service(w.Service)
	servers := make([]assign.Server, len(list))
	for i, s := range list {
		l := loads[s.ID]
		servers[i] = assign.Server{
			Slots:   s.Slots,
			Reads:   w.Read > 0,
			Memory:  w.Memory,
			Seats:   l.Seats,
			Tokens:  l.Tokens,
			Backlog: l.Backlog,
			Copies:  u.behind(l),
			Far:     s.Domain != from,
			Weight:  c.health.Weight(s.ID, now),
			Skip:    slices.Contains(skip, s.ID),
		}
		known = known || !servers[i].Skip
		servers[i].Skip = servers[i].Skip || c.shun(s.ID, now) || u != Keep && !c.rates.CanGrant(s.ID, now)
	}
	if i := assign.Choose(w.Need, u.share(), u.far(), servers, assign.Random()); i >= 0 {
		return list[i], true
	}
	return nil, known
}

// fill returns how full the service's engines are in all.
func (c *Chooser) fill(w *Want, loads map[ident.Server]seats.Load) float64 {
	list := c.servers.View().Service(w.Service)
	tokens := 0
	for _, s := range list {
		tokens += loads[s.ID].Tokens
	}
	return float64(tokens) / (float64(w.Memory) * float64(max(len(list), 1)))
}
