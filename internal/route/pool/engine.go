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
	since    []change // of this VM's streams since the report
	breaker  retry.Breaker
	inferred length.Share // of other VMs' streams
}

// change is one own stream that came or went after the last report.
type change struct {
	at      time.Time
	streams int // +1 or -1
	memory  int // likewise, in tokens
}

func newNode(s config.Server) *node {
	return &node{server: s, hash: xxhash.Sum64String(string(s.Name))}
}

// usable reports whether new work may go to the engine.
func (n *node) usable(now time.Time) bool {
	return n.known && !n.report.Leaving && now.Sub(n.report.At) < staleAfter && !n.breaker.Open()
}

// learn takes a report and infers what other VMs hold: the report less this
// VM's own streams at that time, as streams met at random moments.
func (n *node) learn(l engine.Load, curve *length.Curve, now time.Time) {
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
	streams, memory := l.Running+l.Waiting-n.own, l.MemoryUsed-n.memory
	for _, c := range n.since {
		streams += c.streams
		memory += c.memory
	}
	n.inferred = curve.Running(streams, float64(memory))
}

// forget drops the changes that a report made at t has seen.
func (n *node) forget(t time.Time) {
	keep := n.since[:0]
	for _, c := range n.since {
		if c.at.After(t) {
			keep = append(keep, c)
		}
	}
	n.since = keep
}

// view is what the policy sees of the engine. Other VMs place streams that no
// report has shown yet: about unseen a second, since the balancer spreads
// callers evenly.
func (n *node) view(now time.Time, unseen float64, fresh *length.Share, prefix uint64) place.Engine {
	e := place.Engine{
		Size:      float64(n.report.MemorySize),
		Reported:  float64(n.report.MemoryUsed),
		Own:       n.own,
		Predicted: n.share,
		Weight:    n.breaker.Weight(now),
		Affinity:  mix(n.hash, prefix),
		Skip:      !n.usable(now),
	}
	e.Predicted.Add(&n.inferred, 1)
	e.Predicted.Add(fresh, unseen*now.Sub(n.report.At).Seconds())
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
