package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
)

// Field numbers of what a run expects of its engine, in a placement request, and of the time per
// token that runs have measured, in a load. VMs that do not know them send none, and zero means
// unknown.
const (
	requestOutput        = 24
	requestGapTarget     = 25
	requestEventTokens   = 26
	requestLatencyTarget = 27
	requestRemaining     = 29

	loadPaceRuns   = 8
	loadPaceMicros = 9

	// maxPace bounds the runs and the sum of their times in a load, so that the sums over all
	// VMs do not overflow. It is the sum of 100,000 runs of 10 s per token.
	maxPace = 1 << 40
)

// appendExpectations appends what a run expects of its engine.
func appendExpectations(b []byte, run *pick.Request) []byte {
	b = appendKnown(b, requestOutput, run.Output)
	b = appendKnown(b, requestGapTarget, int(run.GapTarget))
	b = appendKnown(b, requestEventTokens, run.EventTokens)
	b = appendKnown(b, requestLatencyTarget, int(run.LatencyTarget))
	return appendKnown(b, requestRemaining, int(run.Remaining))
}

// setExpectation sets one field of what a run expects of its engine.
func setExpectation(run *pick.Request, n protowire.Number, v uint64) {
	switch n {
	case requestOutput:
		run.Output = int(min(v, math.MaxInt64))
	case requestGapTarget:
		run.GapTarget = time.Duration(min(v, math.MaxInt64))
	case requestEventTokens:
		run.EventTokens = int(min(v, math.MaxInt64))
	case requestLatencyTarget:
		run.LatencyTarget = time.Duration(min(v, math.MaxInt64))
	case requestRemaining:
		run.Remaining = time.Duration(min(v, math.MaxInt64))
	}
}

// appendPace appends the measured times per token of a load.
func appendPace(b []byte, l alloc.Load) []byte {
	b = appendKnown(b, loadPaceRuns, l.PaceRuns)
	return appendKnown(b, loadPaceMicros, l.PaceMicros)
}

// setPace sets one field of the measured times per token of a load.
func setPace(l *alloc.Load, n protowire.Number, v uint64) {
	switch n {
	case loadPaceRuns:
		l.PaceRuns = int(min(v, maxPace))
	case loadPaceMicros:
		l.PaceMicros = int(min(v, maxPace))
	}
}

// appendKnown appends a number, unless it is zero or negative.
func appendKnown(b []byte, n protowire.Number, v int) []byte {
	if v <= 0 {
		return b
	}
	return appendNumber(b, n, uint64(v))
}
