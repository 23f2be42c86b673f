package routes

import (
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/awake"
)

// Book holds the snapshot in force. Reads take no lock.
type Book struct {
	clock awake.Clock
	mu    sync.Mutex // orders writes
	now   atomic.Pointer[Snapshot]
	fresh atomic.Int64 // Instant at which the snapshot was known to be the newest
}

// NewBook makes a book without a snapshot.
func NewBook(clock awake.Clock) *Book {
	return &Book{clock: clock}
}

// Load returns the snapshot in force, or nil.
func (b *Book) Load() *Snapshot { return b.now.Load() }

// Put puts a snapshot in force that was the newest at a moment. An older
// version than the one in force changes nothing; it reports whether s is in
// force now and was not before.
func (b *Book) Put(s *Snapshot, at awake.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.now.Load()
	if old != nil && s.Version < old.Version {
		return false
	}
	b.confirm(at)
	if old != nil && s.Version == old.Version {
		return false
	}
	b.now.Store(s)
	return true
}

// Confirm notes that the snapshot in force was the newest at a moment.
func (b *Book) Confirm(at awake.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirm(at)
}

func (b *Book) confirm(at awake.Instant) {
	if int64(at) > b.fresh.Load() {
		b.fresh.Store(int64(at))
	}
}

// Fresh returns the moment at which the snapshot was last known to be the newest.
func (b *Book) Fresh() awake.Instant { return awake.Instant(b.fresh.Load()) }

// Age returns how long ago the snapshot was known to be the newest.
func (b *Book) Age() time.Duration { return b.clock().Sub(b.Fresh()) }
