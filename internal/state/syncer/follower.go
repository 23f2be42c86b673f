package syncer

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
	// isolatedAfter is how long a VM receives nothing from other VMs before it
	// reads the store itself.
	isolatedAfter = 2 * time.Second
	checkInterval = 250 * time.Millisecond
	retryBase     = 200 * time.Millisecond
	retryLimit    = 5 * time.Second
	pullTimeout   = 3 * time.Second
)

// Reader reads settings from the platform's key-value service.
type Reader interface {
	List(ctx context.Context, prefix string, after uint64) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error)
}

// Puller fetches the documents of another VM that are newer than a revision, and
// the revision up to which these are complete.
type Puller interface {
	Pull(ctx context.Context, from member.Member, after uint64) ([]config.Document, uint64, error)
}

// Group starts goroutines.
type Group interface {
	Go(f func() error)
}

// Follower keeps a VM's settings up to date. The snapshot always contains every
// document up to its revision, because the follower raises the revision only
// with all newer documents. Documents that were written while the store could
// not be read are in force ahead of the revision.
type Follower struct {
	current       *Current
	store         Reader
	peers         Puller
	fleet         *fleet.Membership
	group         Group
	log           *zap.Logger
	mu            sync.Mutex
	rng           *rand.Rand
	storeRevision uint64 // everything up to this revision of the store has been read
	failures      int
	pulls         map[ident.VM]bool // in progress
}

// NewFollower returns a follower. SetFleet must be called before any other method.
func NewFollower(current *Current, s Reader, p Puller, g Group, log *zap.Logger, rng *rand.Rand) *Follower {
	return &Follower{
		current: current,
		store:   s,
		peers:   p,
		group:   g,
		log:     log,
		rng:     rng,
		pulls:   map[ident.VM]bool{},
	}
}

// SetFleet sets the membership. It is not an argument of NewFollower because the
// membership is created with methods of the follower.
func (f *Follower) SetFleet(fl *fleet.Membership) { f.fleet = fl }

// Revision returns the revision of the settings in force.
func (f *Follower) Revision() uint64 { return f.current.Load().Revision }

// SettingsVersion describes the settings in force on this VM for other VMs.
func (f *Follower) SettingsVersion() member.SettingsVersion {
	s := f.current.Load()
	return member.SettingsVersion{Revision: s.Revision, Ahead: s.Ahead}
}

// Run keeps the settings up to date until ctx is done. A watcher watches the
// store. Any other VM receives settings from its peers, and reads the store only
// if it receives nothing from them.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.isWatcher() || f.isIsolated() {
			f.watchOnce(ctx)
			continue
		}
		retry.Sleep(ctx, checkInterval)
	}
	return nil
}

// isWatcher reports whether this VM is one of the watchers of its failure domain.
func (f *Follower) isWatcher() bool {
	v := f.fleet.View()
	key := watchKey + string(v.Self.Domain)
	for _, m := range member.TopOwners(key, v.InDomain(v.Self.Domain), watchersPerDomain) {
		if m.Name == v.Self.Name {
			return true
		}
	}
	return false
}

// isIsolated reports whether this VM has no settings yet or receives nothing
// from other VMs.
func (f *Follower) isIsolated() bool {
	return f.current.Load().System == nil || time.Since(f.fleet.LastSeen()) > isolatedAfter
}

// watchOnce makes one watch request to the store. A VM that is not a watcher
// reads without waiting for changes.
func (f *Follower) watchOnce(ctx context.Context) {
	wait := watchWait
	if !f.isWatcher() {
		wait = 0
	}
	items, rev, err := f.store.Watch(ctx, Prefix, f.knownRevision(), wait)
	if err != nil {
		f.handleFailure(ctx, err)
		return
	}
	f.mu.Lock()
	f.failures = 0
	f.mu.Unlock()
	f.applyItems(items, rev)
	if wait == 0 {
		retry.Sleep(ctx, f.jitter(isolatedAfter))
	}
}

// handleFailure backs off before the next request to the store, with jitter so
// that the VMs do not retry at the same time. A VM without settings first pulls
// them from its peers.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	f.mu.Lock()
	f.failures++
	d := retry.Backoff(f.rng, f.failures, retryBase, retryLimit)
	f.mu.Unlock()
	f.log.Debug("failed to watch store", zap.Error(err))
	if f.current.Load().System == nil {
		f.pullFromAny(ctx)
		d = min(d, time.Second)
	}
	retry.Sleep(ctx, d)
}

// pullFromAny pulls from the live VMs until one of them provides settings.
func (f *Follower) pullFromAny(ctx context.Context) {
	for _, m := range f.fleet.View().Live {
		if m.Name == f.fleet.View().Self.Name {
			continue
		}
		if f.pull(ctx, m) == nil && f.current.Load().System != nil {
			return
		}
	}
}

func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.rng.Int64N(int64(d)))
}

func (f *Follower) knownRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.storeRevision, f.current.Load().Revision)
}

// applyItems applies items from the store, which are complete up to rev, and
// notifies the failure domain.
func (f *Follower) applyItems(items []store.Item, rev uint64) {
	docs := make([]config.Document, 0, len(items))
	for _, it := range items {
		d, err := Decode(it)
		if err != nil {
			f.log.Error("failed to decode settings value", zap.String("path", it.Path), zap.Error(err))
			continue
		}
		docs = append(docs, d)
	}
	f.mu.Lock()
	f.storeRevision = max(f.storeRevision, rev)
	f.mu.Unlock()
	f.notifyDomain(f.current.Apply(docs))
}

// notifyDomain notifies the VMs of this failure domain if the settings changed, and
// logs err.
func (f *Follower) notifyDomain(changed bool, err error) {
	if err != nil {
		f.log.Error("failed to apply settings", zap.Error(err))
	}
	if changed {
		v := f.fleet.View()
		f.fleet.SendUpdates(v.InDomain(v.Self.Domain))
	}
}

// ApplyWritten puts a document in force that was written through this VM, and
// notifies other VMs. It works also while no VM can read the store.
func (f *Follower) ApplyWritten(d config.Document) {
	f.notifyDomain(f.current.Merge(0, []config.Document{d}))
}

// Refresh reads the store immediately, after a write through this VM, applies the
// changes and notifies other VMs.
func (f *Follower) Refresh(ctx context.Context) error {
	items, rev, err := f.store.List(ctx, Prefix, f.knownRevision())
	if err != nil {
		return trace.Wrap(err)
	}
	f.applyItems(items, rev)
	return nil
}

// HandlePeerVersion processes the settings version of another VM, and pulls the
// settings from that VM if this one may lack some of them.
func (f *Follower) HandlePeerVersion(from member.Member, theirs member.SettingsVersion) {
	ours := f.SettingsVersion()
	if theirs.Revision <= ours.Revision && (theirs.Ahead == 0 || theirs.Ahead == ours.Ahead) {
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
		defer f.pullDone(from.Name)
		if err := f.pull(context.Background(), from); err != nil {
			f.log.Debug("failed to pull settings", zap.String("from", string(from.Name)), zap.Error(err))
		}
		return nil
	})
}

func (f *Follower) pullDone(name ident.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pulls, name)
}

func (f *Follower) pull(ctx context.Context, from member.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	docs, upTo, err := f.peers.Pull(ctx, from, f.Revision())
	if err != nil {
		return trace.Wrap(err)
	}
	f.notifyDomain(f.current.Merge(upTo, docs))
	return nil
}

// DocumentsAfter returns the documents in force that are newer than a revision, and
// the revision up to which these are complete, for another VM's pull.
func (f *Follower) DocumentsAfter(after uint64) ([]config.Document, uint64) {
	s := f.current.Load()
	var out []config.Document
	for _, d := range s.Documents {
		if d.Version > after {
			out = append(out, d)
		}
	}
	return out, s.Revision
}
