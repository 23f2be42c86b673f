package invar

import (
	"fmt"
	"sync/atomic"
)

// Invariant identifies an invariant.
type Invariant uint8

// The invariants, each with its violation.
const (
	TokenOrder    Invariant = iota // a token was relayed out of order or twice
	OneGeneration                  // a response contained tokens of two generations
	OneOutcome                     // a request ended with no outcome or with two
	NotRun                         // a refusal said "not run" of a request that had started
	AtMostOnce                     // a non-idempotent call was sent twice
	NoReversion                    // an older version of a setting was applied
	RetiredServer                  // a new call was sent to a retired server
	CutOff                         // a VM stopped while a request was open
	UrgentFirst                    // another request was placed while an urgent one waited
	OwnResponse                    // a client received the response to another client's request
	numInvariants
)

var invariantNames = [numInvariants]string{
	TokenOrder:    "token-order",
	OneGeneration: "one-generation",
	OneOutcome:    "one-outcome",
	NotRun:        "not-run",
	AtMostOnce:    "at-most-once",
	NoReversion:   "no-reversion",
	RetiredServer: "leaving-server",
	CutOff:        "cut-off",
	UrgentFirst:   "urgent-first",
	OwnResponse:   "own-answer",
}

func (n Invariant) String() string { return invariantNames[n] }

// All returns all invariants.
func All() []Invariant {
	out := make([]Invariant, 0, numInvariants)
	for n := range numInvariants {
		out = append(out, n)
	}
	return out
}

// Checker counts violations. Its zero value is ready for use.
type Checker struct {
	counts [numInvariants]atomic.Uint64
	// OnViolation is called for each violation. It must be set before first use, and may be
	// nil.
	OnViolation func(n Invariant, detail string)
}

// Assert counts a violation of n unless ok holds, and returns ok.
func (c *Checker) Assert(n Invariant, ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	c.counts[n].Add(1)
	if c.OnViolation != nil {
		c.OnViolation(n, fmt.Sprintf(format, args...))
	}
	return false
}

// Count returns the number of violations of n.
func (c *Checker) Count(n Invariant) uint64 { return c.counts[n].Load() }

// Total returns the number of violations of all invariants.
func (c *Checker) Total() uint64 {
	var sum uint64
	for n := range numInvariants {
		sum += c.Count(n)
	}
	return sum
}
