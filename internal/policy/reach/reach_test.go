package reach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/reach"
)

// step applies one result to a tracker.
type step func(t *reach.Tracker, now time.Time)

func connected(id ident.Server) step {
	return func(t *reach.Tracker, now time.Time) { t.Connected(id, now) }
}

func failed(id ident.Server) step {
	return func(t *reach.Tracker, now time.Time) { t.Failed(id, now) }
}

func byPeer(id ident.Server) step {
	return func(t *reach.Tracker, now time.Time) { t.ConnectedByPeer(id, now) }
}

func failedByPeer(id ident.Server) step {
	return func(t *reach.Tracker, now time.Time) { t.FailedByPeer(id, now) }
}

// TestEvidence checks what results of connections to the servers a and b, a millisecond
// apart, say about a and about this VM.
func TestEvidence(t *testing.T) {
	for name, tc := range map[string]struct {
		steps    []step
		plan     reach.Plan
		isolated bool
		blames   bool // whether a failure of a counts against a
	}{
		"nothing known":                 {plan: reach.DirectFirst},
		"connected":                     {steps: []step{connected("a")}, plan: reach.DirectFirst, blames: true},
		"failed":                        {steps: []step{connected("b"), failed("a")}, plan: reach.DirectFirst, blames: true},
		"never connected to any server": {steps: []step{failed("a")}, plan: reach.DirectFirst},
		"another server failed as well": {steps: []step{connected("b"), failed("b"), failed("a")}, plan: reach.DirectFirst},
		"dead servers":                  {steps: []step{connected("b"), failed("b"), failedByPeer("b"), failed("a"), failedByPeer("a")}, plan: reach.DirectOnly},
		"another VM connects":           {steps: []step{failed("a"), byPeer("a")}, plan: reach.PeerFirst, isolated: true},
		"one server is cut off":         {steps: []step{failed("a"), byPeer("a"), connected("b")}, plan: reach.PeerFirst, blames: true},
		"the cut ended":                 {steps: []step{failed("a"), byPeer("a"), connected("a")}, plan: reach.DirectFirst, blames: true},
		"another VM fails too":          {steps: []step{connected("b"), failed("a"), failedByPeer("a")}, plan: reach.DirectOnly, blames: true},
		"another VM fails first":        {steps: []step{connected("b"), failedByPeer("a"), failed("a")}, plan: reach.DirectOnly, blames: true},
		"the server is back":            {steps: []step{connected("b"), failed("a"), failedByPeer("a"), connected("a")}, plan: reach.DirectFirst, blames: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := reach.New(), time.Now()
			for _, s := range tc.steps {
				now = now.Add(time.Millisecond)
				s(tracker, now)
			}
			assert.Equal(t, tracker.Isolated(now), tc.isolated)
			assert.Equal(t, tracker.Blames("a", now), tc.blames)
			assert.Equal(t, tracker.Plan("a", now), tc.plan)
		})
	}
}

// TestProbes checks how often a server that is cut off is tried directly, and that a cut is
// forgotten without new evidence.
func TestProbes(t *testing.T) {
	const (
		cutTime  = 10 * time.Second
		interval = time.Millisecond
	)
	tracker, now := reach.New(), time.Now()
	tracker.Failed("a", now)
	tracker.ConnectedByPeer("a", now)
	probes, longest, last := 0, time.Duration(0), now
	for end := now.Add(cutTime); now.Before(end); now = now.Add(interval) {
		if tracker.Plan("a", now) == reach.Both {
			longest, last = max(longest, now.Sub(last)), now
			tracker.Failed("a", now)
			probes++
		}
	}
	assert.Assert(t, probes <= 15, "%d probes", probes)
	assert.Assert(t, longest <= 1100*time.Millisecond, "%s between two probes", longest)
	assert.Equal(t, tracker.CutOffCount(now), 1)
	assert.Equal(t, tracker.CutOffCount(now.Add(time.Minute)), 0)
	assert.Equal(t, tracker.Plan("a", now.Add(time.Minute)), reach.DirectFirst)
}
