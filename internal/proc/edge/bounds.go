package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/policy/hold"
)

const (
	// boundsInterval is how often the log says what was refused.
	boundsInterval = time.Second
	// shortageEnd is how long nothing may be reclaimed or refused until a shortage is over.
	shortageEnd = 5 * time.Second
)

// watchBounds logs when clients hold so much that others
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
	return []zap.Field{
		zap.Int("connection-bytes", v.held.Held(hold.Connections)), zap.Int("request-bytes", v.held.Held(hold.Requests)),
		zap.Int("response-bytes", v.held.Held(hold.Responses)), zap.Int("byte-limit", v.held.Size()),
		zap.Uint64("reclaimed", s.Reclaimed-before.Reclaimed),
		zap.Uint64("refused-connections", s.RefusedConnections-before.RefusedConnections), zap.Uint64("refused-requests", s.RefusedRequests-before.RefusedRequests),
		zap.Uint64("refused-responses", s.RefusedResponses-before.RefusedResponses),
	}
}
