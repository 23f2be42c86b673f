package alloc

import (
	"testing"
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
