package pool

import (
	"time"

	"umberladder/internal/policy/length"
	"umberladder/internal/state/config"
)

// Reservation is the capacity reserved for a generation on an engine. It is used
// by one goroutine and released once.
type Reservation struct {
	Server config.Server

	pool            *Pool
	engine          *engineState
	estimator       *length.Estimator
	commonEstimator *length.Estimator
	prompt          int
	produced        int
	countedMemory   int // memory counted in the engine's state, in tokens
	nextBound       int // lower bound of the next length bucket
	bucket          int
	forecast        length.Forecast // predicted memory counted in the engine's state
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
		r.estimator.RecordPassed(r.bucket)
		r.commonEstimator.RecordPassed(r.bucket)
		r.bucket++
	}
	r.nextBound = length.BucketStart(r.bucket + 1)
	r.refreshForecast()
}

// refreshForecast updates the predicted memory of the stream.
func (r *Reservation) refreshForecast() {
	forecast := r.estimator.Curve().Forecast(r.produced, r.prompt)
	memory := r.prompt + r.produced
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.engine.localForecast.Add(&r.forecast, -1)
	r.engine.localForecast.Add(&forecast, 1)
	r.engine.localMemory += memory - r.countedMemory
	r.countedMemory = memory
	r.forecast = forecast
}

// Outcome is how a generation ended on its engine.
type Outcome uint8

// The outcomes.
const (
	Completed  Outcome = iota // it ran to its end
	Cancelled                 // it was cancelled or the client disconnected
	EngineLost                // the engine was lost or failed
	Rejected                  // the engine did not start it
)

// Release returns the reserved capacity and records the outcome.
func (r *Reservation) Release(outcome Outcome, now time.Time) {
	if r.released {
		return
	}
	r.released = true
	if outcome == Completed {
		r.estimator.RecordEnded(r.bucket)
		r.commonEstimator.RecordEnded(r.bucket)
	}
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	r.engine.localStreams--
	r.engine.changes = append(r.engine.changes, change{at: now, streams: -1, memory: -r.countedMemory})
	r.engine.localMemory -= r.countedMemory
	r.engine.localForecast.Add(&r.forecast, -1)
	if r.engine.localStreams == 0 {
		r.engine.localForecast = length.Forecast{}
		r.engine.localMemory = 0
	}
	switch outcome {
	case EngineLost:
		r.engine.breaker.Failure(now, p.rng.Float64())
	case Completed:
		r.engine.breaker.Success(now)
	}
	p.dispatch(now)
}
