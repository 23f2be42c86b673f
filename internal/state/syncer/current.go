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
	c := &Current{invariants: invariants}
	c.snapshot.Store(config.New())
	return c
}

// Load returns the snapshot in force.
func (c *Current) Load() *config.Snapshot { return c.snapshot.Load() }

// Apply puts those of docs in force that are newer, as config.Snapshot.With does,
// and reports whether anything changed.
func (c *Current) Apply(docs []config.Document) (bool, error) {
	return c.update(func(s *config.Snapshot) (*config.Snapshot, error) { return s.With(docs...) })
}

// Merge puts those of docs in force that are newer, as config.Snapshot.Merge does,
// and reports whether anything changed.
func (c *Current) Merge(upTo uint64, docs []config.Document) (bool, error) {
	return c.update(func(s *config.Snapshot) (*config.Snapshot, error) { return s.Merge(upTo, docs...) })
}

func (c *Current) update(apply func(*config.Snapshot) (*config.Snapshot, error)) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.snapshot.Load()
	next, err := apply(old)
	if next == old {
		return false, trace.Wrap(err)
	}
	for path, d := range old.Documents {
		c.invariants.Assert(invar.NoReversion, next.Documents[path].Version >= d.Version,
			"version of %s decreases from %d to %d", path, d.Version, next.Documents[path].Version)
	}
	c.snapshot.Store(next)
	for _, f := range c.watchers {
		f(next)
	}
	return true, trace.Wrap(err)
}

// Watch calls f with the snapshot in force now and with each later one, in
// order. f must not call Apply, Merge or Watch, which would deadlock.
func (c *Current) Watch(f func(*config.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
	f(c.snapshot.Load())
}
