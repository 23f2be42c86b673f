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

// Apply puts the newer ones of docs in force and reports whether any was. A
// document that can't be parsed is left out; the rest is applied, and the
// first such error returned.
func (b *Book) Apply(docs []config.Document) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.current.Load()
	next, err := old.With(docs...)
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
