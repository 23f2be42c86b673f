package routes

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/uptime"
)

// Current holds the snapshot in force. Reads take no lock.
type Current struct {
	clock        uptime.Clock
	mu           sync.Mutex // orders writes
	active       atomic.Pointer[Snapshot]
	freshAt      atomic.Int64  // Instant at which the snapshot was last known to be the newest
	newer        []peerVersion // newer versions reported by other VMs, by rising version
	behindSince  atomic.Int64  // Instant of the first of newer; zero if it is empty
	knownVersion atomic.Uint64 // newest version in force here or reported by another VM
	past         atomic.Pointer[map[pastKey]pastRoute]
	moved        chan struct{}
}

// peerVersion is a version that another VM reported to have in force.
type peerVersion struct {
	version uint64
	at      uptime.Instant
}

// NewCurrent returns a Current without a snapshot.
func NewCurrent(clock uptime.Clock) *Current {
	return &Current{clock: clock, moved: make(chan struct{}, 1)}
}

// Load returns the snapshot in force, or nil.
func (c *Current) Load() *Snapshot { return c.active.Load() }

// Update puts s in force, which was the newest snapshot at the given time, and reports
// whether the version in force changed. It ignores a version older than the one in force.
func (c *Current) Update(s *Snapshot, at uptime.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.active.Load()
	if old != nil && s.Version < old.Version {
		return false
	}
	defer c.pruneNewer()
	c.confirm(at)
	if old != nil && s.Version == old.Version {
		return false
	}
	moved := false
	if old != nil {
		moved = c.recordPast(old, s)
	}
	c.active.Store(s)
	if moved {
		c.announceMoved()
	}
	return true
}

// RecordVersion records that another VM had a version in force at the given time. It does
// not change the snapshot in force.
func (c *Current) RecordVersion(version uint64, at uptime.Instant) {
	if version <= c.knownVersion.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.knownVersion.Load() {
		return
	}
	c.knownVersion.Store(version)
	c.newer = append(c.newer, peerVersion{version: version, at: at})
	c.pruneNewer()
}

// pruneNewer removes from newer the versions that are not newer than the one in force,
// and those reported before the one in force was known to be the newest, since no newer
// version existed then.
func (c *Current) pruneNewer() {
	var version uint64
	if s := c.active.Load(); s != nil {
		version = s.Version
	}
	c.knownVersion.Store(max(c.knownVersion.Load(), version))
	c.newer = slices.DeleteFunc(c.newer, func(a peerVersion) bool { return a.version <= version || int64(a.at) < c.freshAt.Load() })
	if len(c.newer) == 0 {
		c.behindSince.Store(0)
		c.knownVersion.Store(version)
		return
	}
	c.behindSince.Store(int64(c.newer[0].at))
}

// KnownVersion returns the newest version that this VM has in force or that another VM
// has reported.
func (c *Current) KnownVersion() uint64 { return c.knownVersion.Load() }

// BehindFor returns for how long a version newer than the one in force has been known, or
// zero if there is none.
func (c *Current) BehindFor() time.Duration {
	since := c.behindSince.Load()
	if since == 0 {
		return 0
	}
	return c.clock().Sub(uptime.Instant(since))
}

// ConfirmNewest records that the snapshot in force was the newest at the given time.
func (c *Current) ConfirmNewest(at uptime.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(at)
	c.pruneNewer()
}

func (c *Current) confirm(at uptime.Instant) {
	if int64(at) > c.freshAt.Load() {
		c.freshAt.Store(int64(at))
	}
}

// FreshAt returns the time at which the snapshot was last known to be the newest.
func (c *Current) FreshAt() uptime.Instant { return uptime.Instant(c.freshAt.Load()) }

// Age returns how long ago the snapshot was last known to be the newest.
func (c *Current) Age() time.Duration { return c.clock().Sub(c.FreshAt()) }
