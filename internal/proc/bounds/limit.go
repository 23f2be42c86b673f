package bounds

import (
	"math"
	"sync/atomic"
	"syscall"
)

// descriptorLimit is how many descriptors the process may have open.
type descriptorLimit struct {
	configured int // zero: as many as the system allows
	limit      atomic.Int64
}

// newDescriptorLimit returns the current limit.
func newDescriptorLimit(configured int) *descriptorLimit {
	d := &descriptorLimit{configured: configured}
	d.refresh()
	return d
}

// refresh reads the limit of the system, which may change while the process runs.
func (d *descriptorLimit) refresh() {
	limit := uint64(math.MaxInt32)
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil {
		limit = min(limit, r.Cur)
	}
	if d.configured > 0 {
		limit = min(limit, uint64(d.configured))
	}
	d.limit.Store(int64(limit)) //nolint:gosec // at most math.MaxInt32
}

// get returns the limit. Unless the settings state it, it may have changed since the last
// connection.
func (d *descriptorLimit) get() int {
	if d.configured == 0 {
		d.refresh()
	}
	return int(d.limit.Load())
}
