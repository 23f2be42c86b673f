package alloc

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

func TestTracker(t *testing.T) {
	now := time.Now()
	tracker := New()
	res := tracker.Reserve("e", Load{Calls: 1, Tokens: 100, Backlog: 50})
	tracker.UpdatePeer("vm", 1, 2, 0, map[ident.Server]Load{"e": {Calls: 2, Tokens: 10}}, now)
	assert.Equal(t, tracker.All(now)["e"], Load{Calls: 3, Tokens: 110, Backlog: 50})
	t.Run("late and outdated reports change nothing", func(t *testing.T) {
		tracker.UpdatePeer("vm", 1, 1, 0, nil, now)
		tracker.UpdatePeer("vm", 0, 9, 0, nil, now)
		assert.Equal(t, tracker.All(now)["e"].Calls, 3)
	})
	t.Run("a restarted VM replaces its earlier loads", func(t *testing.T) {
		tracker.UpdatePeer("vm", 2, 1, 0, map[ident.Server]Load{"e": {Calls: 1}}, now)
		assert.Equal(t, tracker.All(now)["e"].Calls, 2)
	})
	t.Run("a VM that stopped reporting is not counted", func(t *testing.T) {
		assert.Equal(t, tracker.All(now.Add(PeerTTL + 1))["e"].Calls, 1)
	})
	t.Run("a released reservation is removed once", func(t *testing.T) {
		changed := tracker.Changed()
		res.Resize(Load{Calls: 1, Tokens: 70})
		assert.Equal(t, tracker.Local()["e"], Load{Calls: 1, Tokens: 70})
		res.Release()
		res.Release()
		res.Resize(Load{Calls: 5})
		assert.Equal(t, len(tracker.Local()), 0)
		select {
		case <-changed:
		default:
			t.Fatal("the Changed channel is not closed")
		}
	})
}

// TestParts guards against loads of a report in several parts that are counted twice or not
// at all, because datagrams are repeated or overtake one another.
func TestParts(t *testing.T) {
	now := time.Now()
	first := map[ident.Server]Load{"a": {Calls: 1}}
	second := map[ident.Server]Load{"b": {Calls: 2}}
	third := map[ident.Server]Load{"b": {Calls: 4}, "c": {Calls: 3}}
	for name, order := range map[string][]int{
		"in order":                   {0, 1, 2},
		"the last part is repeated":  {0, 1, 2, 2, 2},
		"the first part comes late":  {1, 2, 0},
		"the first part is repeated": {0, 1, 0, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			tracker.UpdatePeer("vm", 1, 6, 0, map[ident.Server]Load{"old": {Calls: 9}}, now)
			for _, part := range order {
				loads := []map[ident.Server]Load{first, second, third}[part]
				tracker.UpdatePeer("vm", 1, 7, part, maps.Clone(loads), now)
			}
			assert.DeepEqual(t, tracker.All(now), map[ident.Server]Load{"a": {Calls: 1}, "b": {Calls: 6}, "c": {Calls: 3}})
			tracker.UpdatePeer("vm", 1, 8, 0, map[ident.Server]Load{}, now)
			assert.Equal(t, len(tracker.All(now)), 0, "replaced by the next report")
		})
	}
}

// TestFailures checks that a failed run counts for a limited time.
func TestFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New()
		tracker.RecordFailure("s")
		tracker.RecordFailure("s")
		assert.Equal(t, tracker.All(time.Now())["s"].Failures, 2)
		time.Sleep(FailureMemory + time.Millisecond)
		assert.Equal(t, tracker.All(time.Now())["s"].Failures, 0)
	})
}

// TestPaceSendsNoMessage guards against a message to the other VMs for each time per token that a
// stream measures.
func TestPaceSendsNoMessage(t *testing.T) {
	tracker := New()
	r := tracker.Reserve("e", Load{Calls: 1, Tokens: 100})
	<-tracker.Dirty()
	r.Resize(Load{Calls: 1, Tokens: 100, PaceRuns: 1, PaceMicros: 7000})
	assert.Equal(t, len(tracker.Dirty()), 0)
	assert.Equal(t, tracker.Load("e").PaceMicros, 7000)
	r.Resize(Load{Calls: 1, Tokens: 228, PaceRuns: 1, PaceMicros: 7000})
	assert.Equal(t, len(tracker.Dirty()), 1)
}
