package coord

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
)

func names(list []Limit) (out []ident.Workspace) {
	for _, l := range list {
		out = append(out, l.Workspace)
	}
	return out
}

// TestStatus guards against a status that shows other figures than those that decide, that
// changes what is decided, or that shows workspaces of a service in which none waits.
func TestStatus(t *testing.T) {
	demands := []demand{
		{workspace: "small", perSecond: 5, rank: 1, weight: pick.WeightUnit},
		{workspace: "middle", perSecond: 20, rank: 1, weight: pick.WeightUnit},
		{workspace: "large", perSecond: 180, rank: 1, weight: pick.WeightUnit},
	}
	t.Run("shares", func(t *testing.T) {
		r := newReplay(t)
		r.run(replayDuration, demands...)
		got := r.coordinator.Status("s", r.now)
		assert.Equal(t, got.Waiting, r.coordinator.QueueLen())
		assert.DeepEqual(t, r.coordinator.WaitingRuns(), map[ident.Service]int{"s": got.Waiting})
		assert.DeepEqual(t, names(got.Workspaces)[0], ident.Workspace("large"))
		assert.Assert(t, got.Workspaces[0].Limited)
		assert.DeepEqual(t, names(got.Borrowed), []ident.Workspace{"large"})
		assert.DeepEqual(t, names(got.Lent), []ident.Workspace{"small", "middle"})
		assert.Assert(t, got.Lent[0].Share < 0.15, "%+v", got.Lent[0])
		sq := r.coordinator.queues["s"]
		for _, l := range got.Workspaces {
			assert.DeepEqual(t, l, sq.limit(l.Workspace, l.Limited, r.now))
		}
	})
	t.Run("changes no decision", func(t *testing.T) {
		observed, other := newReplay(t), newReplay(t)
		for range 10 {
			observed.run(replayDuration/10, demands...)
			observed.coordinator.Status("s", observed.now)
			other.run(replayDuration/10, demands...)
		}
		for w, o := range observed.outcomes {
			assert.Equal(t, o.inTime, other.outcomes[w].inTime, "%s", w)
		}
	})
	t.Run("nothing waits", func(t *testing.T) {
		r := newReplay(t)
		r.run(replayDuration, demands[:2]...)
		assert.DeepEqual(t, r.coordinator.Status("s", r.now), QueueStatus{})
		assert.DeepEqual(t, r.coordinator.Status("other", r.now), QueueStatus{})
	})
}

// BenchmarkStatus measures how long the lock is held for a service with many workspaces.
func BenchmarkStatus(b *testing.B) {
	r := newReplay(&testing.T{})
	for i := range replayEngines {
		r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots, Tokens: 1 << 20})
	}
	for i := range uint64(4096) {
		run := queuedRun(ident.Workspace(fmt.Sprint("w", i)), 1, callTokens).Run
		run.EngineMemory, run.From, run.TargetWait, run.MaxWait = 1<<20, "a", targetWait, 2*targetWait
		r.coordinator.Submit(Request{VM: "vm", ID: i, Run: run}, func(Response) {}, r.now)
	}
	for b.Loop() {
		r.coordinator.copyQueues("s", r.now)
	}
}
