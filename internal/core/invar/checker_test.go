package invar

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestChecker(t *testing.T) {
	var reported []string
	b := &Checker{OnViolation: func(n Invariant, detail string) { reported = append(reported, n.String()+": "+detail) }}
	assert.Assert(t, b.Assert(NotRun, true, "unused"))
	assert.Assert(t, !b.Assert(NotRun, false, "request %d", 7))
	assert.Equal(t, b.Count(NotRun), uint64(1))
	assert.Equal(t, b.Total(), uint64(1))
	assert.DeepEqual(t, reported, []string{"not-run: request 7"})
}
