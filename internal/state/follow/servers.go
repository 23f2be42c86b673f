package follow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/awake"
	"umberladder/internal/core/ident"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/loop"
)

const (
	// serversWait is how long a wait for changes of servers is held. Others take
	// the place of a VM that the store has not answered for 0.9 s.
	serversWait = 700 * time.Millisecond
	// serversRest gathers the servers' heartbeats in one answer. It is the longest
	// time by which a leaving mark is seen later.
	serversRest = 200 * time.Millisecond
	// standbyRest is the same for a VM that watches in case the first one fails.
	standbyRest = 500 * time.Millisecond
	// expireEvery is how often lapsed entries are looked through.
	expireEvery = 100 * time.Millisecond
	// staleTime is the age of the known servers above which this VM may have missed an
	// outage of the store. Entries lapse after three heartbeats of 1.2 s, so a shorter
	// outage lets none lapse.
	staleTime = 2 * time.Second
)

// Change is one change of the servers' entries.
type Change struct {
	Rev   Revision
	Entry backs.Entry // only the ID, without its start, if Gone
	Gone  bool
	Lapse time.Duration // after which an entry that lapsed in an outage counts as gone; zero: it did not
}

// until returns the moment at which a server whose entry is gone counts as gone.
func (c *Change) until(grace, now time.Time) time.Time {
	if c.Lapse > 0 {
		return now.Add(c.Lapse)
	}
	return grace
}

// News are the changes in a span of revisions, for VMs that do not ask the store.
type News struct {
	Base    Revision      // of which the VM told must know at least
	Rev     Revision      // up to which the changes are complete
	Age     time.Duration // since the store answered with the last revision, or with that there is none later
	Changes []Change
}

// ServerSource reads the servers' entries in the store. Its calls fail once the
// store has been silent for a while, and go on for as long as bytes come.
type ServerSource interface {
	Servers(ctx context.Context) ([]backs.Entry, Revision, error)
	// AwaitServers returns the changes after a revision, none if none came
	// within wait.
	AwaitServers(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Servers keeps a table of servers in step with the store.
type Servers struct {
	src   ServerSource
	table *backs.Table
	clock awake.Clock
	log   *zap.Logger

	told   func() bool
	first  func() bool
	lead   func() bool
	onNews func()
	ask    func(ctx context.Context) (News, error)

	// applyMu serialises updates of the table, so that they apply in order of revision.
	// It must be locked before mu, which the table's callbacks take.
	applyMu sync.Mutex

	mu     sync.Mutex
	down   bool
	until  time.Time // entries missing before then may have lapsed in an outage
	rev    Revision  // up to which everything is known
	base   Revision  // from which recent is complete
	recent []dated   // changes that are still told
	heard  time.Time // when other VMs last told what changed
	// fresh is when what is known was the newest, by the store or by other VMs; zero:
	// nothing is known.
	fresh awake.Instant
}

// dated is a change and when it was seen.
type dated struct {
	Change
	at time.Time
}

const (
	// newsTime is how long a change is told: three messages to each VM may be lost.
	newsTime = 2 * time.Second
	// toldMost is how many changes are told at once, so that a message stays within
	// a datagram: 60 KB hold 250 entries of 240 bytes. VMs that lack earlier ones take
	// the whole list.
	toldMost = 250
	// passTime is how long after another VM's news a VM whose store is away has news.
	passTime = time.Second
)

// NewServers makes a follower of the servers. It asks the store while told
// reports that other VMs do not tell what changes, more often if lead reports that no
// other VM does; first reports that this VM is to find out soon that the store is back.
// It calls news once there is something new to tell other VMs. Where it knows no
// servers, it takes them with ask from another VM, and reads them in the store if there
// is none.
func NewServers(src ServerSource, table *backs.Table, clock awake.Clock, told, first, lead func() bool, news func(),
	ask func(ctx context.Context) (News, error), log *zap.Logger,
) *Servers {
	return &Servers{src: src, table: table, clock: clock, told: told, first: first, lead: lead, onNews: news, ask: ask, log: log}
}

// News returns what changed lately; nothing if neither the store nor other VMs tell
// this one.
func (s *Servers) News(now time.Time) (News, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev == 0 || s.down && now.Sub(s.heard) > passTime {
		return News{}, false
	}
	s.prune(now)
	n := News{Base: s.base, Rev: s.rev, Age: s.age()}
	for _, d := range s.recent {
		if d.Lapse > 0 {
			d.Lapse = max(d.Lapse-now.Sub(d.at), 1)
		}
		n.Changes = append(n.Changes, d.Change)
	}
	return n, true
}

// prune forgets changes that have been told for long enough, and those that are too
// many.
func (s *Servers) prune(now time.Time) {
	old := 0
	for old < len(s.recent) && (now.Sub(s.recent[old].at) > newsTime || len(s.recent)-old > toldMost) {
		s.base = s.recent[old].Rev
		old++
	}
	s.recent = s.recent[old:]
}

// Learn takes another VM's news. If some are missing, everything is read anew.
func (s *Servers) Learn(n News, now time.Time) {
	if s.applyNews(n, now) {
		s.onNews()
	}
}

// applyNews applies another VM's news and reports whether it removed entries.
func (s *Servers) applyNews(n News, now time.Time) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	removed := false
	for _, c := range s.news(n, now) {
		s.take(&c, time.Time{}) // the sender has set Lapse if there was an outage
		removed = removed || c.Gone
	}
	return removed
}

// news returns the changes of n that are new, and notes that they are known. They
// are told on, for VMs that do not hear the one that told them.
func (s *Servers) news(n News, now time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev == 0 || n.Rev < s.rev {
		return nil
	}
	if n.Base > s.rev {
		s.rev = 0
		return nil
	}
	s.prune(now)
	var out []Change
	for _, c := range n.Changes {
		if c.Rev > s.rev {
			out = append(out, c)
			s.recent = append(s.recent, dated{Change: c, at: now})
		}
	}
	s.rev = n.Rev
	s.fresh = max(s.fresh, s.clock().Add(-n.Age))
	if n.Age < passTime {
		s.heard = now
	}
	return out
}

// Age returns how long ago what is known of the servers was the newest.
func (s *Servers) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age()
}

func (s *Servers) age() time.Duration { return s.clock().Sub(s.fresh) }

func (s *Servers) known() Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// Run follows the servers until ctx ends.
func (s *Servers) Run(ctx context.Context) {
	l := loop.New(loop.Source[Revision]{
		Name:  "servers",
		Wait:  serversWait,
		Rest:  s.rest,
		Adopt: s.adopt,
		Read:  s.read,
		Await: s.await,
		Lost:  s.lost,
		Back:  s.back,
		Known: s.known,
		Empty: func() bool { return s.known() == 0 },
		Told:  s.told,
		First: s.first,
	}, s.log)
	l.Run(ctx)
}

func (s *Servers) rest() time.Duration {
	if s.lead() {
		return serversRest
	}
	return standbyRest
}

// Expire drops servers whose entries lapsed in an outage, until ctx ends.
func (s *Servers) Expire(ctx context.Context) {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, id := range s.table.Expire(now) {
				s.log.Info("server gone", zap.String("server", string(id)), zap.String("reason", "its entry did not come back after an outage of the store"))
			}
		}
	}
}

func (s *Servers) lost(time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
}

func (s *Servers) back(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.until = now.Add(backs.ReturnTime)
}

// grace returns the time until which a missing entry counts as lapsed rather than
// removed. A VM that does not read the store itself cannot observe an outage, so stale
// data is treated like one.
func (s *Servers) grace(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.age()
	stale := s.fresh != 0 && age > staleTime
	if stale && !s.down && now.After(s.until) {
		s.log.Info("servers are stale, missing entries may have lapsed in a store outage", zap.Duration("age", age))
	}
	if s.down || stale {
		s.until = now.Add(backs.ReturnTime)
	}
	return s.until
}

func (s *Servers) read(ctx context.Context) (Revision, error) {
	asked := s.clock()
	s.grace(time.Now())
	list, rev, err := s.src.Servers(ctx)
	if err != nil {
		return 0, err
	}
	if s.applyList(list, rev, asked) {
		s.onNews()
	}
	s.log.Info("servers read", zap.Int("servers", len(list)), zap.Uint64("revision", uint64(rev)))
	return rev, nil
}

// applyList replaces the table with the store's list at rev, which was requested at
// asked. It ignores the list if a later revision is known, and reports whether there are
// changes to send to other VMs.
func (s *Servers) applyList(list []backs.Entry, rev Revision, asked awake.Instant) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	known := s.known()
	if rev < known {
		return false
	}
	now := time.Now()
	grace := s.grace(now)
	if known != 0 && rev.Era() > known.Era() {
		list = s.confirmedOf(list)
	}
	changed, missing := s.table.Replace(list, grace, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	told := s.rev != 0
	if told {
		s.noteAll(rev, changed, missing, grace, now)
	} else {
		s.base, s.recent = rev, nil
	}
	s.rev, s.fresh = rev, max(s.fresh, asked)
	return told && len(changed)+len(missing) > 0
}

// confirmedOf returns the entries of servers that are known. The first list of a new
// era may hold entries of servers that have gone since the copy was made; those that
// live write theirs again, and are known then.
func (s *Servers) confirmedOf(list []backs.Entry) []backs.Entry {
	view := s.table.View()
	return slices.DeleteFunc(list, func(e backs.Entry) bool { return view.Server(e.ID) == nil })
}

// noteAll notes what a reading of all servers changed, so that VMs that are told
// need not take the whole list.
func (s *Servers) noteAll(rev Revision, changed []backs.Entry, missing []ident.Server, grace, now time.Time) {
	for _, e := range changed {
		s.recent = append(s.recent, dated{Change: Change{Rev: rev, Entry: e}, at: now})
	}
	for _, id := range missing {
		gone := Change{Rev: rev, Gone: true, Entry: backs.Entry{ID: ident.NewServer(id.Name(), time.Time{})}, Lapse: max(grace.Sub(now), 0)}
		s.recent = append(s.recent, dated{Change: gone, at: now})
	}
}

// All returns all servers known, as news for a VM that knows none; false if some
// are not known.
func (s *Servers) All() (News, bool) {
	s.mu.Lock()
	rev, age := s.rev, s.age()
	s.mu.Unlock()
	if rev == 0 {
		return News{}, false
	}
	// The table calls back into this follower under its own lock, so that this
	// one's is not held. What is newer than the revision is told again.
	n := News{Rev: rev, Age: age}
	lapses := s.table.RemainingGrace(time.Now())
	for _, e := range s.table.View().All() {
		n.Changes = append(n.Changes, Change{Rev: rev, Entry: e, Lapse: lapses[e.ID]})
	}
	return n, true
}

// ErrNobody says that there is no other VM that knows.
var ErrNobody = errors.New("follow: no other VM knows")

// adopt takes all servers that another VM knows, if there is one.
func (s *Servers) adopt(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loop.ReadLimit)
	defer cancel()
	n, err := s.ask(ctx)
	if errors.Is(err, ErrNobody) {
		return false
	}
	if err != nil {
		s.log.Info("servers not taken from another VM", zap.Error(err))
		return false
	}
	list := make([]backs.Entry, 0, len(n.Changes))
	for _, c := range n.Changes {
		list = append(list, c.Entry)
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if n.Rev < s.known() {
		return true
	}
	now := time.Now()
	s.table.Replace(list, time.Time{}, now)
	for _, c := range n.Changes {
		if c.Lapse > 0 {
			// Nobody tells when it is over.
			s.table.Remove(c.Entry.ID.Name(), now.Add(c.Lapse), now)
		}
	}
	s.mu.Lock()
	s.rev, s.base, s.recent, s.heard = n.Rev, n.Rev, nil, now
	s.fresh = max(s.fresh, s.clock().Add(-n.Age))
	s.mu.Unlock()
	s.log.Info("servers taken from another VM", zap.Int("servers", len(list)), zap.Uint64("revision", uint64(n.Rev)))
	return n.Rev != 0
}

func (s *Servers) await(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	asked := s.clock()
	s.grace(time.Now())
	changes, rev, err := s.src.AwaitServers(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	if s.applyChanges(changes, rev, confirmed(s.clock, asked, wait)) {
		// Sent at once, so that other VMs can use new servers without delay.
		s.onNews()
	}
	return rev, nil
}

// applyChanges applies the store's changes up to rev, which was the latest revision at
// the given time. It skips changes up to the known revision, and reports whether there
// are changes to send to other VMs.
func (s *Servers) applyChanges(changes []Change, rev Revision, at awake.Instant) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	now, known, noted := time.Now(), s.known(), false
	for _, c := range changes {
		if c.Rev <= known {
			continue
		}
		if c.Gone {
			c.Lapse = max(s.grace(now).Sub(now), 0)
		}
		if s.take(&c, s.grace(now)) {
			s.note(c, now)
			noted = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.fresh = max(s.rev, rev), max(s.fresh, at)
	return noted
}

func (s *Servers) note(c Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, dated{Change: c, at: now})
}

// take applies a change and reports whether it says anything new. Until grace a
// missing entry says nothing.
func (s *Servers) take(c *Change, grace time.Time) bool {
	id := zap.String("server", string(c.Entry.ID))
	if c.Gone {
		now := time.Now()
		if s.table.Remove(c.Entry.ID.Name(), c.until(grace, now), now) {
			s.log.Info("server entry removed", id)
		}
		return true
	}
	changed := s.table.Put(c.Entry)
	if changed {
		s.log.Info("server changed", id, zap.String("service", string(c.Entry.Service)),
			zap.Stringer("address", c.Entry.Addr), zap.Bool("leaving", c.Entry.Leaving))
	}
	return changed
}
