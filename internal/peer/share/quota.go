package share

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"umberladder/internal/policy/limit"
)

const (
	// linkShare is the share of its link that a VM sends to others, so that calls have
	// the rest. The VMs that have got it send on.
	linkShare = 0.2
	// bitsPerByte turns the rate of a link into bytes.
	bitsPerByte = 8
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

// newQuota makes the quota of a VM with a link of so many bits a second.
func newQuota(rate float64, now time.Time) *quota {
	return &quota{link: limit.NewBucket(rate*linkShare/bitsPerByte, now)}
}

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
