package edge

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/policy/hold"
	"umberladder/internal/route/path"
)

const (
	// boundsInterval is how often the limit of descriptors is read, and the log says what was
	// refused.
	boundsInterval = time.Second
	// shortageEnd is how long nothing may be reclaimed or refused until a shortage is over.
	shortageEnd = 5 * time.Second
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

// watchBounds refreshes the limit of descriptors, and logs when clients hold so much that others
// are reclaimed or refused, until ctx ends.
func (v *VM) watchBounds(ctx context.Context) {
	t := time.NewTicker(boundsInterval)
	defer t.Stop()
	var last, before hold.Stats
	var shortSince, changedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v.descriptors.refresh()
		now, s := time.Now(), v.held.Stats()
		switch {
		case s != last && shortSince.IsZero():
			shortSince, changedAt, before = now, now, last
			v.log.Warn("clients hold too much, some are reclaimed or refused", v.boundsFields(s, before)...)
		case s != last:
			changedAt = now
		case !shortSince.IsZero() && now.Sub(changedAt) >= shortageEnd:
			v.log.Warn("clients no longer hold too much", append(v.boundsFields(s, before), zap.Duration("after", now.Sub(shortSince)))...)
			shortSince = time.Time{}
		}
		last = s
	}
}

// boundsFields returns what is held, and what was reclaimed and refused since before.
func (v *VM) boundsFields(s, before hold.Stats) []zap.Field {
	used, limit := v.held.Descriptors()
	return []zap.Field{
		zap.Int("connection-bytes", v.held.Held(hold.Connections)), zap.Int("request-bytes", v.held.Held(hold.Requests)),
		zap.Int("response-bytes", v.held.Held(hold.Responses)), zap.Int("byte-limit", v.held.Size()),
		zap.Int("descriptors", used), zap.Int("descriptor-limit", limit), zap.Uint64("reclaimed", s.Reclaimed-before.Reclaimed),
		zap.Uint64("refused-connections", s.RefusedConnections-before.RefusedConnections), zap.Uint64("refused-requests", s.RefusedRequests-before.RefusedRequests),
		zap.Uint64("refused-responses", s.RefusedResponses-before.RefusedResponses),
	}
}

// boundedDialer opens connections as far as there are descriptors.
type boundedDialer struct {
	path.Dialer
	held *hold.Pool
}

// Dial implements path.Dialer. Its error is hold.ErrExhausted if there are no descriptors.
func (d boundedDialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if err := d.held.OpenOther(); err != nil {
		return nil, err
	}
	nc, err := d.Dialer.Dial(ctx, addr)
	if err != nil {
		d.held.CloseOther()
		return nil, err
	}
	return &boundedConn{Conn: nc, held: d.held}, nil
}

// boundedConn is a connection that gives back its descriptor when it is closed.
type boundedConn struct {
	net.Conn
	held *hold.Pool
	once sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.held.CloseOther)
	return err
}
