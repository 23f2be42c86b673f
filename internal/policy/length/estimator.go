package length

import (
	"sync"
	"sync/atomic"
)

const (
	// The prior: the hazard of a bucket before anything was seen, and how
	// many observations it weighs.
	priorHazard = 0.12
	priorWeight = 1.0
	// maxRisk is the count at which a bucket's counts are halved.
	maxRisk = 4000.0
	// rebuildEvery is how many observations pass between two curves.
	rebuildEvery = 32
)

// Estimator learns the lengths of one service and class. It is safe for use
// by several goroutines.
type Estimator struct {
	mu    sync.Mutex
	risk  [Buckets]float64
	ended [Buckets]float64
	seen  int
	curve atomic.Pointer[Curve]
}

// New returns an estimator that knows only the prior.
func New() *Estimator {
	e := &Estimator{}
	e.curve.Store(e.build())
	return e
}

// Curve returns the present estimate.
func (e *Estimator) Curve() *Curve { return e.curve.Load() }

// Passed notes that a stream went through bucket k and goes on.
func (e *Estimator) Passed(k int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(k, false)
}

// Ended notes that a stream ended in bucket k. A stream that was cut short
// did not end by itself and is not noted: its buckets passed already are.
func (e *Estimator) Ended(k int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(k, true)
}

func (e *Estimator) observe(k int, ended bool) {
	e.risk[k]++
	if ended {
		e.ended[k]++
	}
	if e.risk[k] > maxRisk {
		e.risk[k] /= 2
		e.ended[k] /= 2
	}
	e.seen++
	if e.seen%rebuildEvery == 0 {
		e.curve.Store(e.build())
	}
}

func (e *Estimator) build() *Curve {
	c := &Curve{}
	c.survive[0] = 1
	for k := range Buckets {
		h := (e.ended[k] + priorHazard*priorWeight) / (e.risk[k] + priorWeight)
		c.survive[k+1] = c.survive[k] * (1 - h)
	}
	c.tabulate()
	c.tabulateRunning()
	return c
}
