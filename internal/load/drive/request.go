package drive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"umberladder/internal/fake/prompt"
	"umberladder/internal/load/plan"
)

// Request is one request to send to the VMs.
type Request struct {
	At         time.Duration // send time, from the start of the run
	Workspace  string
	Service    string
	Plain      bool
	Urgent     bool
	Stream     bool
	AtMostOnce bool
	Keyed      bool
	Spec       prompt.Spec
}

// Mix describes the requests of a run.
type Mix struct {
	Rate      float64 // requests per second, arriving as a Poisson process
	Requests  int     // number of requests; zero: as many as fit in Duration
	Duration  time.Duration
	MaxTokens int     // upper bound on the tokens of a generation
	Plain     float64 // fraction of plain calls
	Urgent    float64 // fraction of short urgent generations
}

// DefaultMix returns a mix that contains every kind of request.
func DefaultMix() Mix {
	return Mix{Rate: 40, Requests: 300, MaxTokens: 1500, Plain: 0.3, Urgent: 0.3}
}

const (
	longMedian     = 120.0 // tokens of a long generation
	longSigma      = 0.9   // standard deviation of the logarithm of the length
	maxShortTokens = 12
)

// Schedule draws the requests of a run, with their send times, from the seed.
func (m Mix) Schedule(seed uint64) []Request {
	rng := rand.New(rand.NewPCG(seed, 10))
	var out []Request
	offset := time.Duration(0)
	for i := 0; m.Requests == 0 || i < m.Requests; i++ {
		offset += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
		if m.Duration > 0 && offset > m.Duration {
			break
		}
		r := m.draw(rng)
		r.At = offset
		r.Spec.Seed = rng.Uint64()
		r.Spec.Tag = fmt.Sprintf("s%d-%d", seed, i)
		out = append(out, r)
	}
	return out
}

func (m Mix) draw(rng *rand.Rand) Request {
	r := Request{Workspace: plan.Installers}
	if rng.IntN(2) == 0 {
		r.Workspace = plan.FaultDesk
	}
	kind := rng.Float64()
	switch {
	case kind < m.Plain/2:
		r.Plain, r.Service = true, plan.Lookups
	case kind < m.Plain:
		r.Plain, r.Service, r.AtMostOnce = true, plan.Bookings, true
		r.Keyed = rng.IntN(4) > 0
	case kind < m.Plain+m.Urgent:
		r.Service, r.Urgent, r.Stream = plan.Questions, true, rng.IntN(2) == 0
		r.Spec.Tokens = 1 + rng.IntN(maxShortTokens)
	case r.Workspace == plan.FaultDesk && rng.IntN(4) == 0:
		r.Service, r.AtMostOnce, r.Keyed = plan.Triage, true, true
		r.Spec.Tokens = 1 + rng.IntN(maxShortTokens)
	default:
		r.Service, r.Stream = plan.Proposals, rng.IntN(3) > 0
		r.Spec.Tokens = m.drawLength(rng)
	}
	return r
}

// drawLength draws the length of a long generation, in tokens, from a log-normal
// distribution that is cut off at MaxTokens.
func (m Mix) drawLength(rng *rand.Rand) int {
	n := int(longMedian * math.Exp(longSigma*rng.NormFloat64()))
	return max(1, min(n, m.MaxTokens))
}

// newKey returns a new UUIDv7, which contains the time of the call, as
// idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
