package pace

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSpeeds guards against a status that shows other speeds than those by which runs are placed,
// or that changes them.
func TestSpeeds(t *testing.T) {
	r := newReporter()
	r.report(4*time.Second, step, step, step, step*5/3)
	r.report(3*time.Second, step, step, step, 0)
	before := *r.table.services[name].engines["3"]
	got, median := r.table.Speeds(name, r.now)
	assert.Equal(t, *r.table.services[name].engines["3"], before)
	assert.Equal(t, median, step)
	assert.Equal(t, len(got), 4)
	i := slices.IndexFunc(got, func(s Speed) bool { return s.Server == "3" })
	assert.Assert(t, got[i].Slow)
	assert.Equal(t, got[i].PerToken, r.perToken(3))
	got, median = r.table.Speeds(name, r.now.Add(retention+time.Second))
	assert.Equal(t, len(got), 0)
	assert.Equal(t, median, step)
}
