package place

import (
	"math/rand/v2"

	"umberladder/internal/policy/length"
)

// Engine is what a VM knows of one engine at the time of a decision.
type Engine struct {
	Size      float64      // memory, in tokens
	Reported  float64      // memory used by the last report, in tokens
	Streams   int          // streams by the last report
	Own       int          // this VM's streams on it
	Predicted length.Share // memory predicted for all streams known or inferred
	Weight    float64      // share of its usual work it should get, 0 to 1
	Affinity  uint64       // rank of the prompt's prefix on it; the highest holds it
	Skip      bool         // may not be chosen
}

// Ask is one generation to place.
type Ask struct {
	Share length.Share // memory predicted for it
	Z     float64      // bound on the chance of overflow, as a normal quantile
	Room  float64      // share of each engine's memory it may use, 0 to 1
}

// Chooser picks an engine. It returns -1 if none may take the generation now.
type Chooser interface {
	Choose(ask *Ask, engines []Engine, rng *rand.Rand) int
}

// affinitySlack is how much fuller, as a share of its memory, the engine with
// the prompt's prefix may be than the emptiest one.
const affinitySlack = 0.15

// Predicted is the system's own way.
type Predicted struct{}

// Choose implements Chooser.
func (Predicted) Choose(ask *Ask, engines []Engine, rng *rand.Rand) int {
	best, second, near := -1, -1, -1
	for i := range engines {
		e := &engines[i]
		if e.Skip || !e.fits(ask) {
			continue
		}
		if rng.Float64() > e.Weight {
			continue
		}
		switch {
		case best < 0 || e.fill() < engines[best].fill():
			best, second = i, best
		case second < 0 || e.fill() < engines[second].fill():
			second = i
		}
		if near < 0 || e.Affinity > engines[near].Affinity {
			near = i
		}
	}
	if best < 0 {
		return -1
	}
	if engines[near].fill() <= engines[best].fill()+affinitySlack {
		return near
	}
	return spread(engines, best, second, rng)
}

// spread draws between the two emptiest engines, the emptier one more often,
// so that VMs with the same reports do not all choose the same.
func spread(engines []Engine, best, second int, rng *rand.Rand) int {
	if second < 0 {
		return best
	}
	free, other := 1-engines[best].fill(), 1-engines[second].fill()
	if free <= 0 || rng.Float64()*(free+max(other, 0)) < free {
		return best
	}
	return second
}

func (e *Engine) fits(ask *Ask) bool {
	sum := e.Predicted
	sum.Add(&ask.Share, 1)
	return sum.Within(e.Size*ask.Room, ask.Z)
}

// fill is the share of memory predicted to be held at the nearest horizon.
func (e *Engine) fill() float64 { return e.Predicted.Mean[0] / e.Size }
