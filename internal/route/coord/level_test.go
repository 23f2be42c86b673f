package coord

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/pick"
)

// queuedRun returns a request of a workspace that states its share.
func queuedRun(w ident.Workspace, rank, need int) *request {
	return &request{Request: Request{Run: pick.Request{Service: "s", Workspace: w, Weight: weightUnit, Rank: rank, Need: need}}, lastSeen: epoch}
}

// TestOwedToLargeCalls guards against calls that get nothing while rank 0 waits because each of
// them costs many times as much as a call of rank 0.
func TestOwedToLargeCalls(t *testing.T) {
	l := newLevelQueue()
	granted := map[int]int{}
	push := func(rank, need int) { l.push(queuedRun("a", rank, need), time.Second, epoch) }
	push(0, 150)
	push(5, 3_800)
	for range 2_000 {
		r := l.first()
		granted[r.Run.Rank] += r.Run.Need
		l.remove(r, true, epoch)
		push(r.Run.Rank, r.Run.Need)
	}
	part := float64(granted[5]) / float64(granted[0]+granted[5])
	assert.Assert(t, part >= 0.24 && part <= 0.26, "%.3f of the tokens", part)
}

// TestOwedIsKept guards against a small call of rank 0 that cuts what the others are owed for
// large ones.
func TestOwedIsKept(t *testing.T) {
	l := newLevelQueue()
	l.push(queuedRun("a", 5, 100), time.Second, epoch)
	grant := func(need int) {
		r := queuedRun("a", 0, need)
		l.push(r, time.Second, epoch)
		l.remove(r, true, epoch)
	}
	grant(30_000)
	grant(10)
	assert.Assert(t, l.owed >= 10_000, "%.0f", l.owed)
}
