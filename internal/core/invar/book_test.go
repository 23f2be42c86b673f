package invar

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestBook(t *testing.T) {
	var told []string
	b := &Book{Report: func(n Name, detail string) { told = append(told, n.String()+": "+detail) }}
	assert.Assert(t, b.Assert(NotRun, true, "unused"))
	assert.Assert(t, !b.Assert(NotRun, false, "request %d", 7))
	assert.Equal(t, b.Count(NotRun), uint64(1))
	assert.Equal(t, b.Total(), uint64(1))
	assert.DeepEqual(t, told, []string{"not-run: request 7"})
}
