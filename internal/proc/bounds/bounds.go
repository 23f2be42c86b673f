package bounds

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/policy/hold"
)

const (
	// interval is how often the limit of descriptors is read, and the log says what was refused.
	interval = time.Second
	// shortageEnd is how long nothing may be reclaimed or refused until a shortage is over.
	shortageEnd = 5 * time.Second
)

// Bounds are the bounds on what a process holds for its clients.
type Bounds struct {
	Held        *hold.Pool
	descriptors *descriptorLimit
	log         *zap.Logger
}

// New returns the bounds of a process on a VM with the given memory in bytes. The process may have
// the given number of descriptors open; zero: as many as the system allows.
func New(memory, descriptors int, log *zap.Logger) *Bounds {
	d := newDescriptorLimit(descriptors)
	return &Bounds{Held: hold.NewPool(hold.Limits{Memory: hold.ClientMemory(memory), Descriptors: d.get}), descriptors: d, log: log}
}

// Run refreshes the limit of descriptors, and logs when clients hold so much that others are
// reclaimed or refused, until ctx ends.
func (b *Bounds) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	_, limit := b.Held.Descriptors()
	b.log.Info("what clients may hold", zap.Int("byte-limit", b.Held.Size()), zap.Int("descriptor-limit", limit))
	var last, before hold.Stats
	var shortSince, changedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		b.descriptors.refresh()
		now, s := time.Now(), b.Held.Stats()
		switch {
		case s != last && shortSince.IsZero():
			shortSince, changedAt, before = now, now, last
			b.log.Warn("clients hold too much, some are reclaimed or refused", b.fields(s, before)...)
		case s != last:
			changedAt = now
		case !shortSince.IsZero() && now.Sub(changedAt) >= shortageEnd:
			b.log.Warn("clients no longer hold too much", append(b.fields(s, before), zap.Duration("after", now.Sub(shortSince)))...)
			shortSince = time.Time{}
		}
		last = s
	}
}

// fields returns what is held, and what was reclaimed and refused since before.
func (b *Bounds) fields(s, before hold.Stats) []zap.Field {
	used, limit := b.Held.Descriptors()
	return []zap.Field{
		zap.Int("connection-bytes", b.Held.Held(hold.Connections)), zap.Int("request-bytes", b.Held.Held(hold.Requests)),
		zap.Int("response-bytes", b.Held.Held(hold.Responses)), zap.Int("byte-limit", b.Held.Size()),
		zap.Int("descriptors", used), zap.Int("descriptor-limit", limit), zap.Uint64("reclaimed", s.Reclaimed-before.Reclaimed),
		zap.Uint64("refused-connections", s.RefusedConnections-before.RefusedConnections), zap.Uint64("refused-requests", s.RefusedRequests-before.RefusedRequests),
		zap.Uint64("refused-responses", s.RefusedResponses-before.RefusedResponses),
	}
}
