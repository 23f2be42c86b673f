package place

import (
	"math/rand/v2"

	"umberladder/internal/policy/length"
)

// Engine is what a VM knows of one engine at the time of a decision.
type Engine struct {
	Size      float64      // memory, in tokens
	Reported  float64      // memory used by the last report, in tokens
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
	// Prompt is the length of the prompt, in tokens: what an engine that has
	// its prefix need not compute.
	Prompt int
}

// Chooser picks an engine. It returns -1 if none may take the generation now.
type Chooser interface {
	Choose(ask *Ask, engines []Engine, rng *rand.Rand) int
}

const (
	// affinityMost is how much fuller, as a share of its memory, the engine
	// with the prompt's prefix may be than the emptiest one.
	affinityMost = 0.1
	// affinityGain is how much fuller it may be for each token of the prompt,
	// in tokens: a short prompt is not worth an uneven load.
	affinityGain = 2.0
)

// Predicted is the system's own way.
type Predicted struct{}

// Choose implements Chooser. Of two engines drawn from those that fit, it
// takes the emptier (Mitzenmacher 2001): always taking the emptiest of all
// would send every VM that has the same late reports to the same engine.
func (Predicted) Choose(ask *Ask, engines []Engine, rng *rand.Rand) int {
	first, second, near, fit := -1, -1, -1, 0
	for i := range engines {
		e := &engines[i]
		if e.Skip || !e.fits(ask) || rng.Float64() > e.Weight {
			continue
		}
		// Two places of a reservoir: each pair is as likely as any other.
		fit++
		switch at := rng.IntN(fit); {
		case fit <= 2 && first < 0:
			first = i
		case fit <= 2:
			second = i
		case at == 0:
			first = i
		case at == 1:
			second = i
		}
		if near < 0 || e.Affinity > engines[near].Affinity {
			near = i
		}
	}
	if first < 0 {
		return -1
	}
	best := first
	if second >= 0 && engines[second].fill() < engines[first].fill() {
		best = second
	}
	slack := min(affinityMost, affinityGain*float64(ask.Prompt)/engines[best].Size)
	if engines[near].fill() <= engines[best].fill()+slack {
		return near
	}
	return best
}

func (e *Engine) fits(ask *Ask) bool {
	sum := e.Predicted
	sum.Add(&ask.Share, 1)
	return sum.Within(e.Size*ask.Room, ask.Z)
}

// fill is the share of memory predicted to be held at the nearest horizon.
func (e *Engine) fill() float64 { return e.Predicted.Mean[0] / e.Size }
