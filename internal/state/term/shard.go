// Package term holds the claims on the idempotency keys of one shard during one
// term, the time for which one VM holds the shard's lease, and decides which
// requests may run. docs/design/03-at-most-once.md shows that a key runs at most
// once over all terms.
package term

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
)

// Decision is the decision of a shard's lease holder on a key.
type Decision uint8

// The decisions.
const (
	Granted    Decision = iota // this request may run
	Replay                     // an earlier request completed; its response is returned
	InProgress                 // an earlier request is running
	MayHaveRun                 // an earlier request may have run
	Mismatch                   // the key was used for a different request before
	FutureKey                  // the key's creation time is in the future
	NotHolder                  // this VM does not hold the shard's lease now
)

const (
	// Retention is how long a claim is kept. For a key created earlier, the decision
	// is MayHaveRun.
	Retention = time.Hour
	// MaxClockSkew bounds the difference between any two clocks of the system.
	MaxClockSkew = 250 * time.Millisecond
	// lostAfter is how long after a claim its VM is presumed lost if it has not
	// reported the end of the request.
	lostAfter = 15 * time.Minute
	// maxResponse is the size of the largest response kept, in bytes.
	maxResponse = 16 << 10
)

// Shard holds the claims on a shard's keys for one term. Each key that it grants was
// created after the start of the term, so no earlier lease holder can have granted
// it. It is not safe for use by several goroutines.
type Shard struct {
	start     time.Time // by the store's clock, plus a margin for clock skew
	claims    map[string]*claim
	byArrival []string // keys in the order of their claims, to evict the oldest first
}

type claim struct {
	fingerprint [32]byte
	request     ident.Request
	claimedAt   time.Time
	done        bool
	response    *proto.Answer
}

// New starts a term. now is the time by the store's clock.
func New(now time.Time) *Shard {
	return &Shard{start: now.Add(2 * MaxClockSkew), claims: map[string]*claim{}}
}

// Claim decides whether the request r may run for a key with the given creation
// time, and returns the stored response if the decision is Replay. now is the time by
// this VM's clock.
func (s *Shard) Claim(key string, created time.Time, fingerprint [32]byte, r ident.Request, now time.Time) (Decision, *proto.Answer) {
	s.evictExpired(now)
	if created.After(now.Add(MaxClockSkew)) {
		return FutureKey, nil
	}
	if c := s.claims[key]; c != nil {
		return c.decideAgain(fingerprint, r, now)
	}
	if !created.After(s.start) || !created.After(now.Add(-Retention)) {
		return MayHaveRun, nil
	}
	s.add(key, &claim{fingerprint: fingerprint, request: r, claimedAt: now})
	return Granted, nil
}

func (c *claim) decideAgain(fingerprint [32]byte, r ident.Request, now time.Time) (Decision, *proto.Answer) {
	switch {
	case c.fingerprint != fingerprint:
		return Mismatch, nil
	case c.request == r && !c.done:
		return Granted, nil // the same request claims the key again, having got no response
	case !c.done && now.Sub(c.claimedAt) < lostAfter:
		return InProgress, nil
	case c.response != nil:
		return Replay, c.response
	default:
		return MayHaveRun, nil
	}
}

func (s *Shard) add(key string, c *claim) {
	s.claims[key] = c
	s.byArrival = append(s.byArrival, key)
}

// Finish records the end of a request. If ran is false, the request provably did not
// run, and the key is released.
func (s *Shard) Finish(key string, r ident.Request, ran bool, response *proto.Answer) {
	c := s.claims[key]
	if c == nil || c.request != r || c.done {
		return
	}
	if !ran {
		delete(s.claims, key)
		return
	}
	c.done = true
	if len(response.GetBody()) <= maxResponse {
		c.response = response
	}
}

// evictExpired removes claims whose keys are too old to be granted again.
func (s *Shard) evictExpired(now time.Time) {
	for len(s.byArrival) > 0 {
		c := s.claims[s.byArrival[0]]
		if c != nil && now.Sub(c.claimedAt) < Retention+2*MaxClockSkew {
			return
		}
		delete(s.claims, s.byArrival[0])
		s.byArrival = s.byArrival[1:]
	}
}

// Started reports whether a key created at now falls into the term.
func (s *Shard) Started(now time.Time) bool { return now.After(s.start) }

// Len returns the number of claims.
func (s *Shard) Len() int { return len(s.claims) }

// Export returns the start of the term and its claims for the next lease holder.
func (s *Shard) Export() (time.Time, []*proto.Claim) {
	out := make([]*proto.Claim, 0, len(s.claims))
	for _, key := range s.byArrival {
		c := s.claims[key]
		if c == nil {
			continue
		}
		out = append(out, &proto.Claim{
			Key:         key,
			Fingerprint: c.fingerprint[:],
			Request:     string(c.request),
			Done:        c.done,
			Answer:      c.response,
			AtMs:        c.claimedAt.UnixMilli(),
		})
	}
	return s.start, out
}

// Import continues the term of the previous lease holder, which must not grant any
// more keys.
func Import(start time.Time, claims []*proto.Claim) *Shard {
	s := &Shard{start: start, claims: make(map[string]*claim, len(claims))}
	for _, p := range claims {
		c := &claim{
			request:   ident.Request(p.GetRequest()),
			done:      p.GetDone(),
			response:  p.GetAnswer(),
			claimedAt: time.UnixMilli(p.GetAtMs()),
		}
		copy(c.fingerprint[:], p.GetFingerprint())
		s.add(p.GetKey(), c)
	}
	return s
}
