package token

import "umberladder/internal/core/ident"

// Verdict says what to do with a token.
type Verdict uint8

// The verdicts on a token.
const (
	Accept  Verdict = iota // the next token: relay it
	Repeat                 // seen before: drop it
	Gap                    // tokens are missing: resume at Next
	Foreign                // another generation: a fault of the server
)

func (v Verdict) String() string {
	return [...]string{"accept", "repeat", "gap", "foreign"}[v]
}

// Cursor holds the position in one generation. Next never decreases, and
// every index below Next was accepted exactly once.
type Cursor struct {
	generation ident.Generation
	next       uint64
}

// New returns a cursor at the token of index next of generation g.
func New(g ident.Generation, next uint64) *Cursor {
	return &Cursor{generation: g, next: next}
}

// Generation returns the generation the cursor follows.
func (c *Cursor) Generation() ident.Generation { return c.generation }

// Next returns the index of the only token that would be accepted.
func (c *Cursor) Next() uint64 { return c.next }

// Offer judges the token with the given index and moves past it if accepted.
func (c *Cursor) Offer(g ident.Generation, index uint64) Verdict {
	switch {
	case g != c.generation:
		return Foreign
	case index < c.next:
		return Repeat
	case index > c.next:
		return Gap
	}
	c.next++
	return Accept
}
