package syncer

import (
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"umberladder/internal/core/invar"
	"umberladder/internal/state/config"
)

// Current holds the snapshot in force. It is safe for concurrent use, and Load is
// one atomic read.
type Current struct {
	invariants *invar.Checker
	snapshot   atomic.Pointer[config.Snapshot]

	mu       sync.Mutex
	watchers []func(*config.Snapshot)
}

// NewCurrent returns a Current with no settings in force.
func NewCurrent(invariants *invar.Checker) *Current {
	b := &Current{invariants: invariants}
	b.snapshot.Store(config.New())
	return b
}

// Load returns the snapshot in force.
func (b *Current) Load() *config.Snapshot { return b.snapshot.Load() }

// Apply puts those of docs in force that are newer, as config.Snapshot.With does,
// and reports whether anything changed.
func (b *Current) Apply(docs []config.Document) (bool, error) {
	return b.update(func(s *config.Snapshot) (*config.Snapshot, error) { return s.With(docs...) })
}

// Merge puts those of docs in force that are newer, as config.Snapshot.Merge does,
// and reports whether anything changed.
func (b *Current) Merge(upTo uint64, docs []config.Document) (bool, error) {
	return b.update(func(s *config.Snapshot) (*config.Snapshot, error) { return s.Merge(upTo, docs...) })
}

func (b *Current) update(apply func(*config.Snapshot) (*config.Snapshot, error)) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.snapshot.Load()
	next, err := apply(old)
	if next == old {
		return false, trace.Wrap(err)
	}
	for path, d := range old.Documents {
		b.invariants.Assert(invar.NoReversion, next.Documents[path].Version >= d.Version,
			"version of %s decreases from %d to %d", path, d.Version, next.Documents[path].Version)
	}
	b.snapshot.Store(next)
	for _, f := range b.watchers {
		f(next)
	}
	return true, trace.Wrap(err)
}

// Watch calls f with the snapshot in force now and with each later one, in
// order. f must not call Apply, Merge or Watch, which would deadlock.
func (b *Current) Watch(f func(*config.Snapshot)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers = append(b.watchers, f)
	f(b.snapshot.Load())
}
