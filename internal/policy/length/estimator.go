package length

import (
	"sync"
	"sync/atomic"
)

const (
	// priorHazard is the hazard of a bucket without observations, and priorWeight its
	// weight, in observations.
	priorHazard = 0.12
	priorWeight = 1.0
	// maxAtRisk is the count above which a bucket's counts are halved.
	maxAtRisk = 4000.0
	// rebuildInterval is the number of observations between two rebuilds of the curve.
	rebuildInterval = 32
)

// Estimator estimates the length distribution of the streams that are recorded in it. It
// is safe for concurrent use.
type Estimator struct {
	mu           sync.Mutex
	atRisk       [Buckets]float64
	ended        [Buckets]float64
	observations int
	curve        atomic.Pointer[Curve]
}

// New returns an estimator without observations, whose curve is the prior.
func New() *Estimator {
	e := &Estimator{}
	e.curve.Store(e.build())
	return e
}

// Curve returns the current estimate.
func (e *Estimator) Curve() *Curve { return e.curve.Load() }

// RecordPassed records that a stream has passed bucket k and still runs.
func (e *Estimator) RecordPassed(k int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(k, false)
}

// RecordEnded records that a stream ended in bucket k. For a stream that was cut short, only the
// buckets that it passed are recorded, because it might have run longer.
func (e *Estimator) RecordEnded(k int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(k, true)
}

func (e *Estimator) observe(k int, ended bool) {
	e.atRisk[k]++
	if ended {
		e.ended[k]++
	}
	if e.atRisk[k] > maxAtRisk {
		e.atRisk[k] /= 2
		e.ended[k] /= 2
	}
	e.observations++
	if e.observations%rebuildInterval == 0 {
		e.curve.Store(e.build())
	}
}

func (e *Estimator) build() *Curve {
	c := &Curve{}
	c.survival[0] = 1
	for k := range Buckets {
		h := (e.ended[k] + priorHazard*priorWeight) / (e.atRisk[k] + priorWeight)
		c.survival[k+1] = c.survival[k] * (1 - h)
	}
	c.tabulateHorizons()
	c.tabulateMeanForecast()
	return c
}
