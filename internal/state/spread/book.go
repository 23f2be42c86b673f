package spread

import (
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"umberladder/internal/core/invar"
	"umberladder/internal/state/config"
)

// Book holds the snapshot in force. Load is one atomic read; Apply is for any
// goroutine.
type Book struct {
	invariants *invar.Book
	current    atomic.Pointer[config.Snapshot]

	mu       sync.Mutex
	watchers []func(*config.Snapshot)
}

// NewBook returns a book with no settings in force.
func NewBook(invariants *invar.Book) *Book {
	b := &Book{invariants: invariants}
	b.current.Store(config.New())
	return b
}

// Load returns the snapshot in force.
func (b *Book) Load() *config.Snapshot { return b.current.Load() }

// Apply puts the newer ones of docs in force and reports whether anything
// changed. It takes documents as config.Snapshot.With does.
func (b *Book) Apply(docs []config.Document) (bool, error) {
	return b.change(func(s *config.Snapshot) (*config.Snapshot, error) { return s.With(docs...) })
}

// Merge is Apply as config.Snapshot.Merge does it.
func (b *Book) Merge(upTo uint64, docs []config.Document) (bool, error) {
	return b.change(func(s *config.Snapshot) (*config.Snapshot, error) { return s.Merge(upTo, docs...) })
}

func (b *Book) change(to func(*config.Snapshot) (*config.Snapshot, error)) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load()
	next, err := to(old)
	if next == old {
		return false, trace.Wrap(err)
	}
	for path, d := range old.Documents {
		b.invariants.Assert(invar.NoReversion, next.Documents[path].Version >= d.Version,
			"%s goes from version %d to %d", path, d.Version, next.Documents[path].Version)
	}
	b.current.Store(next)
	for _, f := range b.watchers {
		f(next)
	}
	return true, trace.Wrap(err)
}

// Watch calls f with the snapshot in force now and with each later one, in
// order. f must not call the book.
func (b *Book) Watch(f func(*config.Snapshot)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers = append(b.watchers, f)
	f(b.current.Load())
}
