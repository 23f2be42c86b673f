package invar

import (
	"fmt"
	"sync/atomic"
)

// Name identifies one invariant.
type Name uint8

// The invariants of the brief.
const (
	TokenOrder    Name = iota // a token was relayed out of order or twice
	OneGeneration             // tokens of two generations met in one answer
	OneOutcome                // a request ended in no outcome or in two
	NotRun                    // a refusal said "not run" of a started run
	AtMostOnce                // a non-idempotent call was written twice
	NoReversion               // an older version of a setting was applied
	LeavingServer             // new work was sent to a leaving server
	CutOff                    // a VM ended while a request was open
	UrgentFirst               // another was seated while an urgent one waited
	OwnAnswer                 // a caller was given the answer to another's request
	names
)

var texts = [names]string{
	TokenOrder:    "token-order",
	OneGeneration: "one-generation",
	OneOutcome:    "one-outcome",
	NotRun:        "not-run",
	AtMostOnce:    "at-most-once",
	NoReversion:   "no-reversion",
	LeavingServer: "leaving-server",
	CutOff:        "cut-off",
	UrgentFirst:   "urgent-first",
	OwnAnswer:     "own-answer",
}

func (n Name) String() string { return texts[n] }

// All lists the invariants.
func All() []Name {
	out := make([]Name, 0, names)
	for n := range names {
		out = append(out, n)
	}
	return out
}

// Book counts violations. The zero value is ready for use.
type Book struct {
	counts [names]atomic.Uint64
	// Report, if set before first use, is called with each violation.
	Report func(n Name, detail string)
}

// Assert counts a violation of n unless ok holds, and returns ok.
func (b *Book) Assert(n Name, ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	b.counts[n].Add(1)
	if b.Report != nil {
		b.Report(n, fmt.Sprintf(format, args...))
	}
	return false
}

// Count returns the violations of n so far.
func (b *Book) Count(n Name) uint64 { return b.counts[n].Load() }

// Total returns the violations of all invariants so far.
func (b *Book) Total() uint64 {
	var sum uint64
	for n := range names {
		sum += b.Count(n)
	}
	return sum
}
