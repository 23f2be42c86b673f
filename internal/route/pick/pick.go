package pick

import (
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/assign"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/pace"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/state/srvtab"
)

// Chooser chooses engines from what this VM knows of all of them. It is safe for
// concurrent use.
type Chooser struct {
	servers *srvtab.Table
	tracker *alloc.Tracker
	health  *health.Tracker
	rates   *rates.Limiter
	pacer   *rates.Pacer
	paces   *pace.Table

	mu         sync.Mutex
	avoidUntil map[ident.Server]time.Time // by server, until when it gets no runs
	lastLossAt time.Time                  // when a server was last found lost without notice
	onPace     func(pace.Change)          // nil: none
}

// NewChooser returns a Chooser.
func NewChooser(servers *srvtab.Table, tracker *alloc.Tracker, h *health.Tracker, r *rates.Limiter) *Chooser {
	c := &Chooser{servers: servers, tracker: tracker, health: h, rates: r, pacer: rates.NewPacer(), avoidUntil: make(map[ident.Server]time.Time)}
	c.paces = pace.NewTable(c.paceChanged)
	return c
}

// View returns the servers known now.
func (c *Chooser) View() *srvtab.View { return c.servers.View() }

// Changed returns a channel that is closed once capacity may have become free.
func (c *Chooser) Changed() <-chan struct{} { return c.tracker.Changed() }

// HasReceived reports whether the loads of a VM include a granted call, or were reported after it
// had ended. id is that of the VM's placement request.
func (c *Chooser) HasReceived(vm ident.VM, id uint64) bool { return c.tracker.HasReceived(vm, id) }

// Unhealthy returns the service's servers that recently failed calls of this VM.
func (c *Chooser) Unhealthy(service ident.Service, now time.Time) []ident.Server {
	return c.ofService(service, c.health.Below(unhealthyWeight, now))
}

// Paused returns the service's servers that asked this VM to send no calls now.
func (c *Chooser) Paused(service ident.Service, now time.Time) []ident.Server {
	return c.ofService(service, c.health.Paused(now))
}

// ofService returns the servers in ids that belong to a service and accept new work.
func (c *Chooser) ofService(service ident.Service, ids []ident.Server) []ident.Server {
	view := c.servers.View()
	return slices.DeleteFunc(ids, func(id ident.Server) bool { return !view.Accepts(id) || view.Server(id).Service != service })
}

// IsPaused reports whether a server asked this VM to send no calls now.
func (c *Chooser) IsPaused(id ident.Server, now time.Time) bool {
	return c.health.PauseRemaining(id, now) > 0
}

// unhealthyWeight is the health weight below which a VM requests another server.
// A weight falls below it with two failures in a row without a success.
const unhealthyWeight = 0.45

// avoidTime is how long a server that refused a connection gets no runs. When
// all other engines are full, a terminated one still appears to have capacity.
// The time is short because a server that fails and recovers repeatedly is
// unused for this long after each failure.
const avoidTime = 400 * time.Millisecond

// MarkUnreachable records servers that a VM could not connect to.
func (c *Chooser) MarkUnreachable(list []ident.Server, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range list {
		c.avoidUntil[id] = now.Add(avoidTime)
		c.lastLossAt = now
	}
	for id, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, id)
		}
	}
}

// lossWindow is how long after a server was lost without notice copies of KV
// caches are kept even when the engines are fuller, because more servers may be
// lost.
const lossWindow = 20 * time.Second

// hadRecentLoss reports whether a server was recently lost without notice.
func (c *Chooser) hadRecentLoss(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.lastLossAt) < lossWindow
}

// isAvoided reports whether a server gets no runs now.
func (c *Chooser) isAvoided(id ident.Server, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.avoidUntil[id])
}

// Choose returns the placement of a run. pending are loads that no VM has
// reported yet. It returns ErrNoServer or a *NoCapacityError if there is none.
func (c *Chooser) Choose(r *Request, pending map[ident.Server]alloc.Load, now time.Time) (Placement, error) {
	c.tracker.Expire(now)
	load := func(id ident.Server) alloc.Load { return c.tracker.Load(id).Plus(pending[id]) }
	// KV caches that share a link would all arrive late, after their engine has
	// terminated.
	if r.Source != "" && load(r.Source).CopiesOut > 0 {
		return Placement{}, &NoCapacityError{LinkBusy: true}
	}
	keepCopies := c.fillRatio(r, load) < assign.MaxServiceFillForCopies(c.hadRecentLoss(now))
	if r.Purpose == Backup && !keepCopies {
		return Placement{}, &NoCapacityError{}
	}
	s, known := c.choose(r, r.Purpose, r.Version, load, r.From, r.Exclude, now)
	if !known {
		return Placement{}, ErrNoServer
	}
	if s == nil {
		return Placement{}, &NoCapacityError{}
	}
	if r.Purpose != Backup {
		c.rates.Grant(s.ID, now)
		if r.ColdLimit > 0 {
			c.pacer.Record(s.ID, now)
		}
	}
	placement := Placement{Server: s}
	if r.Backup && keepCopies && s.Version != "" {
		exclude := append(slices.Clone(r.Exclude), s.ID)
		placement.Backup, _ = c.choose(r, Backup, s.Version, load, s.Domain, exclude, now)
	}
	return placement, nil
}

// loadFunc returns the load of a server.
type loadFunc func(ident.Server) alloc.Load

// choose returns an engine with capacity for a purpose of the run, which runs a version of the
// software, or any if that is empty; known reports whether there is any engine that is not
// excluded.
func (c *Chooser) choose(r *Request, purpose Purpose, version ident.Version, load loadFunc, from ident.FailureDomain, exclude []ident.Server, now time.Time) (s *srvtab.Server, known bool) {
	view := c.servers.View()
	withdrawn := withdrawnFor(r, purpose, version, view, now)
	engines := newSample(view.PoolsOf(r.Service), func(p *srvtab.Pool) bool { return r.mayUse(p, version) }, r.isReserved, exclude)
	speeds := c.paces.View(r.Service, r.GapTarget, r.EventTokens, now)
	run := r.assignment(purpose, &speeds)
	var free, lending candidates
	engines.collect(from, func(s *srvtab.Server) bool {
		l := load(s.ID)
		state := assign.Server{
			Slots:          c.slots(r, s, now),
			NeedsPrefill:   r.Prefill > 0,
			Memory:         r.EngineMemory,
			InFlight:       l.Calls,
			ReservedTokens: l.Tokens,
			PrefillBacklog: l.Backlog,
			IncomingCopies: purpose.transfersAhead(l),
			CrossDomain:    s.Domain != from,
			Weight:         c.health.Weight(s.ID, now) * assign.FailureWeight(l.Failures),
			Pace:           paceOf(&speeds, purpose, s.ID, l),
		}
		if slices.Contains(withdrawn, s.Version) {
			state.Weight *= withdrawnWeight
		}
		hasCapacity := state.HasCapacity(r.Need, purpose.maxFill())
		if !hasCapacity && run.Borrows() {
			state = state.Lend(min(max(l.PaceRuns, 0), l.Calls))
		}
		if !state.HasCapacity(r.Need, purpose.maxFill()) || c.isAvoided(s.ID, now) ||
			purpose != Backup && !c.rates.CanGrant(s.ID, now) || c.isPaced(r, purpose, view, s, now) {
			return false
		}
		if hasCapacity {
			free.add(s, state)
		} else {
			lending.add(s, state)
		}
		return hasCapacity
	})
	if len(free.list) == 0 {
		free = lending
	}
	if i := assign.ChooseEngine(run, purpose.maxFill(), purpose.crossDomainCost(), free.states, assign.NewRand()); i >= 0 {
		return free.list[i], true
	}
	return nil, !engines.exhausted()
}

// candidates are servers that a run may be placed at, and their states.
type candidates struct {
	list   []*srvtab.Server
	states []assign.Server
}

func (c *candidates) add(s *srvtab.Server, state assign.Server) {
	c.list, c.states = append(c.list, s), append(c.states, state)
}

// withdrawnWeight is the weight of engines of a version that is being withdrawn, where the
// choice is free. A stream that begins there has to migrate, perhaps several times, and is lost
// with the version's last engine.
const withdrawnWeight = 0.5

// withdrawnFor returns the versions that are being withdrawn, if a new run may choose.
func withdrawnFor(r *Request, purpose Purpose, version ident.Version, view *srvtab.View, now time.Time) []ident.Version {
	if purpose != NewRun || version != "" || r.Brief {
		return nil
	}
	return view.Withdrawn(r.Service, now)
}

// slots returns how many calls a server may run. Brief calls are placed because their servers
// may not be overrun; a VM that decides by itself then keeps to its share.
func (c *Chooser) slots(r *Request, s *srvtab.Server, now time.Time) int {
	if r.Brief && r.Local {
		return max(s.Slots/c.rates.VMs(now), 1)
	}
	return s.Slots
}

// isPaced reports whether a server gets no run now because it may be cold. A server may
// become cold before any VM knows of it, so the coordinator always keeps to the limit of a
// cold server. A VM that decides by itself keeps to its share of the limit, at servers that
// are known to be cold. Copies are not kept at cold servers, where their runs could not
// continue.
func (c *Chooser) isPaced(r *Request, purpose Purpose, view *srvtab.View, s *srvtab.Server, now time.Time) bool {
	switch {
	case r.ColdLimit <= 0:
		return false
	case purpose == Backup:
		return view.IsCold(s, r.ColdTime, now)
	case r.Local:
		return view.IsCold(s, r.ColdTime, now) && !c.pacer.Allows(s.ID, r.ColdLimit/c.rates.VMs(now), now)
	default:
		return !c.pacer.Allows(s.ID, r.ColdLimit, now)
	}
}

// fillRatio returns how full the service's engines are, from a random sample of them.
func (c *Chooser) fillRatio(r *Request, load loadFunc) float64 {
	all, none := func(*srvtab.Pool) bool { return true }, func(*srvtab.Pool) bool { return false }
	engines := newSample(c.servers.View().PoolsOf(r.Service), all, none, nil)
	tokens := 0
	n := engines.visit(engines.pools, maxCompared, maxVisited, func(s *srvtab.Server) bool {
		tokens += load(s.ID).Tokens
		return true
	})
	return float64(tokens) / (float64(r.EngineMemory) * float64(max(n, 1)))
}
