package coord

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/pick"
)

// Observer receives what a Coordinator decides about the runs of workspaces. Its methods must
// return at once and must not call the Coordinator.
type Observer interface {
	// RecordGrant records that a run was granted tokens of memory; for plain calls, slots.
	RecordGrant(rank int, overShare bool, tokens int)
	// RecordRefusal records that a run was refused for lack of capacity.
	RecordRefusal(rank int, overShare bool)
	// RecordRetry records what became of a run that was refused for lack of capacity and came back
	// when its ticket was due.
	RecordRetry(served bool)
	// LimitChanged records that a workspace starts or stops being limited to its share.
	LimitChanged(l Limit)
}

// Limit says whether a workspace is limited to its share of a service's capacity: some of its
// calls can't start in time because others want their shares.
type Limit struct {
	Service   ident.Service
	Workspace ident.Workspace
	Limited   bool
	Share     float64 // of what was granted in the last second or so
	Entitled  float64 // share by the weights of the workspaces that make calls
	Waiting   int     // queued calls of the workspace
}

// limitedTTL is how long a workspace counts as limited after its last call that could not start
// in time, so that a workspace at the limit doesn't change state with each call.
const limitedTTL = 5 * time.Second

type noObserver struct{}

func (noObserver) RecordGrant(int, bool, int) {}

func (noObserver) RecordRefusal(int, bool) {}

func (noObserver) RecordRetry(bool) {}

func (noObserver) LimitChanged(Limit) {}

// WithObserver makes the Coordinator report to o. It must be called before the Coordinator is
// used, and returns it.
func (c *Coordinator) WithObserver(o Observer) *Coordinator {
	c.observer = o
	return c
}

// WaitingWorkspaces returns the number of workspaces that have queued runs, summed over the
// services.
func (c *Coordinator) WaitingWorkspaces() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, sq := range c.queues {
		total += len(sq.queued)
	}
	return total
}

// recordDemand records that the workspace of a run wants capacity.
func (sq *serviceQueue) recordDemand(r *request, now time.Time) {
	if r.hasShare() {
		sq.meter.Demand(r.Run.Workspace, float64(r.Run.Weight), now)
	}
}

// recordGrant records what the workspace of a run was granted.
func (c *Coordinator) recordGrant(sq *serviceQueue, r *request, now time.Time) {
	c.useTicket(sq, r, now)
	if !r.hasShare() {
		return
	}
	over := sq.meter.IsOver(r.Run.Workspace, now)
	sq.meter.Grant(r.Run.Workspace, r.cost(), now)
	r.response.Share = sq.share(r, now)
	c.observer.RecordGrant(r.Run.Rank, over, max(r.Run.Need, 1))
}

// recordRefusal records that a run was refused.
func (c *Coordinator) recordRefusal(sq *serviceQueue, r *request, now time.Time) {
	if r.due {
		c.observer.RecordRetry(false)
	}
	if !r.hasShare() {
		return
	}
	c.observer.RecordRefusal(r.Run.Rank, sq.meter.IsOver(r.Run.Workspace, now))
	c.checkLimited(sq, r, now)
}

// checkLimited records that a run cannot start in time. If its workspace got its share, it is
// limited to it.
func (c *Coordinator) checkLimited(sq *serviceQueue, r *request, now time.Time) {
	if !r.hasShare() || !sq.meter.IsOver(r.Run.Workspace, now) {
		return
	}
	if _, ok := sq.limited[r.Run.Workspace]; !ok {
		c.observer.LimitChanged(sq.limit(r.Run.Workspace, true, now))
	}
	sq.limited[r.Run.Workspace] = now
}

// updateLimited finds the workspaces that are no longer limited to their shares.
func (c *Coordinator) updateLimited(sq *serviceQueue, now time.Time) {
	if now.Sub(sq.checkedAt) < limitedTTL/10 {
		return
	}
	sq.checkedAt = now
	for w, at := range sq.limited {
		if now.Sub(at) > limitedTTL {
			delete(sq.limited, w)
			c.observer.LimitChanged(sq.limit(w, false, now))
		}
	}
}

func (sq *serviceQueue) limit(w ident.Workspace, limited bool, now time.Time) Limit {
	return Limit{
		Service: sq.service, Workspace: w, Limited: limited,
		Share: sq.meter.Share(w, now), Entitled: sq.meter.Entitled(w), Waiting: sq.queued[w],
	}
}

// share returns the share of what was granted recently that the workspace of a run got, in
// thousandths.
func (sq *serviceQueue) share(r *request, now time.Time) int {
	if !r.hasShare() {
		return 0
	}
	return int(pick.WeightUnit * sq.meter.Share(r.Run.Workspace, now))
}

// ownQueued returns the number of queued requests of the workspace of a run.
func (sq *serviceQueue) ownQueued(r *request) int {
	if !r.hasShare() {
		return 0
	}
	return sq.queued[r.Run.Workspace]
}
