package pool

import (
	"time"

	"umberladder/internal/policy/length"
	"umberladder/internal/state/config"
)

// Seat is a generation's place on an engine. One goroutine uses it, and
// releases it once.
type Seat struct {
	Server config.Server

	pool     *Pool
	node     *node
	est      *length.Estimator
	common   *length.Estimator
	prompt   int
	produced int
	counted  int // memory counted on the node, in tokens
	next     int // first length of the next bucket
	bucket   int
	share    length.Share
	released bool
}

// At returns the engine.
func (s *Seat) At() config.Server { return s.Server }

// Progress notes that the generation has produced n tokens in all. It is
// cheap until n passes into another bucket of lengths.
func (s *Seat) Progress(n int) {
	s.produced = n
	if n < s.next {
		return
	}
	for n >= length.Bound(s.bucket+1) && s.bucket < length.Buckets-1 {
		s.est.Passed(s.bucket)
		s.common.Passed(s.bucket)
		s.bucket++
	}
	s.next = length.Bound(s.bucket + 1)
	s.refresh()
}

// refresh renews what the stream is predicted to hold.
func (s *Seat) refresh() {
	share := s.est.Curve().Share(s.produced, s.prompt)
	held := s.prompt + s.produced
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.node.share.Add(&s.share, -1)
	s.node.share.Add(&share, 1)
	s.node.memory += held - s.counted
	s.counted = held
	s.share = share
}

// Ending says how a generation left its engine.
type Ending uint8

// The endings.
const (
	Whole   Ending = iota // it ended by itself
	CutOff                // it was cancelled or the caller left
	Lost                  // the engine was lost or failed
	Refused               // the engine refused to start it
)

// Release gives the place back.
func (s *Seat) Release(end Ending, now time.Time) {
	if s.released {
		return
	}
	s.released = true
	if end == Whole {
		s.est.Ended(s.bucket)
		s.common.Ended(s.bucket)
	}
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	s.node.own--
	s.node.since = append(s.node.since, change{at: now, streams: -1, memory: -s.counted})
	s.node.memory -= s.counted
	s.node.share.Add(&s.share, -1)
	if s.node.own == 0 {
		s.node.share = length.Share{}
		s.node.memory = 0
	}
	switch end {
	case Lost:
		s.node.breaker.Failure(now, p.rng.Float64())
	case Whole:
		s.node.breaker.Success(now)
	}
	p.dispatch(now)
}
