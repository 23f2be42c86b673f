package coord

import (
	"math"
	"time"

	"umberladder/internal/route/pick"
)

const (
	// rateWindow is the time constant of the moving average of granted tokens.
	rateWindow = time.Second
	// minBusyTime is how long the queues must have been non-empty before the grant
	// rate is used for estimates.
	minBusyTime = 100 * time.Millisecond
	// maxEstimate caps wait estimates; it is longer than any wait.
	maxEstimate = time.Hour
)

// decayRates updates the grant rates. It resets them while the queues are empty,
// because they then say nothing about the engines' throughput.
func (sq *serviceQueue) decayRates(now time.Time) {
	if sq.queueLen() == 0 {
		sq.grantRate = [numLevels]float64{}
		sq.busySince, sq.updatedAt = now, now
		return
	}
	elapsed := now.Sub(sq.updatedAt)
	if elapsed <= 0 {
		return
	}
	for i := range sq.grantRate {
		sq.grantRate[i] *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	}
	sq.updatedAt = now
}

// estimateWait returns how long it takes to serve the request and all that
// precede it at a level, at the recent grant rate; zero if that is not known.
func (sq *serviceQueue) estimateWait(r *request, level int) time.Duration {
	queued, rate := r.Run.Need, 0.0
	for i := range level + 1 {
		queued += sq.queuedTokens[i]
		rate += sq.grantRate[i]
	}
	tokens := float64(queued)
	switch l := sq.levels[level]; {
	case r.Run.Continues():
		tokens = float64(r.Run.Need + sq.urgentTokens)
	case r.isUrgent():
		// Calls of other ranks are granted a part meanwhile, but no more than is queued.
		share := 1.0
		if r.hasShare() && l.unknown == 0 {
			share = l.classShare(&r.Run)
		}
		continued := sq.queuedTokens[continueLevel]
		urgent := float64(continued) + float64(r.Run.Need+sq.urgentTokens-continued)/share
		tokens = min(urgent, max(tokens, float64(r.Run.Need+sq.urgentTokens)))
	}
	if level == onTimeLevel {
		tokens = min(tokens, sq.tokensUntilTurn(r))
	}
	busy := sq.updatedAt.Sub(sq.busySince)
	if busy < minBusyTime {
		return 0
	}
	seconds := tokens * warmup(busy) / rate
	if seconds > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(seconds * float64(time.Second))
}

// tokensUntilTurn returns the tokens that are granted to all until a new request of the on-time
// level has been served, if its workspace gets no more than its share.
func (sq *serviceQueue) tokensUntilTurn(r *request) float64 {
	l := sq.levels[onTimeLevel]
	if r.Run.Continues() || !r.hasShare() || l.unknown > 0 {
		return math.Inf(1)
	}
	class := l.class(&r.Run)
	_, own := class.Queued(r.Run.Workspace)
	share := class.Share(r.Run.Workspace, float64(r.Run.Weight)/pick.WeightUnit) * l.classShare(&r.Run)
	return float64(sq.queuedTokens[continueLevel]) + (own+r.cost())/share
}
