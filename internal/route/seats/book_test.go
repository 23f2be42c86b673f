package seats

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

func TestBook(t *testing.T) {
	now := time.Now()
	b := New()
	s := b.Take("e", Load{Seats: 1, Tokens: 100, Backlog: 50})
	b.Hear("vm", 1, 2, 0, map[ident.Server]Load{"e": {Seats: 2, Tokens: 10}}, now)
	assert.Equal(t, b.All(now)["e"], Load{Seats: 3, Tokens: 110, Backlog: 50})
	t.Run("late and old messages change nothing", func(t *testing.T) {
		b.Hear("vm", 1, 1, 0, nil, now)
		b.Hear("vm", 0, 9, 0, nil, now)
		assert.Equal(t, b.All(now)["e"].Seats, 3)
	})
	t.Run("a restarted VM begins anew", func(t *testing.T) {
		b.Hear("vm", 2, 1, 0, map[ident.Server]Load{"e": {Seats: 1}}, now)
		assert.Equal(t, b.All(now)["e"].Seats, 2)
	})
	t.Run("a silent VM counts no more", func(t *testing.T) {
		assert.Equal(t, b.All(now.Add(PeerTTL + 1))["e"].Seats, 1)
	})
	t.Run("what is given back is gone, once", func(t *testing.T) {
		changed := b.Changed()
		s.Resize(Load{Seats: 1, Tokens: 70})
		assert.Equal(t, b.Own()["e"], Load{Seats: 1, Tokens: 70})
		s.Release()
		s.Release()
		s.Resize(Load{Seats: 5})
		assert.Equal(t, len(b.Own()), 0)
		select {
		case <-changed:
		default:
			t.Fatal("those who wait for room are not told")
		}
	})
}
