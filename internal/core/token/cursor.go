package token

import "umberladder/internal/core/ident"

// Verdict says what to do with a token.
type Verdict uint8

// The verdicts.
const (
	Accept          Verdict = iota // the next token: relay it
	Duplicate                      // already accepted: drop it
	Gap                            // tokens are missing: resume at Next
	WrongGeneration                // from another generation: an error of the server
)

func (v Verdict) String() string {
	return [...]string{"accept", "repeat", "gap", "foreign"}[v]
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

// Offer returns the verdict on the token with the given index, and advances the cursor if the
// token is accepted.
func (c *Cursor) Offer(g ident.Generation, index uint64) Verdict {
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
