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

// Order is one request to send.
type Order struct {
	At         time.Duration // since the start of the run
	Workspace  string
	Service    string
	Plain      bool
	Urgent     bool
	Stream     bool
	AtMostOnce bool
	Keyed      bool
	Want       prompt.Order
}

// Mix says what a run sends.
type Mix struct {
	Rate     float64 // requests a second, by a Poisson process
	Requests int     // how many; zero: until Duration
	Duration time.Duration
	Longest  int     // most tokens of a generation
	Plain    float64 // share of plain calls
	Urgent   float64 // share of short urgent generations
}

// DefaultMix is a mixture of all kinds.
func DefaultMix() Mix {
	return Mix{Rate: 40, Requests: 300, Longest: 1500, Plain: 0.3, Urgent: 0.3}
}

const (
	medianLong  = 120.0
	spreadLong  = 0.9
	shortTokens = 12
)

// Orders draws the requests of a run from the seed.
func (m Mix) Orders(seed uint64) []Order {
	rng := rand.New(rand.NewPCG(seed, 10))
	var out []Order
	at := time.Duration(0)
	for i := 0; m.Requests == 0 || i < m.Requests; i++ {
		at += time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second))
		if m.Duration > 0 && at > m.Duration {
			break
		}
		o := m.draw(rng)
		o.At = at
		o.Want.Seed = rng.Uint64()
		o.Want.Tag = fmt.Sprintf("s%d-%d", seed, i)
		out = append(out, o)
	}
	return out
}

func (m Mix) draw(rng *rand.Rand) Order {
	o := Order{Workspace: plan.Installers}
	if rng.IntN(2) == 0 {
		o.Workspace = plan.Faultdesk
	}
	kind := rng.Float64()
	switch {
	case kind < m.Plain/2:
		o.Plain, o.Service = true, plan.Lookups
	case kind < m.Plain:
		o.Plain, o.Service, o.AtMostOnce = true, plan.Bookings, true
		o.Keyed = rng.IntN(4) > 0
	case kind < m.Plain+m.Urgent:
		o.Service, o.Urgent, o.Stream = plan.Questions, true, rng.IntN(2) == 0
		o.Want.Tokens = 1 + rng.IntN(shortTokens)
	case o.Workspace == plan.Faultdesk && rng.IntN(4) == 0:
		o.Service, o.AtMostOnce, o.Keyed = plan.Triage, true, true
		o.Want.Tokens = 1 + rng.IntN(shortTokens)
	default:
		o.Service, o.Stream = plan.Proposals, rng.IntN(3) > 0
		o.Want.Tokens = m.long(rng)
	}
	return o
}

// long draws a log-normal length.
func (m Mix) long(rng *rand.Rand) int {
	n := int(medianLong * math.Exp(spreadLong*rng.NormFloat64()))
	return max(1, min(n, m.Longest))
}

// newKey makes an idempotency key as a caller would at the time of the call.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }
