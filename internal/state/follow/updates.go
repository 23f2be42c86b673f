package follow

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

const (
	// changeRetention is how long a change is sent to other VMs. It tolerates the loss of
	// three messages to each VM.
	changeRetention = 2 * time.Second
	// maxChanges bounds the changes in one message, so that it fits into a datagram:
	// 60 KB hold 250 entries of 240 bytes.
	maxChanges = 250
	// maxLogged is how many changes of one update from another VM are logged one by one. The
	// VMs that watch the store log all of them.
	maxLogged = 8
	// sharedTime is how long an update is reused for VMs that lack the same changes.
	sharedTime = 50 * time.Millisecond
	// gapTimeout is how long changes that one VM can't send may take to arrive from another
	// one. It covers a report to all hubs.
	gapTimeout = 600 * time.Millisecond
	// relayTime is how long after an update from another VM a VM that can't reach the
	// store still sends updates itself.
	relayTime = time.Second
)

// Change is one change of a server's entry.
type Change struct {
	Rev   Revision
	Entry srvtab.Entry // only the ID, without the start time, if Gone
	Gone  bool
	Grace time.Duration // time until the server counts as gone if its entry expired in an outage; zero: not expired
}

// goneAt returns the time at which a server with a removed entry counts as gone. That is
// graceEnd if the change has no grace period of its own.
func (c *Change) goneAt(graceEnd, now time.Time) time.Time {
	if c.Grace > 0 {
		return now.Add(c.Grace)
	}
	return graceEnd
}

// Update holds the changes in a range of revisions, for VMs that do not watch the store.
type Update struct {
	Base    Revision      // the receiving VM must know this revision or a later one
	Rev     Revision      // the changes are complete up to this revision
	Age     time.Duration // since the store last confirmed that Rev is its latest revision
	Changes []Change      // in the order of their revisions
	More    bool          // the sender has later changes, left out for lack of space
	// Unseen is a revision up to which servers may have come and gone without a change in the
	// update, because its sender had read only the list at that revision. Zero: there is none.
	Unseen Revision
	// History and Past are what the sender knows of earlier versions of the servers' software and of
	// earlier settings. Only complete lists have them.
	History srvtab.History
	Past    []routes.PathPast
}

// timedChange is a change and the time at which this VM learned of it.
type timedChange struct {
	Change
	at time.Time
}

// RecentChanges returns the latest changes as an update for other VMs, at most maxChanges.
// It returns false if this VM receives changes neither from the store nor from other VMs.
func (s *ServerFollower) RecentChanges(now time.Time) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.canSend(now) {
		return Update{}, false
	}
	s.prune(now)
	return s.updateFrom(max(len(s.recent)-maxChanges, 0), now), true
}

// ChangesSince returns the changes after a revision as an update for a VM that knows that
// revision. If they exceed maxChanges, the update has the first of them. If this VM no
// longer has all of them, the update begins later. The caller must not modify the changes.
// ChangesSince returns false in the same cases as RecentChanges.
func (s *ServerFollower) ChangesSince(rev Revision, now time.Time) (Update, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.canSend(now) {
		return Update{}, false
	}
	s.prune(now)
	from := sort.Search(len(s.recent), func(i int) bool { return s.recent[i].Rev > rev })
	if from == len(s.recent) {
		return s.updateFrom(from, now), true
	}
	if s.sharedRev != s.rev || now.Sub(s.sharedAt) > sharedTime {
		clear(s.shared)
		s.sharedRev, s.sharedAt = s.rev, now
	}
	u, ok := s.shared[s.revBefore(from)]
	if !ok {
		u = s.cut(from, now)
		s.shared[u.Base] = u
	}
	u.Age += now.Sub(s.sharedAt)
	return u, true
}

// canSend reports whether this VM receives changes, so that it can send them.
func (s *ServerFollower) canSend(now time.Time) bool {
	return s.rev != 0 && (!s.storeDown || now.Sub(s.lastUpdate) <= relayTime)
}

// revBefore returns the revision up to which all changes before recent[i] are complete.
func (s *ServerFollower) revBefore(i int) Revision {
	if i == 0 {
		return s.base
	}
	return s.recent[i-1].Rev
}

// updateFrom returns an update with all changes from recent[from].
func (s *ServerFollower) updateFrom(from int, now time.Time) Update {
	u := Update{Base: s.revBefore(from), Rev: s.rev, Age: s.age()}
	if s.unseen > u.Base {
		u.Unseen = s.unseen
	}
	for _, c := range s.recent[from:] {
		if c.Grace > 0 {
			c.Grace = max(c.Grace-now.Sub(c.at), 1)
		}
		c.Entry.Cold = max(c.Entry.Cold-now.Sub(c.at), 0)
		u.Changes = append(u.Changes, c.Change)
	}
	return u
}

// cut returns an update with the first maxChanges changes from recent[from]. Changes with
// the same revision stay together; if there are too many of them, the update begins after
// them.
func (s *ServerFollower) cut(from int, now time.Time) Update {
	end := from + maxChanges
	if end >= len(s.recent) {
		return s.updateFrom(from, now)
	}
	for end > from && s.recent[end-1].Rev == s.recent[end].Rev {
		end--
	}
	if end == from {
		return s.updateFrom(len(s.recent)-maxChanges, now)
	}
	u := s.updateFrom(from, now)
	u.Changes, u.Rev, u.More = u.Changes[:end-from], s.recent[end-1].Rev, true
	u.Age = max(u.Age, now.Sub(s.recent[end].at))
	return u
}

// prune removes the changes that are older than changeRetention, and those beyond the
// number of servers, for which the complete list takes less space.
func (s *ServerFollower) prune(now time.Time) {
	limit := max(maxChanges, s.table.View().Len())
	old := 0
	for old < len(s.recent) && (now.Sub(s.recent[old].at) > changeRetention || len(s.recent)-old > limit) {
		s.base = s.recent[old].Rev
		old++
	}
	s.recent = s.recent[old:]
}

// ApplyUpdate applies an update from another VM. If there is a gap before the update that
// no other update closes within gapTimeout, everything is read again.
func (s *ServerFollower) ApplyUpdate(u Update, now time.Time) {
	if s.applyRemote(u, now) {
		s.onChange()
	}
}

// applyRemote applies an update from another VM and reports whether servers retire by it.
func (s *ServerFollower) applyRemote(u Update, now time.Time) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	retired := false
	if s.missesServers(u) {
		s.recordGap(u.Rev, now)
	}
	changes := s.selectNew(u, now)
	s.table.Batch(func() {
		for i, c := range changes {
			log := s.log
			if i >= maxLogged {
				log = zap.NewNop()
			}
			s.applyChange(&c, time.Time{}, log) // the sender has set Grace if there was an outage
			retired = retired || c.Gone || c.Entry.Draining
		}
	})
	if n := len(changes) - maxLogged; n > 0 {
		s.log.Info("more servers changed", zap.Int("servers", n), zap.Uint64("revision", uint64(u.Rev)))
	}
	return retired
}

// missesServers reports whether servers may have come and gone between the known revision and that
// of u, unseen by its sender. It then records this for the VMs to which the changes are forwarded.
func (s *ServerFollower) missesServers(u Update) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev == 0 || u.Rev < s.rev || u.Base > s.rev || u.Unseen <= s.rev {
		return false
	}
	s.unseen = u.Unseen
	return true
}

// selectNew returns the unknown changes of u and records them as known. They are also
// forwarded, for VMs that do not receive updates from the sender of u.
func (s *ServerFollower) selectNew(u Update, now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev == 0 || u.Rev < s.rev {
		return nil
	}
	if u.Base > s.rev {
		s.recordMissing(u.Base, now)
		return nil
	}
	s.prune(now)
	var out []Change
	for _, c := range u.Changes {
		if c.Rev > s.rev {
			out = append(out, c)
			s.recent = append(s.recent, timedChange{Change: c, at: now})
		}
	}
	s.rev = u.Rev
	s.confirmed = max(s.confirmed, s.clock().Add(-u.Age))
	if u.Age < relayTime {
		s.lastUpdate = now
	}
	return out
}

func (s *ServerFollower) record(c Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, timedChange{Change: c, at: now})
}

// recordAll records the changes found by reading the complete list, so that VMs that
// receive updates need not request the list.
func (s *ServerFollower) recordAll(rev Revision, changed []srvtab.Entry, missing []ident.Server, graceEnd, now time.Time) {
	for _, e := range changed {
		s.recent = append(s.recent, timedChange{Change: Change{Rev: rev, Entry: e}, at: now})
	}
	for _, id := range missing {
		gone := Change{Rev: rev, Gone: true, Entry: srvtab.Entry{ID: ident.NewServer(id.Name(), time.Time{})}, Grace: max(graceEnd.Sub(now), 0)}
		s.recent = append(s.recent, timedChange{Change: gone, at: now})
	}
}

// recordMissing records that another VM sends changes only from a later revision than this VM
// knows. VMs that have just copied the list can't send earlier changes, but others can.
func (s *ServerFollower) recordMissing(end Revision, now time.Time) {
	s.latest = max(s.latest, end)
	if s.rev >= s.gapEnd {
		s.gapSince, s.gapEnd = now, end
	}
}

// lacksServers reports whether this VM must copy or read the list of servers, because it
// knows none or no VM has sent the changes in a gap.
func (s *ServerFollower) lacksServers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev < s.gapEnd && time.Since(s.gapSince) > gapTimeout {
		s.rev, s.lastRev, s.gapEnd = 0, s.rev, 0
	}
	return s.rev == 0
}

// Snapshot returns all servers as an update for a VM that knows none. It returns false if
// this VM's data is incomplete.
func (s *ServerFollower) Snapshot() (Update, bool) {
	s.mu.Lock()
	rev, age := s.rev, s.age()
	s.mu.Unlock()
	if rev == 0 {
		return Update{}, false
	}
	// The table calls this follower while holding its own lock, so mu must not be held
	// here. Changes later than rev may be included already and are sent again later.
	u := Update{Rev: rev, Age: age}
	now := time.Now()
	grace := s.table.RemainingGrace(now)
	view := s.table.View()
	u.History = view.History(now)
	for _, e := range view.All() {
		u.Changes = append(u.Changes, Change{Rev: rev, Entry: e, Grace: grace[e.ID]})
	}
	return u, true
}
