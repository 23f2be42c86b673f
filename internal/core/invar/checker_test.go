package invar

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestChecker(t *testing.T) {
	var reported []string
	c := &Checker{OnViolation: func(n Invariant, detail string) { reported = append(reported, n.String()+": "+detail) }}
	assert.Assert(t, c.Assert(NotRun, true, "unused"))
	assert.Assert(t, !c.Assert(NotRun, false, "request %d", 7))
	assert.Equal(t, c.Count(NotRun), uint64(1))
	assert.Equal(t, c.Total(), uint64(1))
	assert.DeepEqual(t, reported, []string{"not-run: request 7"})
}
