package token

import "umberladder/internal/core/ident"

// Decision says what to do with a token.
type Decision uint8

// The decisions.
const (
	Accept          Decision = iota // the next token: relay it
	Duplicate                       // already accepted: drop it
	Gap                             // tokens are missing: resume at Next
	WrongGeneration                 // from another generation, which is an error of the server
)

func (d Decision) String() string {
	return [...]string{"accept", "repeat", "gap", "foreign"}[d]
}

// Cursor is the position in one generation. It never moves backwards, and every token with
// an index below Next was accepted exactly once.
type Cursor struct {
	generation ident.Generation
	next       uint64
}

// New returns a cursor at index next of generation g.
func New(g ident.Generation, next uint64) *Cursor {
	return &Cursor{generation: g, next: next}
}

// Generation returns the cursor's generation.
func (c *Cursor) Generation() ident.Generation { return c.generation }

// Next returns the index of the only token that would be accepted.
func (c *Cursor) Next() uint64 { return c.next }

// Offer returns the decision on the token with the given index, and advances the cursor if the
// token is accepted.
func (c *Cursor) Offer(g ident.Generation, index uint64) Decision {
	switch {
	case g != c.generation:
		return WrongGeneration
	case index < c.next:
		return Duplicate
	case index > c.next:
		return Gap
	}
	c.next++
	return Accept
}
