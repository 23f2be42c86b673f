package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/length"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/state/config"
)

const (
	// staleAfter is the age at which a report says nothing of an engine any
	// more. Together with LeaveGrace it bounds how long a leaving engine can
	// get new work.
	staleAfter = 2 * time.Second
	// LeaveGrace is when a leaving server must get no new work any more.
	LeaveGrace = 3 * time.Second
)

// node is what this VM knows of one engine. The pool's lock guards it.
type node struct {
	server   config.Server
	hash     uint64
	report   engine.Load
	known    bool
	leftAt   time.Time // when it was first seen leaving
	own      int       // this VM's streams
	memory   int       // their memory, in tokens
	share    length.Share
	placed   []placement // this VM's since the report
	breaker  retry.Breaker
	inferred length.Share // of other VMs' streams
}

// placement is one own stream placed after the last report.
type placement struct {
	at    time.Time
	share length.Share
}

func newNode(s config.Server) *node {
	return &node{server: s, hash: xxhash.Sum64String(string(s.Name))}
}

// usable reports whether new work may go to the engine.
func (n *node) usable(now time.Time) bool {
	return n.known && !n.report.Leaving && now.Sub(n.report.At) < staleAfter && !n.breaker.Open()
}

// learn takes a report and infers what other VMs hold: the report less this
// VM's own streams, as streams of their mean age.
func (n *node) learn(l engine.Load, c *length.Curve, now time.Time) {
	if n.known && l.At.Before(n.report.At) {
		return
	}
	if l.Leaving && n.leftAt.IsZero() {
		n.leftAt = now
	}
	if !l.Leaving {
		n.leftAt = time.Time{}
	}
	n.report = l
	n.known = true
	n.forget(l.At)
	others := l.Running + l.Waiting - (n.own - len(n.placed))
	held := l.MemoryUsed - n.memory
	n.inferred = length.Share{}
	if others <= 0 {
		return
	}
	mean := max(held, 0) / others
	s := c.Share(mean, 0)
	n.inferred.Add(&s, float64(others))
}

// forget drops the placements that a report made at t has seen.
func (n *node) forget(t time.Time) {
	keep := n.placed[:0]
	for _, p := range n.placed {
		if p.at.After(t) {
			keep = append(keep, p)
		}
	}
	n.placed = keep
}

// view is what the policy sees of the engine. Each of this VM's placements
// that no report has seen stands for one more by each of the other VMs, since
// the balancer spreads callers evenly.
func (n *node) view(now time.Time, vms int, prefix uint64) place.Engine {
	e := place.Engine{
		Size:      float64(n.report.MemorySize),
		Reported:  float64(n.report.MemoryUsed),
		Streams:   n.report.Running + n.report.Waiting,
		Own:       n.own,
		Predicted: n.share,
		Weight:    n.breaker.Weight(now),
		Affinity:  mix(n.hash, prefix),
		Skip:      !n.usable(now),
	}
	e.Predicted.Add(&n.inferred, 1)
	for i := range n.placed {
		e.Predicted.Add(&n.placed[i].share, float64(vms-1))
	}
	return e
}

// mix ranks an engine for a prefix (rendezvous hashing: Thaler and
// Ravishankar, 1998), with the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
