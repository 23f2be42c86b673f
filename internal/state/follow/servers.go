package follow

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/uptime"
	"umberladder/internal/state/srvtab"
	"umberladder/internal/state/watch"
)

const (
	// missedWait is how long the store holds a request for changes that this VM has missed.
	missedWait = time.Millisecond
	// serversWait is how long the store holds a request for server changes. It must stay
	// below 0.9 s, after which other VMs replace a VM that gets no response from the store.
	serversWait = 700 * time.Millisecond
	// leadBatchDelay batches the servers' heartbeats into one response. It bounds
	// the delay that batching adds before a retired server is seen.
	leadBatchDelay = 200 * time.Millisecond
	// standbyBatchDelay is the same for a VM that watches the store as a standby.
	standbyBatchDelay = 500 * time.Millisecond
	// expireInterval is how often the expired entries are checked.
	expireInterval = 100 * time.Millisecond
	// staleHeartbeats is the age of the server data, in heartbeats of the servers, above
	// which this VM may have missed a store outage. Entries expire after three heartbeats
	// and are up to one heartbeat old, so none expires in an outage of less than two.
	staleHeartbeats = 5.0 / 3
)

// ServerSource reads the servers' entries in the store. Its calls have an idle timeout:
// they fail if the store sends nothing for some time, and continue while data arrives.
type ServerSource interface {
	Servers(ctx context.Context) ([]srvtab.Entry, Revision, error)
	// AwaitServers returns the changes after a revision, or none if there was no
	// change within wait, and the revision up to which the changes are complete.
	AwaitServers(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// ServerFollower keeps a table of servers up to date with the store.
type ServerFollower struct {
	src   ServerSource
	table *srvtab.Table
	clock uptime.Clock
	log   *zap.Logger

	receivesUpdates func() bool
	probes          func() bool
	leads           func() bool
	staleAge        time.Duration
	onChange        func()
	fetch           func(ctx context.Context) (Update, error)
	peersBusy       atomic.Bool // the last fetch failed with ErrPeersBusy

	// applyMu serialises updates of the table, so that they apply in order of revision.
	// It must be locked before mu, which the table's callbacks lock.
	applyMu sync.Mutex

	mu         sync.Mutex
	storeDown  bool
	graceEnd   time.Time     // entries that go missing before then may have expired in an outage
	rev        Revision      // all changes up to this revision are known; zero: none
	lastRev    Revision      // the revision of the table's data while rev is zero
	base       Revision      // recent is complete after this revision
	recent     []timedChange // changes that are still sent to other VMs, in the order of their revisions
	lastUpdate time.Time     // when another VM last sent a recent update
	gapSince   time.Time     // when another VM first sent changes only from a revision later than rev
	gapEnd     Revision      // that revision; at most rev: the changes are known or the list is requested
	latest     Revision      // the latest such revision: while rev is lower, changes are missing
	// unseen is the revision of the latest list that was applied without the changes before it:
	// the changes in recent don't show servers that came and went before. Zero: there is none.
	unseen Revision
	// shared holds updates by their Base, since many VMs lack the same changes. It is valid
	// for sharedRev until sharedTime after sharedAt.
	shared    map[Revision]Update
	sharedRev Revision
	sharedAt  time.Time
	// confirmed is the latest time at which the data was known to be current, according to
	// the store or other VMs. It is zero while there is no data.
	confirmed uptime.Instant
}

// NewServerFollower returns a follower of the servers. It watches the store while
// receivesUpdates reports false, that is, while no updates come from other VMs. It polls
// more often if leads reports that this VM is the first of the hubs that watch the store.
// heartbeat is the interval at which servers write their entries.
// probes reports whether this VM must quickly detect that the store has recovered. The
// follower calls onChange when it has new changes to send to other VMs. While it has no
// data, it copies the servers from another VM with fetch, or reads them in the store if no
// other VM can provide them.
func NewServerFollower(src ServerSource, table *srvtab.Table, heartbeat time.Duration, clock uptime.Clock, receivesUpdates, probes, leads func() bool, onChange func(),
	fetch func(ctx context.Context) (Update, error), log *zap.Logger,
) *ServerFollower {
	return &ServerFollower{
		src: src, table: table, staleAge: time.Duration(staleHeartbeats * float64(heartbeat)), clock: clock,
		receivesUpdates: receivesUpdates, probes: probes, leads: leads, onChange: onChange, fetch: fetch, log: log,
		shared: make(map[Revision]Update),
	}
}

// Age returns the time since the server data was last known to be current.
func (s *ServerFollower) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age()
}

func (s *ServerFollower) age() time.Duration { return s.clock().Sub(s.confirmed) }

// Revision returns the revision up to which this VM knows all changes, or zero if it does
// not know all servers.
func (s *ServerFollower) Revision() Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// Run follows the servers until ctx is done.
func (s *ServerFollower) Run(ctx context.Context) {
	w := watch.New(watch.Source[Revision]{
		Name:            "servers",
		WatchTimeout:    serversWait,
		BatchDelay:      s.batchDelay,
		CopyFromPeer:    s.copyFromPeer,
		PeersBusy:       s.peersBusy.Load,
		Read:            s.read,
		Watch:           s.awaitChanges,
		OnUnreachable:   s.storeUnreachable,
		OnRecovered:     s.storeRecovered,
		Revision:        s.Revision,
		Empty:           s.lacksServers,
		ReceivesUpdates: s.receivesUpdates,
		ProbesStore:     s.probes,
	}, s.log)
	w.Run(ctx)
}

func (s *ServerFollower) batchDelay() time.Duration {
	if s.leads() {
		return leadBatchDelay
	}
	return standbyBatchDelay
}

// Expire drops the servers whose entries expired in a store outage and were not written
// again within the grace period. It runs until ctx is done.
func (s *ServerFollower) Expire(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, id := range s.table.Expire(now) {
				s.log.Info("server gone", zap.String("server", string(id)), zap.String("reason", "its entry was not written again after a store outage"))
			}
		}
	}
}

func (s *ServerFollower) storeUnreachable(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = true
}

func (s *ServerFollower) storeRecovered(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = false
}

// updateGrace returns the time until which a missing entry counts as expired rather than
// removed. Stale data is treated as an outage of the store. Failed calls alone are not: the
// store may have ended a watch or be unreachable for this VM only, and the removal of an
// entry may be the only notice that a server gives before it ends.
func (s *ServerFollower) updateGrace(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.age()
	stale := s.confirmed != 0 && age > s.staleAge
	if !stale {
		return s.graceEnd
	}
	if now.After(s.graceEnd) {
		s.log.Info("servers are stale, missing entries may have lapsed in a store outage", zap.Duration("age", age))
	}
	s.graceEnd = now.Add(srvtab.ReregisterTime)
	return s.graceEnd
}

// startGrace lets the servers without an entry count as expired for the time that they
// need to write it again, and returns the end of that time.
func (s *ServerFollower) startGrace(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceEnd = now.Add(srvtab.ReregisterTime)
	return s.graceEnd
}

// tableRevision returns the revision of the data in the table, which may lack later changes that
// another VM knows.
func (s *ServerFollower) tableRevision() Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(s.rev, s.lastRev)
}

// VersionsAge returns the time since the versions of the servers' software were last known to be
// current. It is Age, or unlimited while changes are missing that another VM knows.
func (s *ServerFollower) VersionsAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev < s.latest {
		return math.MaxInt64
	}
	return s.age()
}

func (s *ServerFollower) read(ctx context.Context) (Revision, error) {
	requested := s.clock()
	s.updateGrace(time.Now())
	list, rev, err := s.src.Servers(ctx)
	if err != nil {
		return 0, err
	}
	if s.applyList(list, rev, requested, s.readMissed(ctx, rev)) {
		s.onChange()
	}
	s.log.Info("servers read", zap.Int("servers", len(list)), zap.Uint64("revision", uint64(rev)))
	return rev, nil
}

// missed is what the store's changes between the last known one and a list of servers show of
// versions of the servers' software. The list does not show servers that came and went before it.
type missed struct {
	complete bool // no change is missing
	versions []srvtab.GoneVersion
}

// readMissed reads the changes between the revision of the table's data and rev, at which the list
// of servers was read. The store may not have all of them any more, and may send them in several
// responses.
func (s *ServerFollower) readMissed(ctx context.Context, rev Revision) missed {
	known := s.tableRevision()
	if known == 0 || known >= rev {
		return missed{}
	}
	m := missed{complete: true}
	for after := known; after < rev; {
		changes, next, err := s.src.AwaitServers(ctx, after, missedWait)
		if err != nil || next <= after {
			s.log.Info("servers may have come and gone unseen", zap.Uint64("since", uint64(known)), zap.Error(err))
			return missed{}
		}
		for _, c := range changes {
			if !c.Gone {
				m.add(c.Entry)
			}
		}
		after = next
	}
	return m
}

func (m *missed) add(e srvtab.Entry) {
	if v := (srvtab.GoneVersion{Service: e.Service, Version: e.Version}); !slices.Contains(m.versions, v) {
		m.versions = append(m.versions, v)
	}
}

// applyList replaces the table with the store's list at rev, which was requested at the
// given time. m is what came before it. applyList ignores the list if a later revision is known, and
// reports whether there are changes to send to other VMs.
func (s *ServerFollower) applyList(list []srvtab.Entry, rev Revision, requested uptime.Instant, m missed) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	known := s.Revision()
	if rev < known {
		return false
	}
	now := time.Now()
	graceEnd := s.updateGrace(now)
	if known != 0 && rev.Era() > known.Era() {
		list = s.filterKnown(list, &m)
		graceEnd = s.startGrace(now)
	}
	gap := s.recordGap(rev, now)
	changed, missing := s.table.Replace(list, graceEnd, now)
	h := srvtab.History{Gone: m.versions}
	if m.complete {
		h.Complete = gap
	}
	added := s.table.AddHistory(h, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	wasKnown := s.rev != 0
	if wasKnown {
		if rev != s.rev && (!m.complete || added) {
			s.unseen = rev
		}
		s.recordAll(rev, changed, missing, graceEnd, now)
	} else {
		s.base, s.recent = rev, nil
	}
	s.rev, s.confirmed = rev, max(s.confirmed, requested)
	return wasKnown && len(changed)+len(missing) > 0
}

// recordGap records in the table that servers may have come and gone unseen between the last time
// at which the data were known to be current and now, when a list at revision rev, or changes of a
// VM that had read one, are applied. It returns the time between the two, or zero if the data are
// at rev already.
func (s *ServerFollower) recordGap(rev Revision, now time.Time) time.Duration {
	s.mu.Lock()
	age, atRev := s.age(), s.confirmed == 0 || rev == cmp.Or(s.rev, s.lastRev)
	s.mu.Unlock()
	if atRev {
		return 0
	}
	s.table.RecordGap(now.Add(-age), now)
	return age
}

// filterKnown returns the entries of known servers, and adds the versions of others to m. The first
// list of a new era may contain servers that ended after the backup copy was made. Running servers
// write their entries again and become known then.
func (s *ServerFollower) filterKnown(list []srvtab.Entry, m *missed) []srvtab.Entry {
	view := s.table.View()
	return slices.DeleteFunc(list, func(e srvtab.Entry) bool {
		if view.Server(e.ID) != nil {
			return false
		}
		m.add(e)
		return true
	})
}

var (
	// ErrNoPeer is returned if there is no other VM to copy the servers from.
	ErrNoPeer = errors.New("follow: no other VM to copy the servers from")
	// ErrPeersBusy is returned if the VMs that have the servers are busy sending them.
	ErrPeersBusy = errors.New("follow: the VMs with the servers are busy sending them")
)

// copyFromPeer copies all servers from another VM, unless this VM has newer data. It
// reports whether this VM has complete data afterwards.
func (s *ServerFollower) copyFromPeer(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watch.ReadTimeout)
	defer cancel()
	u, err := s.fetch(ctx)
	s.peersBusy.Store(errors.Is(err, ErrPeersBusy))
	if errors.Is(err, ErrNoPeer) {
		return false
	}
	if err != nil {
		s.log.Info("servers not taken from another VM", zap.Error(err))
		return false
	}
	list := make([]srvtab.Entry, 0, len(u.Changes))
	for _, c := range u.Changes {
		list = append(list, c.Entry)
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if u.Rev < s.Revision() {
		return true
	}
	now := time.Now()
	s.recordGap(u.Rev, now)
	s.table.Replace(list, time.Time{}, now)
	s.table.AddHistory(u.History, now)
	for _, c := range u.Changes {
		if c.Grace > 0 {
			// No later update announces the end of the grace period.
			s.table.Remove(c.Entry.ID.Name(), now.Add(c.Grace), now)
		}
	}
	s.mu.Lock()
	s.rev, s.base, s.recent, s.lastUpdate = u.Rev, u.Rev, nil, now
	s.confirmed = max(s.confirmed, s.clock().Add(-u.Age))
	s.mu.Unlock()
	s.log.Info("servers taken from another VM", zap.Int("servers", len(list)), zap.Uint64("revision", uint64(u.Rev)))
	return u.Rev != 0
}

func (s *ServerFollower) awaitChanges(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	requested := s.clock()
	s.updateGrace(time.Now())
	changes, rev, err := s.src.AwaitServers(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	if s.applyChanges(changes, rev, confirmedAt(s.clock, requested, wait)) {
		// Sent at once, so that other VMs can use new servers without delay.
		s.onChange()
	}
	return rev, nil
}

// applyChanges applies the store's changes up to rev, which was the latest revision at
// the given time. It skips changes up to the known revision, and reports whether there
// are changes to send to other VMs.
func (s *ServerFollower) applyChanges(changes []Change, rev Revision, at uptime.Instant) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	now, known, changed := time.Now(), s.Revision(), false
	s.table.Batch(func() {
		for _, c := range changes {
			if c.Rev <= known {
				continue
			}
			if c.Gone {
				c.Grace = max(s.updateGrace(now).Sub(now), 0)
			}
			if s.applyChange(&c, s.updateGrace(now), s.log) {
				s.record(c, now)
				changed = true
			}
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.confirmed = max(s.rev, rev), max(s.confirmed, at)
	return changed
}

// applyChange applies a change and reports whether it is a removal or changed the entry.
// A server whose entry was removed stays usable until graceEnd, or for the change's own
// grace period. The change is logged to log.
func (s *ServerFollower) applyChange(c *Change, graceEnd time.Time, log *zap.Logger) bool {
	id := zap.String("server", string(c.Entry.ID))
	if c.Gone {
		now := time.Now()
		if s.table.Remove(c.Entry.ID.Name(), c.goneAt(graceEnd, now), now) {
			log.Info("server entry removed", id)
		}
		return true
	}
	changed := s.table.Put(c.Entry)
	if changed {
		log.Info("server changed", id, zap.String("service", string(c.Entry.Service)),
			zap.Stringer("address", c.Entry.Addr), zap.String("version", string(c.Entry.Version)), zap.Bool("leaving", c.Entry.Draining))
	}
	return changed
}
