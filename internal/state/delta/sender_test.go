package delta

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/state/follow"
)

// fakeSource has one change per revision from 1 to 9.
type fakeSource struct{}

func (fakeSource) RecentChanges(now time.Time) (follow.Update, bool) {
	return fakeSource{}.ChangesSince(0, now)
}

func (fakeSource) ChangesSince(rev follow.Revision, _ time.Time) (follow.Update, bool) {
	u := follow.Update{Base: rev, Rev: 9}
	for r := rev + 1; r <= u.Rev; r++ {
		u.Changes = append(u.Changes, follow.Change{Rev: r})
	}
	return u, true
}

func TestSender(t *testing.T) {
	now := time.Now()
	assertBase := func(t *testing.T, u *follow.Update, compact bool, want follow.Revision) {
		t.Helper()
		assert.Assert(t, u != nil && compact)
		assert.Equal(t, u.Base, want)
	}
	t.Run("a VM is sent what it lacks", func(t *testing.T) {
		s := NewSender(fakeSource{})
		s.Record("a", 4, now)
		u, compact := s.Missing("a", now)
		assertBase(t, u, compact, 4)
		u, compact = s.Missing("a", now)
		assertBase(t, u, compact, 4)
	})
	t.Run("announcements repeat nothing until the VM reports less", func(t *testing.T) {
		s := NewSender(fakeSource{})
		s.Record("a", 4, now)
		u, compact := s.New("a", now)
		assertBase(t, u, compact, 4)
		u, compact = s.New("a", now)
		assertBase(t, u, compact, 9)
		s.Record("a", 4, now)
		u, compact = s.Missing("a", now)
		assertBase(t, u, compact, 4)
	})
	t.Run("a VM without servers is sent none", func(t *testing.T) {
		s := NewSender(fakeSource{})
		s.Record("a", 0, now)
		u, _ := s.Missing("a", now)
		assert.Assert(t, u == nil)
	})
	t.Run("a VM that reports no revision is sent all recent changes", func(t *testing.T) {
		u, compact := NewSender(fakeSource{}).Missing("a", now)
		assert.Assert(t, u != nil && !compact)
		assert.Equal(t, len(u.Changes), 9)
	})
	t.Run("VMs that are gone are forgotten", func(t *testing.T) {
		s := NewSender(fakeSource{})
		s.Record("a", 4, now)
		s.Record("b", 4, now.Add(2*peerTTL))
		assert.Equal(t, len(s.peers), 1)
	})
}
