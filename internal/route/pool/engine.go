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

// engineState is the state of one engine as this VM knows it. The pool's lock guards it.
type engineState struct {
	server        config.Server
	hash          uint64
	report        engine.Load
	reported      bool
	drainingSince time.Time       // when it was first reported as draining; zero: it is not
	localStreams  int             // this VM's streams
	localMemory   int             // memory of this VM's streams, in tokens
	localForecast length.Forecast // predicted memory of this VM's streams
	changes       []change        // of this VM's streams since the report
	breaker       retry.Breaker
	inferred      length.Forecast // predicted memory of other VMs' streams
}

// change is a start or end of a local stream after the last report.
type change struct {
	at      time.Time
	streams int // +1 or -1
	memory  int // added memory, in tokens; negative for an end
}

func newEngineState(s config.Server) *engineState {
	return &engineState{server: s, hash: xxhash.Sum64String(string(s.Name))}
}

// usable reports whether the engine may get new work.
func (e *engineState) usable(now time.Time) bool {
	return e.reported && !e.report.Draining && now.Sub(e.report.AsOf) < staleAfter && !e.breaker.IsOpen()
}

// update stores a load report and infers the streams of other VMs: those in the
// report less this VM's own at that time, assumed to be observed at random
// moments of their runs.
func (e *engineState) update(l engine.Load, curve *length.Curve, now time.Time) {
	if e.reported && l.AsOf.Before(e.report.AsOf) {
		return
	}
	if l.Draining && e.drainingSince.IsZero() {
		e.drainingSince = now
	}
	if !l.Draining {
		e.drainingSince = time.Time{}
	}
	e.report = l
	e.reported = true
	e.dropReported(l.AsOf)
	streams, memory := l.Running+l.Waiting-e.localStreams, l.MemoryUsed-e.localMemory
	for _, c := range e.changes {
		streams += c.streams
		memory += c.memory
	}
	e.inferred = curve.ForecastRunning(streams, float64(memory))
}

// dropReported drops the changes that a report made at t includes.
func (e *engineState) dropReported(t time.Time) {
	kept := e.changes[:0]
	for _, c := range e.changes {
		if c.at.After(t) {
			kept = append(kept, c)
		}
	}
	e.changes = kept
}

// policyView returns the engine as the placement policy sees it. It adds streams
// of other VMs that are not in the report yet: about unreportedRate per second,
// since the load balancer spreads clients evenly.
func (e *engineState) policyView(now time.Time, unreportedRate float64, newForecast *length.Forecast, prefix uint64) place.Engine {
	view := place.Engine{
		Memory:         float64(e.report.MemorySize),
		ReportedMemory: float64(e.report.MemoryUsed),
		OwnStreams:     e.localStreams,
		Predicted:      e.localForecast,
		Weight:         e.breaker.Weight(now),
		Affinity:       rendezvousScore(e.hash, prefix),
		Skip:           !e.usable(now),
	}
	view.Predicted.Add(&e.inferred, 1)
	view.Predicted.Add(newForecast, unreportedRate*now.Sub(e.report.AsOf).Seconds())
	return view
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
