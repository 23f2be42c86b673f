package place

import (
	"math/rand/v2"

	"umberladder/internal/policy/length"
)

// Engine is the state of one engine that a VM knows at the time of a choice.
type Engine struct {
	Memory         float64         // in tokens
	ReportedMemory float64         // memory in use by the last load report, in tokens
	OwnStreams     int             // number of this VM's streams on the engine
	Predicted      length.Forecast // memory forecast of all streams, known and inferred
	Weight         float64         // fraction of its normal load that it should get, 0 to 1
	Affinity       uint64          // rendezvous score for the prompt's prefix; the engine with the highest is expected to have it cached
	Skip           bool            // must not be chosen
}

// Request describes one generation to place.
type Request struct {
	Forecast  length.Forecast // memory forecast of the generation
	OverflowZ float64         // bound on the overflow probability, as a quantile of the normal distribution
	MaxFill   float64         // fraction of each engine's memory that may be used, 0 to 1
	// PromptTokens is the length of the prompt, an upper bound of the prefill that an
	// engine with the prompt's prefix saves.
	PromptTokens int
}

// Chooser chooses an engine for a generation.
type Chooser interface {
	// Choose returns the index of an engine, or -1 if no engine can run the generation
	// now.
	Choose(req *Request, engines []Engine, rng *rand.Rand) int
}

const (
	// maxAffinitySlack is how much fuller the engine with the prompt's prefix may be than
	// the engine that is chosen by load, as a fraction of memory.
	maxAffinitySlack = 0.1
	// slackPerPromptToken is how much fuller it may be for each token of the prompt, in
	// tokens. A short prompt does not justify uneven load.
	slackPerPromptToken = 2.0
)

// PredictedLoad chooses by predicted memory and prefix affinity.
type PredictedLoad struct{}

// Choose implements Chooser. It draws two of the engines that have capacity and takes
// the less full one (Mitzenmacher 2001). If it always took the least full engine, all
// VMs with the same delayed load reports would choose the same engine.
func (PredictedLoad) Choose(req *Request, engines []Engine, rng *rand.Rand) int {
	first, second, cached, fitting := -1, -1, -1, 0
	for i := range engines {
		e := &engines[i]
		if e.Skip || !e.fits(req) || rng.Float64() > e.Weight {
			continue
		}
		// Reservoir sampling of two engines: all pairs are equally likely.
		fitting++
		switch at := rng.IntN(fitting); {
		case fitting <= 2 && first < 0:
			first = i
		case fitting <= 2:
			second = i
		case at == 0:
			first = i
		case at == 1:
			second = i
		}
		if cached < 0 || e.Affinity > engines[cached].Affinity {
			cached = i
		}
	}
	if first < 0 {
		return -1
	}
	best := first
	if second >= 0 && engines[second].fill() < engines[first].fill() {
		best = second
	}
	slack := min(maxAffinitySlack, slackPerPromptToken*float64(req.PromptTokens)/engines[best].Memory)
	if engines[cached].fill() <= engines[best].fill()+slack {
		return cached
	}
	return best
}

func (e *Engine) fits(req *Request) bool {
	sum := e.Predicted
	sum.Add(&req.Forecast, 1)
	return sum.Within(e.Memory*req.MaxFill, req.OverflowZ)
}

// fill returns the predicted fraction of memory in use at the nearest horizon.
func (e *Engine) fill() float64 { return e.Predicted.Mean[0] / e.Memory }
