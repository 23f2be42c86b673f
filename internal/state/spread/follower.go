package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/store"
	"umberladder/internal/policy/retry"
	"umberladder/internal/state/config"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/member"
)

const (
	watchersPerDomain = 2
	watchWait         = 10 * time.Second
	watchKey          = "settings-watch/"
	// deafAfter is how long a VM hears from no other before it reads the
	// store itself.
	deafAfter  = 2 * time.Second
	checkEvery = 250 * time.Millisecond
	retryBase  = 200 * time.Millisecond
	retryLimit = 5 * time.Second
	pullTime   = 3 * time.Second
)

// Reader reads settings from the platform's key-value service.
type Reader interface {
	List(ctx context.Context, prefix string, after uint64) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error)
}

// Puller fetches the documents that another VM has and that are newer than a
// revision, and the revision up to which these are all.
type Puller interface {
	Pull(ctx context.Context, from member.Member, after uint64) ([]config.Document, uint64, error)
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Follower keeps a VM's book current. Its book always holds every document up
// to the book's revision, because it only ever takes all that is newer. Documents
// that were written while the store could not be read are in force ahead of it.
type Follower struct {
	book  *Book
	store Reader
	peers Puller
	fleet *fleet.Fleet
	group Group
	log   *zap.Logger
	mu    sync.Mutex
	rng   *rand.Rand
	after uint64 // the store's revision up to which all is known
	tries int
	pulls map[ident.VM]bool // under way
}

// NewFollower makes a follower. Start must follow before anything else.
func NewFollower(book *Book, s Reader, p Puller, g Group, log *zap.Logger, rng *rand.Rand) *Follower {
	return &Follower{
		book:  book,
		store: s,
		peers: p,
		group: g,
		log:   log,
		rng:   rng,
		pulls: map[ident.VM]bool{},
	}
}

// Start tells the follower the membership, which itself asks the follower for
// its revision.
func (f *Follower) Start(fl *fleet.Fleet) { f.fleet = fl }

// Revision returns the revision of the settings in force.
func (f *Follower) Revision() uint64 { return f.book.Load().Revision }

// Mark tells other VMs which settings are in force on this one.
func (f *Follower) Mark() member.Mark {
	s := f.book.Load()
	return member.Mark{Revision: s.Revision, Ahead: s.Ahead}
}

// Run keeps the book current until ctx ends: a watcher waits on the store,
// any other VM hears from its peers, and reads the store only if it hears
// nothing.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.watching() || f.deaf() {
			f.watch(ctx)
			continue
		}
		retry.Pause(ctx, checkEvery)
	}
	return nil
}

// watching reports whether this VM is one of its domain's watchers.
func (f *Follower) watching() bool {
	v := f.fleet.View()
	key := watchKey + string(v.Self.Domain)
	for _, m := range member.Top(key, v.Domain(v.Self.Domain), watchersPerDomain) {
		if m.Name == v.Self.Name {
			return true
		}
	}
	return false
}

// deaf reports whether this VM has no settings yet or hears nobody.
func (f *Follower) deaf() bool {
	return f.book.Load().System == nil || time.Since(f.fleet.Heard()) > deafAfter
}

// watch waits on the store once.
func (f *Follower) watch(ctx context.Context) {
	wait := watchWait
	if !f.watching() {
		wait = 0
	}
	items, rev, err := f.store.Watch(ctx, Prefix, f.position(), wait)
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.mu.Lock()
	f.tries = 0
	f.mu.Unlock()
	f.take(items, rev)
	if wait == 0 {
		retry.Pause(ctx, f.jitter(deafAfter))
	}
}

// failed waits before the store is asked again, so that VMs do not come back
// in step, and meanwhile asks a peer.
func (f *Follower) failed(ctx context.Context, err error) {
	f.mu.Lock()
	f.tries++
	d := retry.Delay(f.rng, f.tries, retryBase, retryLimit)
	f.mu.Unlock()
	f.log.Debug("the store can't be read", zap.Error(err))
	if f.book.Load().System == nil {
		f.askAround(ctx)
		d = min(d, time.Second)
	}
	retry.Pause(ctx, d)
}

// askAround pulls from live VMs until one has settings.
func (f *Follower) askAround(ctx context.Context) {
	for _, m := range f.fleet.View().Live {
		if m.Name == f.fleet.View().Self.Name {
			continue
		}
		if f.pull(ctx, m) == nil && f.book.Load().System != nil {
			return
		}
	}
}

func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.rng.Int64N(int64(d)))
}

func (f *Follower) position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.after, f.book.Load().Revision)
}

// take applies what the store returned, all up to rev, and tells the domain.
func (f *Follower) take(items []store.Item, rev uint64) {
	docs := make([]config.Document, 0, len(items))
	for _, it := range items {
		d, err := Decode(it)
		if err != nil {
			f.log.Error("a settings value can't be read", zap.String("path", it.Path), zap.Error(err))
			continue
		}
		docs = append(docs, d)
	}
	f.mu.Lock()
	f.after = max(f.after, rev)
	f.mu.Unlock()
	f.tell(f.book.Apply(docs))
}

// tell tells this VM's domain of settings that changed.
func (f *Follower) tell(changed bool, err error) {
	if err != nil {
		f.log.Error("settings were not applied", zap.Error(err))
	}
	if changed {
		v := f.fleet.View()
		f.fleet.Notify(v.Domain(v.Self.Domain))
	}
}

// Accepted puts a document in force that was written through this VM, and tells
// the others, though nobody may be able to read the store.
func (f *Follower) Accepted(d config.Document) {
	f.tell(f.book.Merge(0, []config.Document{d}))
}

// Refresh reads the store at once, after a write through this VM, and spreads
// what it finds.
func (f *Follower) Refresh(ctx context.Context) error {
	items, rev, err := f.store.List(ctx, Prefix, f.position())
	if err != nil {
		return trace.Wrap(err)
	}
	f.take(items, rev)
	return nil
}

// Heard is told which settings each VM heard from has: what this one may lack
// is pulled.
func (f *Follower) Heard(from member.Member, theirs member.Mark) {
	own := f.Mark()
	if theirs.Revision <= own.Revision && (theirs.Ahead == 0 || theirs.Ahead == own.Ahead) {
		return
	}
	f.mu.Lock()
	busy := f.pulls[from.Name]
	f.pulls[from.Name] = true
	f.mu.Unlock()
	if busy {
		return
	}
	f.group.Go(func() error {
		defer f.pulled(from.Name)
		if err := f.pull(context.Background(), from); err != nil {
			f.log.Debug("settings can't be pulled", zap.String("from", string(from.Name)), zap.Error(err))
		}
		return nil
	})
}

func (f *Follower) pulled(name ident.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pulls, name)
}

func (f *Follower) pull(ctx context.Context, from member.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	docs, upTo, err := f.peers.Pull(ctx, from, f.Revision())
	if err != nil {
		return trace.Wrap(err)
	}
	f.tell(f.book.Merge(upTo, docs))
	return nil
}

// Newer returns the documents in force that are newer than a revision, and the
// revision up to which these are all, for another VM's pull.
func (f *Follower) Newer(after uint64) ([]config.Document, uint64) {
	s := f.book.Load()
	var out []config.Document
	for _, d := range s.Documents {
		if d.Version > after {
			out = append(out, d)
		}
	}
	return out, s.Revision
}
