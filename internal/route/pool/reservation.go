package pool

import (
	"time"

	"umberladder/internal/policy/length"
	"umberladder/internal/state/config"
)

// Reservation is a generation's place on an engine. It is used by one goroutine
// and released once.
type Reservation struct {
	Server config.Server

	pool            *Pool
	node            *node
	estimator       *length.Estimator
	commonEstimator *length.Estimator
	prompt          int
	produced        int
	countedMemory   int // memory counted in the node, in tokens
	nextBound       int // lower bound of the next length bucket
	bucket          int
	share           length.Forecast
	released        bool
}

// Engine returns the engine.
func (r *Reservation) Engine() config.Server { return r.Server }

// Progress records that the generation has produced n tokens in total. It is
// cheap unless n reaches the next length bucket.
func (r *Reservation) Progress(n int) {
	r.produced = n
	if n < r.nextBound {
		return
	}
	for n >= length.BucketStart(r.bucket+1) && r.bucket < length.Buckets-1 {
		r.estimator.Passed(r.bucket)
		r.commonEstimator.Passed(r.bucket)
		r.bucket++
	}
	r.nextBound = length.BucketStart(r.bucket + 1)
	r.refreshShare()
}

// refreshShare updates the predicted memory of the stream.
func (r *Reservation) refreshShare() {
	share := r.estimator.Curve().Forecast(r.produced, r.prompt)
	memory := r.prompt + r.produced
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.node.localShare.Add(&r.share, -1)
	r.node.localShare.Add(&share, 1)
	r.node.localMemory += memory - r.countedMemory
	r.countedMemory = memory
	r.share = share
}

// Outcome is how a generation ended on its engine.
type Outcome uint8

// The outcomes.
const (
	Completed  Outcome = iota // it ran to its end
	Cancelled                 // it was cancelled or the caller disconnected
	EngineLost                // the engine was lost or failed
	Refused                   // the engine refused to start it
)

// Release returns the reserved capacity and records the outcome.
func (r *Reservation) Release(end Outcome, now time.Time) {
	if r.released {
		return
	}
	r.released = true
	if end == Completed {
		r.estimator.Ended(r.bucket)
		r.commonEstimator.Ended(r.bucket)
	}
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	r.node.localStreams--
	r.node.changes = append(r.node.changes, change{at: now, streams: -1, memory: -r.countedMemory})
	r.node.localMemory -= r.countedMemory
	r.node.localShare.Add(&r.share, -1)
	if r.node.localStreams == 0 {
		r.node.localShare = length.Forecast{}
		r.node.localMemory = 0
	}
	switch end {
	case EngineLost:
		r.node.breaker.Failure(now, p.rng.Float64())
	case Completed:
		r.node.breaker.Success(now)
	}
	p.dispatch(now)
}
