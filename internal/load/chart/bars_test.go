package chart

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBars(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.svg")
	groups := []string{"low", "high"}
	t.Run("written with its labels", func(t *testing.T) {
		assert.NilError(t, Bars(path, "Waiting", "ms", groups, []Series{{"one", []float64{1, 2}}, {"two", []float64{3, 4}}}))
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, word := range []string{"Waiting", "low", "high", "one", "two"} {
			assert.Assert(t, strings.Contains(string(data), word), word)
		}
	})
	t.Run("missing value", func(t *testing.T) {
		assert.ErrorContains(t, Bars(path, "", "", groups, []Series{{"one", []float64{1}}}), `series "one" has 1 values for 2 groups`)
	})
	t.Run("too many series", func(t *testing.T) {
		assert.ErrorContains(t, Bars(path, "", "", groups, make([]Series, 5)), "at most 4")
	})
}
