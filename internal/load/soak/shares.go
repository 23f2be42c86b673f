package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/platform/fake"
)

const (
	// greedyShare is the share of calls that the greedy workspace sends in addition to its equal
	// part of the others. It sends four times as many as each other workspace.
	greedyShare = 3.0 / 7
	// greedyKey is the key of the greedy workspace.
	greedyKey = "key-3"
	// shareSlots is how many streams an engine runs at the same time, so that there are more
	// calls than engines can run.
	shareSlots = 4
	// numPriorities is the number of priorities that workspaces get.
	numPriorities = 6
	// shareInterval is the time over which served calls are compared.
	shareInterval = 5 * time.Second
	// minEqualPart is the number of calls of a workspace that have to be served in shareInterval if
	// it is served as often as all, for its calls to count. Of 12, under 3 are served by chance
	// in 1 of 1,900 cases.
	minEqualPart = 12
	// minFairness is the least share of calls served of a workspace in relation to all calls.
	minFairness = 0.25
	// slowFactor is by how much servers slow down for a time.
	slowFactor = 2.5
)

// speeds are the speeds of servers, a third of them each.
var speeds = []float64{0.6, 1, 1.6}

// configure sets the speed of a new server and its number of slots. The caller holds the lock.
func (r *run) configure(b *backend) {
	if r.cfg.Uneven {
		b.speed = speeds[r.nextID%len(speeds)]
		b.server.SetSpeed(b.speed)
	}
	if r.cfg.Shares && b.server.Service == fake.EngineService {
		b.server.SetSlots(shareSlots)
	}
}

// unevenFaults returns the faults that make service uneven.
func (r *run) unevenFaults() []faultKind {
	var kinds []faultKind
	if r.cfg.Uneven {
		kinds = append(kinds, faultKind{"server-slow", r.slowServer, false}, faultKind{"server-slow", r.slowServer, false})
	}
	if r.cfg.Shares {
		kinds = append(kinds, faultKind{"priority", r.changePriority, false})
	}
	return kinds
}

// slowServer slows a server down for a time.
func (r *run) slowServer(ctx context.Context) {
	if b := r.pickServer(); b != nil {
		b.server.SetSpeed(b.speed / slowFactor)
		r.undoLater(ctx, func() { b.server.SetSpeed(b.speed) })
	}
}

// changePriority gives a workspace another priority.
func (r *run) changePriority(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.priorities[fmt.Sprintf("key-%d", r.rng.IntN(numKeys))] = r.rng.IntN(numPriorities)
	r.writeNextSettings()
}

// leaveVMsAlone returns the faults to inject from now on. To compare shares, VMs are impaired in the
// first quarter of the soak only, and no key is revoked.
func (r *run) leaveVMsAlone(ctx context.Context, kinds []faultKind) []faultKind {
	end, ok := ctx.Deadline()
	if !r.cfg.Shares || !ok {
		return kinds
	}
	late := time.Until(end) < r.cfg.Duration*3/4
	return slices.DeleteFunc(kinds, func(k faultKind) bool { return k.name == "revoke" || k.onVMs && late })
}

// chooseKey returns the key of a client's call.
func (r *run) chooseKey(rng *rand.Rand) string {
	if r.cfg.Shares && rng.Float64() < greedyShare {
		return greedyKey
	}
	return fmt.Sprintf("key-%d", rng.IntN(numKeys))
}

// shareGroup is the calls of a workspace to one service in one interval.
type shareGroup struct {
	interval int
	stream   bool
	key      string // empty: of all workspaces
}

// shareViolations returns a violation for each workspace other than the greedy one that is served
// less than minFairness as often as all together, in one interval, at unimpaired VMs.
func (r *run) shareViolations() []string {
	if !r.cfg.Shares || len(r.calls) == 0 {
		return nil
	}
	start := slices.MinFunc(r.calls, func(a, b *call) int { return a.sentAt.Compare(b.sentAt) }).sentAt
	groups := make(map[shareGroup]tally)
	for _, c := range r.calls {
		if !r.countsForFlood(c) || !r.allHealthy(c.sentAt) {
			continue
		}
		g := shareGroup{interval: int(c.sentAt.Sub(start) / shareInterval), stream: fake.IsStream(c.path)}
		for _, g.key = range []string{c.key, ""} {
			t := groups[g]
			groups[g] = tally{read: t.read + 1, served: t.served + c.served()}
		}
	}
	var out []string
	for g, t := range groups {
		all := groups[shareGroup{interval: g.interval, stream: g.stream}]
		if g.key != "" && g.key != greedyKey && float64(t.read)*all.share() >= minEqualPart && t.share() < minFairness*all.share() {
			out = append(out, fmt.Sprintf("workspace of %s was served %d of %d calls from %s on (streams: %t), all were served %d of %d",
				g.key, t.served, t.read, time.Duration(g.interval)*shareInterval, g.stream, all.served, all.read))
		}
	}
	return out
}
