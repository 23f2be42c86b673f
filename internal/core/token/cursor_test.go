package token

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

// TestCursor guards against accepting tokens out of order, twice or from another
// generation: the accepted indexes must be 0, 1, 2 and so on.
func TestCursor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New("g", 0)
		var accepted []uint64
		for range rapid.IntRange(0, 200).Draw(t, "offers") {
			g := ident.Generation(rapid.SampledFrom([]string{"g", "g", "g", "other"}).Draw(t, "generation"))
			i := rapid.Uint64Range(0, c.Next()+2).Draw(t, "index")
			switch d := c.Offer(g, i); {
			case d == Accept:
				accepted = append(accepted, i)
			case g != "g":
				assert.Equal(t, d, WrongGeneration)
			case i < uint64(len(accepted)):
				assert.Equal(t, d, Duplicate)
			default:
				assert.Equal(t, d, Gap)
			}
		}
		for i, got := range accepted {
			assert.Equal(t, got, uint64(i))
		}
		assert.Equal(t, c.Next(), uint64(len(accepted)))
	})
}
