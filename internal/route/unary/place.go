package unary

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/admit"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/srvtab"
)

// unlimitedMemory is the memory of plain servers, which is not managed.
const unlimitedMemory = 1 << 30

// next returns the server for the next attempt; nil: there is none. Servers that fail if
// they have to reject too many calls get only as many as they have room for, which the
// service's coordinator decides for all VMs.
func (r *requester) next(ctx context.Context) (*srvtab.Server, *refuse.Refusal) {
	if r.Reject.Rejections(r.Service.Name, time.Now()) == 0 {
		return r.pick(), nil
	}
	req := r.placementRequest(time.Since(r.Call.Arrived))
	r.unreachable = nil
	startCtx, release := r.StartContext(ctx)
	placement, err := r.Placer.Place(startCtx, req)
	release()
	var noCapacity *pick.NoCapacityError
	if q := r.StopRefusal(); q != nil {
		return nil, q.WithRan(r.ran())
	}
	switch {
	case err == nil:
		r.reservation = r.reserve(placement, req.Load())
		return placement.Server, nil
	case errors.Is(err, pick.ErrNoServer):
		return nil, nil
	case errors.As(err, &noCapacity):
		return nil, refuse.New(refuse.NoCapacity, "no server of service %s, which are brittle, has room within %s, %d calls wait%s",
			r.Service.Name, req.MaxWait.Round(time.Millisecond), noCapacity.Ahead, r.ShareDetail(noCapacity)).WithRan(r.ran()).WithRetryAfter(overloadRetryAfter)
	default:
		return nil, r.CancellationRefusal(ctx, r.ran())
	}
}

// placementRequest describes the room that the call needs. elapsed is the time since its
// arrival.
func (r *requester) placementRequest(elapsed time.Duration) pick.Request {
	req := pick.Request{
		Service: r.Service.Name, Purpose: pick.NewRun, Rank: r.Priority(), CurrentRank: r.Priority, Need: 1, EngineMemory: unlimitedMemory, Brief: true,
		From: r.Config.Domain, Exclude: slices.Collect(maps.Keys(r.tried)), Unreachable: r.unreachable, Domains: r.AllowedDomains(),
	}
	r.SetShare(&req)
	req.TargetWait = admit.OnTimeWait(r.Route.LatencyTarget, elapsed, 0)
	req.MaxWait = admit.MaxWait(req.TargetWait, r.Deadline.Sub(r.Call.Arrived), elapsed)
	if r.Service.ColdTime > 0 {
		req.ColdTime, req.ColdLimit = r.Service.ColdTime, rates.GrantLimit(r.Config.ColdLimit(r.Service.ColdRate))
	}
	return req
}

func (r *requester) reserve(p pick.Placement, l alloc.Load) *alloc.Reservation {
	if p.Grant == 0 {
		return r.Alloc.Reserve(p.Server.ID, l)
	}
	return r.Alloc.ReserveGranted(p.Server.ID, l, p.Grant, time.Now())
}

// release frees the room for an attempt that has ended.
func (r *requester) release() {
	r.reservation.Release()
	r.reservation = nil
}
