package assign

import "math/rand/v2"

const (
	// MaxCallFill is the fraction of an engine's memory that streams may occupy, counting
	// both the tokens that they hold and those that they will need soon.
	MaxCallFill = 1.0
	// MaxCopyFill is the fraction up to which KV cache copies, kept in case an engine is
	// lost, may fill an engine's memory. Without the remainder, new streams wait at the
	// engines.
	MaxCopyFill = 0.7
	// maxFillWithoutNotice is the fill of all of a service's engines together below which
	// KV cache copies are kept if engines have been lost without notice. Where calls wait,
	// each copy takes the memory of a call.
	maxFillWithoutNotice = 0.6
	// maxFillWithNotice is the same fill if engines give notice before they end. Their
	// streams need no copies, and copies take the memory that streams need when they are
	// migrated from an engine that ends.
	maxFillWithNotice = 0.3
	// maxPrefillBacklog is the largest prefill backlog, in prompt tokens, with which an
	// engine may get a call that needs prefill. It takes half a second to process. Without
	// the limit, a new engine would get all waiting calls, and the last would start late.
	maxPrefillBacklog = 3500
	// CrossDomainCallCost is the cost of sending a call to another failure domain, which
	// uses network bandwidth and adds a millisecond of latency. It is lower than the cost
	// of one more stream in the call's batch.
	CrossDomainCallCost = 0.08
	// inFlightWeight and backlogWeight are weights in the cost of an engine. A full batch
	// doubles the duration of a decode step, and prefill delays the other streams of the
	// batch.
	inFlightWeight = 0.5
	backlogWeight  = 3.0
	// CrossDomainCopyCost is the cost of sending a KV cache copy to another failure
	// domain, which takes twice as long. Time matters because all copies of an engine must
	// arrive within its notice period.
	CrossDomainCopyCost = 0.6
	// incomingCopyWeight is the cost of each KV cache in transfer to an engine. The next
	// transfer has to wait for it.
	incomingCopyWeight = 0.25
	// jitterWeight scales a random cost, so that VMs with the same load information choose
	// different engines.
	jitterWeight = 0.02
)

// Server is the state of one server at the time of a choice.
type Server struct {
	Slots          int     // maximum number of concurrent calls
	NeedsPrefill   bool    // the new call's prompt needs prefill
	Memory         int     // in tokens; zero for a plain server
	InFlight       int     // calls in flight
	ReservedTokens int     // memory reserved for the calls in flight
	PrefillBacklog int     // prompt tokens that await prefill before the new call's
	IncomingCopies int     // KV caches in transfer to it; zero if the choice does not depend on them
	CrossDomain    bool    // in another failure domain than the sender of the call or the KV cache
	Weight         float64 // fraction of its normal load that it should get, 0 to 1
	Skip           bool    // must not be chosen

	Pace Pace // speed of an engine
}

// MaxServiceFillForCopies returns the fill of all of a service's engines together below
// which KV cache copies are kept. lossWithoutNotice says whether engines have been lost
// without notice.
func MaxServiceFillForCopies(lossWithoutNotice bool) float64 {
	if lossWithoutNotice {
		return maxFillWithoutNotice
	}
	return maxFillWithNotice
}

// FailureWeight returns the weight of an engine at which the given number of runs have
// recently failed, at any VM. An idle engine with two failures costs as much as one that is
// nearly full.
func FailureWeight(failures int) float64 {
	n := float64(1 + max(failures, 0))
	return 1 / (n * n)
}

// NewRand returns a random number generator for one choice.
func NewRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// ChooseEngine returns the index of the engine with the lowest cost for a run, or -1 if none has
// capacity. It fills an engine's memory up to the fraction maxFill. An engine in another failure
// domain costs crossDomainCost more.
func ChooseEngine(run *Run, maxFill, crossDomainCost float64, servers []Server, rng *rand.Rand) int {
	best, cost := -1, 0.0
	for i := range servers {
		s := &servers[i]
		if s.Skip || !s.HasCapacity(run.Required, maxFill) {
			continue
		}
		if c := s.cost(run, crossDomainCost) + s.jitterWeight(run)*rng.Float64(); best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}

// HasCapacity reports whether an engine can take a generation that requires the given
// number of tokens of memory, which fills at most the fraction maxFill of its memory.
func (s *Server) HasCapacity(required int, maxFill float64) bool {
	if s.NeedsPrefill && s.PrefillBacklog > maxPrefillBacklog {
		return false
	}
	return s.InFlight < s.Slots && float64(s.ReservedTokens+required) <= maxFill*float64(s.Memory)
}

func (s *Server) cost(run *Run, crossDomainCost float64) float64 {
	var c float64
	if run.isShort() {
		c = s.shortCost(run)
	} else {
		c = s.fillCost(run.Required) + s.timeCost(run)
	}
	c += s.gapCost(run)
	if s.CrossDomain {
		c += crossDomainCost
	}
	return c / max(s.Weight, 0.05)
}

// fillCost returns the cost of the server by how full it is.
func (s *Server) fillCost(required int) float64 {
	return float64(s.ReservedTokens+required)/float64(s.Memory) +
		inFlightWeight*float64(s.InFlight)/float64(s.Slots) +
		backlogWeight*float64(s.PrefillBacklog)/float64(s.Memory) +
		incomingCopyWeight*float64(s.IncomingCopies)
}

// ChoosePlain returns the index of the plain server with the lowest fraction of its slots
// in use, relative to its weight, or -1 if there is none. A server in another failure
// domain costs as much as one more call in flight.
func ChoosePlain(servers []Server, rng *rand.Rand) int {
	best, cost := -1, 0.0
	for i := range servers {
		s := &servers[i]
		if s.Skip {
			continue
		}
		c := (float64(s.InFlight)+1)/float64(max(s.Slots, 1))/max(s.Weight, 0.05) + jitterWeight*rng.Float64()
		if s.CrossDomain {
			c += 1 / float64(max(s.Slots, 1))
		}
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}
