package share

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"umberladder/internal/policy/limit"
)

const (
	// shareRate is what a VM sends to others, in bytes a second and at once: a fifth
	// of a link of 10 Mbit/s, so that calls have the rest, and a fifth of a second
	// of it. The VMs that have it send on.
	shareRate = 256 << 10
	// named is how many VMs a busy one names.
	named = 8
)

// quota keeps what a VM sends to others within its link. What is larger than the
// rate is sent, too, and nothing after it until the time that it takes is over. It
// is safe for use by several goroutines.
type quota struct {
	mu   sync.Mutex
	link *limit.Bucket
}

func newQuota(now time.Time) *quota { return &quota{link: limit.NewBucket(shareRate, now)} }

// take reports whether so many bytes may be sent now.
func (q *quota) take(bytes int, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.link.Wait(now) > 0 {
		return false
	}
	q.link.Take(bytes, now)
	return true
}

// holders knows which VMs were sent the last version of something. It is safe for
// use by several goroutines.
type holders struct {
	mu      sync.Mutex
	version uint64
	list    []netip.AddrPort // last ones, at most named
}

// add notes that a VM was sent a version. Later versions replace all earlier ones.
func (h *holders) add(version uint64, vm netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version < h.version {
		return
	}
	if version > h.version {
		h.version, h.list = version, nil
	}
	if slices.Contains(h.list, vm) {
		return
	}
	h.list = append(h.list, vm)
	if len(h.list) > named {
		h.list = h.list[1:]
	}
}

// of returns the VMs that were sent a version.
func (h *holders) of(version uint64) []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version != h.version {
		return nil
	}
	return slices.Clone(h.list)
}
