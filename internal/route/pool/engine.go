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
	// staleAfter is the age at which a load report is no longer used. Together with
	// DrainGrace it bounds how long a draining engine can get new work.
	staleAfter = 2 * time.Second
	// DrainGrace is the time after which a draining engine must get no new work.
	DrainGrace = 3 * time.Second
)

// node is the state of one engine as this VM knows it. The pool's lock guards it.
type node struct {
	server        config.Server
	hash          uint64
	report        engine.Load
	reported      bool
	drainingSince time.Time // when it was first reported as draining; zero: it is not
	localStreams  int       // this VM's streams
	localMemory   int       // memory of this VM's streams, in tokens
	localShare    length.Forecast
	changes       []change // of this VM's streams since the report
	breaker       retry.Breaker
	inferred      length.Forecast // predicted memory of other VMs' streams
}

// change is a start or end of a local stream after the last report.
type change struct {
	at      time.Time
	streams int // +1 or -1
	memory  int // added memory, in tokens; negative for an end
}

func newNode(s config.Server) *node {
	return &node{server: s, hash: xxhash.Sum64String(string(s.Name))}
}

// usable reports whether the engine may get new work.
func (n *node) usable(now time.Time) bool {
	return n.reported && !n.report.Draining && now.Sub(n.report.AsOf) < staleAfter && !n.breaker.Open()
}

// update stores a load report and infers the streams of other VMs: those in the
// report less this VM's own at that time, assumed to be observed at random
// moments of their runs.
func (n *node) update(l engine.Load, curve *length.Curve, now time.Time) {
	if n.reported && l.AsOf.Before(n.report.AsOf) {
		return
	}
	if l.Draining && n.drainingSince.IsZero() {
		n.drainingSince = now
	}
	if !l.Draining {
		n.drainingSince = time.Time{}
	}
	n.report = l
	n.reported = true
	n.dropReported(l.AsOf)
	streams, memory := l.Running+l.Waiting-n.localStreams, l.MemoryUsed-n.localMemory
	for _, c := range n.changes {
		streams += c.streams
		memory += c.memory
	}
	n.inferred = curve.ForecastRunning(streams, float64(memory))
}

// dropReported drops the changes that a report made at t includes.
func (n *node) dropReported(t time.Time) {
	kept := n.changes[:0]
	for _, c := range n.changes {
		if c.at.After(t) {
			kept = append(kept, c)
		}
	}
	n.changes = kept
}

// policyView returns the engine as the placement policy sees it. It adds streams
// of other VMs that are not in the report yet: about unreportedRate per second,
// since the load balancer spreads callers evenly.
func (n *node) policyView(now time.Time, unreportedRate float64, newShare *length.Forecast, prefix uint64) place.Engine {
	e := place.Engine{
		Memory:         float64(n.report.MemorySize),
		ReportedMemory: float64(n.report.MemoryUsed),
		OwnStreams:     n.localStreams,
		Predicted:      n.localShare,
		Weight:         n.breaker.Weight(now),
		Affinity:       rendezvousScore(n.hash, prefix),
		Skip:           !n.usable(now),
	}
	e.Predicted.Add(&n.inferred, 1)
	e.Predicted.Add(newShare, unreportedRate*now.Sub(n.report.AsOf).Seconds())
	return e
}

// rendezvousScore ranks an engine for a prefix (rendezvous hashing: Thaler and
// Ravishankar, 1998), with the finalizer of SplitMix64.
func rendezvousScore(a, b uint64) uint64 {
	x := a ^ b
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
