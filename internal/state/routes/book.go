package routes

import (
	"slices"
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
	fresh atomic.Int64  // Instant at which the snapshot was known to be the newest
	heard []announced   // of newer versions, by rising version
	since atomic.Int64  // Instant of the first of heard; zero: there is none
	known atomic.Uint64 // newest version in force or heard of
}

// announced is a version that another VM says it has in force.
type announced struct {
	version uint64
	at      awake.Instant
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
	defer b.settle()
	b.confirm(at)
	if old != nil && s.Version == old.Version {
		return false
	}
	b.now.Store(s)
	return true
}

// Hear notes that another VM has a version in force at a moment. It changes
// nothing in force.
func (b *Book) Hear(version uint64, at awake.Instant) {
	if version <= b.known.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.known.Load() {
		return
	}
	b.known.Store(version)
	b.heard = append(b.heard, announced{version: version, at: at})
	b.settle()
}

// settle forgets versions that are in force, and those that were heard of before
// the one in force was known to be the newest: there were none then.
func (b *Book) settle() {
	var version uint64
	if s := b.now.Load(); s != nil {
		version = s.Version
	}
	b.known.Store(max(b.known.Load(), version))
	b.heard = slices.DeleteFunc(b.heard, func(a announced) bool { return a.version <= version || int64(a.at) < b.fresh.Load() })
	if len(b.heard) == 0 {
		b.since.Store(0)
		b.known.Store(version)
		return
	}
	b.since.Store(int64(b.heard[0].at))
}

// Known returns the newest version that this VM has in force or has heard of.
func (b *Book) Known() uint64 { return b.known.Load() }

// Behind returns for how long a version newer than the one in force has been
// known; zero if none is.
func (b *Book) Behind() time.Duration {
	since := b.since.Load()
	if since == 0 {
		return 0
	}
	return b.clock().Sub(awake.Instant(since))
}

// Confirm notes that the snapshot in force was the newest at a moment.
func (b *Book) Confirm(at awake.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirm(at)
	b.settle()
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
