// Package term holds the claims on idempotency keys of one shard for one
// term, and decides which key may run. docs/design/03-at-most-once.md gives
// the argument that a key runs at most once over all terms.
package term

import (
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
)

// Verdict is what the holder of a shard says of a key.
type Verdict uint8

// The verdicts.
const (
	Run       Verdict = iota // this request may run
	Replay                   // an earlier one ran to its end; here is its answer
	Running                  // an earlier one is running
	MayRun                   // an earlier one may have run
	Mismatch                 // the key came with another request before
	Early                    // the key was minted in the future
	NotHolder                // this VM does not hold the shard now
)

const (
	// Kept is how long a claim is remembered. A key minted earlier is
	// answered as one that may have run.
	Kept = time.Hour
	// Margin bounds how far any two clocks of the system are apart.
	Margin = 250 * time.Millisecond
	// runLimit is when a running claim's VM is taken to be lost.
	runLimit = 15 * time.Minute
	// maxAnswer is the longest answer kept, in bytes.
	maxAnswer = 16 << 10
)

// Shard holds the claims on its keys for one term. While it is held, every
// key it lets run was minted after Start, so no earlier holder can have let
// it run. It is not safe for use by several goroutines.
type Shard struct {
	start  time.Time // by the store's clock, with the margin for skew
	claims map[string]*claimed
	order  []string // keys by arrival, to forget the oldest first
}

type claimed struct {
	sum     [32]byte
	request ident.Request
	at      time.Time
	done    bool
	answer  *proto.Answer
}

// New starts a term at the store's time now.
func New(now time.Time) *Shard {
	return &Shard{start: now.Add(2 * Margin), claims: map[string]*claimed{}}
}

// Claim decides whether the request may run the key, which was minted at the
// given time. now is this VM's clock.
func (s *Shard) Claim(key string, minted time.Time, sum [32]byte, r ident.Request, now time.Time) (Verdict, *proto.Answer) {
	s.forget(now)
	if minted.After(now.Add(Margin)) {
		return Early, nil
	}
	if c := s.claims[key]; c != nil {
		return c.again(sum, r, now)
	}
	if !minted.After(s.start) || !minted.After(now.Add(-Kept)) {
		return MayRun, nil
	}
	s.add(key, &claimed{sum: sum, request: r, at: now})
	return Run, nil
}

func (c *claimed) again(sum [32]byte, r ident.Request, now time.Time) (Verdict, *proto.Answer) {
	switch {
	case c.sum != sum:
		return Mismatch, nil
	case c.request == r && !c.done:
		return Run, nil // the same request asks again, since it heard no answer
	case !c.done && now.Sub(c.at) < runLimit:
		return Running, nil
	case c.answer != nil:
		return Replay, c.answer
	default:
		return MayRun, nil
	}
}

func (s *Shard) add(key string, c *claimed) {
	s.claims[key] = c
	s.order = append(s.order, key)
}

// Finish notes the end of a request. One that provably did not run gives the
// key back.
func (s *Shard) Finish(key string, r ident.Request, ran bool, answer *proto.Answer) {
	c := s.claims[key]
	if c == nil || c.request != r || c.done {
		return
	}
	if !ran {
		delete(s.claims, key)
		return
	}
	c.done = true
	if len(answer.GetBody()) <= maxAnswer {
		c.answer = answer
	}
}

// forget drops claims whose keys are too old to be let run again.
func (s *Shard) forget(now time.Time) {
	for len(s.order) > 0 {
		c := s.claims[s.order[0]]
		if c != nil && now.Sub(c.at) < Kept+2*Margin {
			return
		}
		delete(s.claims, s.order[0])
		s.order = s.order[1:]
	}
}

// Begun reports whether a key minted at now is inside the term.
func (s *Shard) Begun(now time.Time) bool { return now.After(s.start) }

// Len returns how many claims are remembered.
func (s *Shard) Len() int { return len(s.claims) }

// Export returns the term and its claims for the next holder.
func (s *Shard) Export() (time.Time, []*proto.Claim) {
	out := make([]*proto.Claim, 0, len(s.claims))
	for _, key := range s.order {
		c := s.claims[key]
		if c == nil {
			continue
		}
		out = append(out, &proto.Claim{
			Key:         key,
			Fingerprint: c.sum[:],
			Request:     string(c.request),
			Done:        c.done,
			Answer:      c.answer,
			AtMs:        c.at.UnixMilli(),
		})
	}
	return s.start, out
}

// Import continues the term of the holder before, which will let no key run
// any more.
func Import(start time.Time, claims []*proto.Claim) *Shard {
	s := &Shard{start: start, claims: make(map[string]*claimed, len(claims))}
	for _, w := range claims {
		c := &claimed{
			request: ident.Request(w.GetRequest()),
			done:    w.GetDone(),
			answer:  w.GetAnswer(),
			at:      time.UnixMilli(w.GetAtMs()),
		}
		copy(c.sum[:], w.GetFingerprint())
		s.add(w.GetKey(), c)
	}
	return s
}
