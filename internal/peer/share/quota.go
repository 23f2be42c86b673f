package share

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"umberladder/internal/policy/limit"
)

const (
	// sendShare is the fraction of its link that a VM uses to send to other VMs. The
	// rest is left to calls. A small fraction is enough because receivers send on what
	// they have received.
	sendShare = 0.2
	// bitsPerByte converts a link's rate from bits to bytes.
	bitsPerByte = 8
	// maxAlternatives is the maximum number of VMs listed in a busy response.
	maxAlternatives = 8
)

// quota limits the rate at which a VM sends to other VMs. A body larger than the rate
// is sent as well; it leaves a debt in the bucket, and nothing is sent after it until the
// debt is refilled. It is safe for concurrent use.
type quota struct {
	mu     sync.Mutex
	bucket *limit.Bucket
}

// newQuota returns the quota of a VM whose link has the given rate in bits per second.
func newQuota(rate float64, now time.Time) *quota {
	return &quota{bucket: limit.NewBucket(rate*sendShare/bitsPerByte, now)}
}

// tryAcquire reports whether the given number of bytes may be sent now, and charges it
// if so.
func (q *quota) tryAcquire(bytes int, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bucket.Wait(now) > 0 {
		return false
	}
	q.bucket.Take(bytes, now)
	return true
}

// recipients records which VMs were sent the latest version of the settings or of the
// server list. It is safe for concurrent use.
type recipients struct {
	mu      sync.Mutex
	version uint64
	addrs   []netip.AddrPort // the most recent, at most maxAlternatives
}

// add records that vm was sent a version. A later version discards the recipients of
// earlier ones.
func (r *recipients) add(version uint64, vm netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.version {
		return
	}
	if version > r.version {
		r.version, r.addrs = version, nil
	}
	if slices.Contains(r.addrs, vm) {
		return
	}
	r.addrs = append(r.addrs, vm)
	if len(r.addrs) > maxAlternatives {
		r.addrs = r.addrs[1:]
	}
}

// get returns the VMs that were sent a version.
func (r *recipients) get(version uint64) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version != r.version {
		return nil
	}
	return slices.Clone(r.addrs)
}
