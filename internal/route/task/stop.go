package task

import (
	"context"
	"math"
	"slices"
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/refuse"
)

const (
	// stopRetryAfter is the retry delay of calls refused by a VM that is shutting down.
	stopRetryAfter = 20 * time.Millisecond
	// settleTime is how long after the stop signal the balancer may still send new clients: it
	// checks readiness once a second and needs two failed checks. Until then a VM refuses what
	// it cannot complete by its estimates. Later ones come only from clients that kept a
	// connection and can go elsewhere, so that calls of unknown length are refused as well.
	settleTime = 3 * time.Second
	// maxTokenTime is the longest time per generated token at an engine that is not
	// overloaded.
	maxTokenTime = 10 * time.Millisecond
	// slowPaceShare is the share of engines that are not slower than the pace on which the
	// estimates rely. Runs are rarely placed on the few slowest ones.
	slowPaceShare = 0.9
	// durationMargin is the multiple of the longest recent duration of a route's calls that a
	// call is expected to take at most.
	durationMargin = 1.25
)

// StartContext returns a context for a wait for capacity, which ends when the call, if it started
// later, would not complete before this VM ends. The returned function releases it.
func (t *Task) StartContext(ctx context.Context) (context.Context, func()) {
	return t.Stop.Context(ctx, t.latestStart)
}

// latestStart returns the latest time at which the call may be sent to a server if this VM ends
// at the given time.
func (t *Task) latestStart(end time.Time) time.Time {
	if !t.Deadline.After(end) {
		return t.Deadline
	}
	return end.Add(-t.expectedTime(time.Now()))
}

// StopRefusal returns the refusal of a call that the shutdown of this VM would interrupt if it
// were sent to a server now, or nil. It has not been sent, so that another VM can serve it.
func (t *Task) StopRefusal() *refuse.Refusal {
	st, now := t.Stop.Times(), time.Now()
	if st == nil || now.Before(t.latestStart(st.End)) || !t.Deadline.After(st.End) {
		return nil
	}
	return refuse.New(refuse.VMStopping, "this VM ends in %s, and the call may take %s", st.End.Sub(now).Round(time.Millisecond),
		min(t.expectedTime(now), t.Deadline.Sub(now)).Round(time.Millisecond)).WithRetryAfter(stopRetryAfter)
}

// unbounded is the expected time of a call of which nothing is known.
const unbounded = time.Duration(math.MaxInt64)

// expectedTime returns how long the call is expected to take at most: a stream by the size of its
// generation, and others by the recent ones of their route as well.
func (t *Task) expectedTime(now time.Time) time.Duration {
	bySize := t.generationTime(now)
	if t.Call.Prompt != nil && t.Route.Kind == call.Stream {
		return bySize
	}
	if st := t.Stop.Times(); st != nil && now.Sub(st.Signal) >= settleTime {
		return unbounded
	}
	longest, _ := t.Durations.Of(t.Route.Name, now)
	return max(bySize, time.Duration(durationMargin*float64(longest)))
}

// generationTime returns the latency target and the time that the call's tokens take, if it states
// a maximum. The number is the client's and may be of any size.
func (t *Task) generationTime(now time.Time) time.Duration {
	p := t.Call.Prompt
	if p == nil {
		return t.Route.LatencyTarget
	}
	d := float64(t.Route.LatencyTarget) + float64(p.MaxTokens)*float64(t.tokenTime(now))
	if d >= float64(unbounded) {
		return unbounded
	}
	return time.Duration(d)
}

// tokenTime returns the longest time per generated token that is expected: the pause between
// events with which the route's streams are still on time, or the measured time if that is longer.
func (t *Task) tokenTime(now time.Time) time.Duration {
	perToken := maxTokenTime
	if e := t.Service.Engine; e != nil && e.TokensPerEvent > 0 {
		perToken = max(perToken, t.Route.GapTarget/time.Duration(e.TokensPerEvent))
	}
	paces := t.enginePaces(now)
	if len(paces) == 0 {
		return perToken
	}
	slices.Sort(paces)
	return max(perToken, paces[int(slowPaceShare*float64(len(paces)))])
}

// enginePaces returns the measured times per token of the service's engines: those that this VM
// knows of all engines or, if it places no runs of the service, those of the engines that run its
// own streams.
func (t *Task) enginePaces(now time.Time) []time.Duration {
	var out []time.Duration
	speeds, _ := t.Speeds(t.Service.Name, now)
	for _, s := range speeds {
		out = append(out, s.PerToken)
	}
	if len(out) > 0 {
		return out
	}
	for _, s := range t.Servers.View().ServersOf(t.Service.Name) {
		if l := t.Alloc.Load(s.ID); l.PaceRuns > 0 {
			out = append(out, time.Duration(l.PaceMicros/l.PaceRuns)*time.Microsecond)
		}
	}
	return out
}
