package place

import "math/rand/v2"

// RoundRobin chooses the engines in turn. Its zero value is ready for use. It is not
// safe for concurrent use.
type RoundRobin struct {
	next int
}

// Choose implements Chooser.
func (r *RoundRobin) Choose(_ *Request, engines []Engine, _ *rand.Rand) int {
	for range engines {
		i := r.next % len(engines)
		r.next++
		if !engines[i].Skip {
			return i
		}
	}
	return -1
}

// LeastLoad chooses the engine that reported the least memory in use.
type LeastLoad struct{}

// Choose implements Chooser.
func (LeastLoad) Choose(_ *Request, engines []Engine, rng *rand.Rand) int {
	best, ties := -1, 0
	for i := range engines {
		e := &engines[i]
		switch {
		case e.Skip:
		case best < 0 || e.ReportedMemory < engines[best].ReportedMemory:
			best, ties = i, 1
		case e.ReportedMemory == engines[best].ReportedMemory:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices draws two engines at random and chooses the one with fewer streams of
// this VM (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing,
// 2001).
type TwoChoices struct{}

// Choose implements Chooser.
func (TwoChoices) Choose(_ *Request, engines []Engine, rng *rand.Rand) int {
	var available []int
	for i := range engines {
		if !engines[i].Skip {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return -1
	}
	a := available[rng.IntN(len(available))]
	b := available[rng.IntN(len(available))]
	if engines[b].OwnStreams < engines[a].OwnStreams {
		return b
	}
	return a
}

// New returns the chooser with the given name, or nil if there is none. The names are
// "predicted", "round-robin", "least-load" and "two-choices".
func New(name string) Chooser {
	switch name {
	case "predicted":
		return PredictedLoad{}
	case "round-robin":
		return &RoundRobin{}
	case "least-load":
		return LeastLoad{}
	case "two-choices":
		return TwoChoices{}
	default:
		return nil
	}
}
