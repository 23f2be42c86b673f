package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"umberladder/platform/fake"
)

const (
	// maxMixed is how many streams may hold events of several versions of the software.
	maxMixed = 2
	// minTakenUp is how many streams have to be taken up before the share that goes on counts. It
	// must be at least half of the share of new streams that begin.
	minTakenUp = 12
	// maxTakeUps is how often a client takes a stream up.
	maxTakeUps = 2
)

// takeUp is an attempt to take up a stream.
type takeUp struct {
	first  string // attempt that brought the stream's first event
	last   int    // last event that the client has
	counts bool   // enough servers of the stream's version were in use
}

// roll replaces some engines with ones of another version of the software, which may be an
// earlier one, one after the other.
func (r *run) roll(ctx context.Context) {
	versions := r.engineVersions()
	target := versions[r.rng.IntN(len(versions))]
	if r.rng.IntN(2) == 0 {
		r.mu.Lock()
		r.releases++
		target = fmt.Sprintf("v%d", r.releases+1)
		r.mu.Unlock()
	}
	n := 1 + r.rng.IntN(r.cfg.Servers)
	pause := time.Duration(r.rng.IntN(400)) * time.Millisecond
	r.group.Go(func() error {
		for i := 0; i < n && ctx.Err() == nil; i++ {
			b := r.engineOfOtherVersion(target)
			if b == nil {
				return nil
			}
			if err := r.addServerOf(ctx, fake.EngineService, target); err != nil {
				return err
			}
			r.retire(ctx, b)
			r.sleep(ctx, pause)
		}
		return nil
	})
}

// engineVersions returns the versions of the engines in use.
func (r *run) engineVersions() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, b := range r.backends {
		if v := b.server.Version(); b.isEngineInUse() && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	if len(out) == 0 {
		out = []string{fake.DefaultVersion}
	}
	return out
}

func (b *backend) isEngineInUse() bool {
	return b.server.Service == fake.EngineService && b.retiredAt.IsZero() && !b.dead
}

// engineOfOtherVersion returns an engine in use that does not run a version, or nil.
func (r *run) engineOfOtherVersion(v string) *backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		if b.isEngineInUse() && b.server.Version() != v {
			return b
		}
	}
	return nil
}

// enginesOf returns the number of engines in use that run a version.
func (r *run) enginesOf(v string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, b := range r.backends {
		if b.isEngineInUse() && b.server.Version() == v {
			n++
		}
	}
	return n
}

// takeStreamUp takes up a stream that broke off, or that its client left, at other VMs.
func (r *run) takeStreamUp(ctx context.Context, rng *rand.Rand, httpClient *http.Client, c *call) {
	attempts := []string{c.id}
	last := c.lastEvent
	for n := range maxTakeUps {
		versions := r.versionsOf(attempts)
		if last == 0 || last == fake.StreamEvents || c.violation != "" || len(versions) == 0 || ctx.Err() != nil {
			break
		}
		v := r.vms[rng.IntN(len(r.vms))]
		next := &call{id: fmt.Sprintf("%s-%d", c.id, n), path: c.path, key: c.key, vm: v.name, leaveAfter: fake.StreamEvents}
		next.takeUp = &takeUp{first: c.id, last: last, counts: r.enginesOf(versions[0]) >= 2}
		r.send(ctx, httpClient, next, v.clientAddr)
		attempts = append(attempts, next.id)
		if ctx.Err() == nil {
			r.addCall(next)
		}
		last = max(last, next.lastEvent)
		r.sleep(ctx, time.Duration(rng.IntN(100))*time.Millisecond)
	}
	if len(r.versionsOf(attempts)) > 1 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.mixed = append(r.mixed, fmt.Sprintf("stream %v holds events of versions %v", attempts, r.versionsOf(attempts)))
	}
}

// versionsOf returns the versions of the software that produced events in some attempts.
func (r *run) versionsOf(attempts []string) []string {
	var out []string
	for _, id := range attempts {
		for _, run := range r.runLog.Runs(id) {
			if run.Events > 0 && !slices.Contains(out, run.Version) {
				out = append(out, run.Version)
			}
		}
	}
	return out
}

// versionViolations returns the violations of the rules on versions of the software.
func (r *run) versionViolations(rep *Report) []string {
	var began, first int
	for _, c := range r.calls {
		if !fake.IsStream(c.path) || !r.wasHealthy(c.vm, c.sentAt) || r.revoked[c.key] != (time.Time{}) {
			continue
		}
		switch {
		case c.takeUp == nil:
			first++
			if c.lastEvent > 0 {
				began++
			}
		case c.takeUp.counts:
			rep.TakenUp++
			if c.lastEvent > c.takeUp.last {
				rep.WentOn++
			}
		}
	}
	rep.Mixed = len(r.mixed)
	var out []string
	if rep.Mixed > maxMixed {
		out = append(out, r.mixed...)
	}
	if rep.TakenUp >= minTakenUp && 2*rep.WentOn*first < rep.TakenUp*began {
		out = append(out, fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new ones began", rep.WentOn, rep.TakenUp, began, first))
	}
	return out
}
