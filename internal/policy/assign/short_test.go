package assign

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestChooseForShortRun guards against prompts of short runs that delay streams while another
// engine has none, and against short runs that gather on one engine until they miss their own
// latency target.
func TestChooseForShortRun(t *testing.T) {
	short := Run{Required: 2600, Prefill: 2550, Output: 8, LatencyTarget: 1500 * time.Millisecond}
	long := Run{Required: 2800, Prefill: 2550, Output: 750, LatencyTarget: 1500 * time.Millisecond}
	streams := func(n int) Server {
		return engine(func(s *Server) { s.InFlight, s.ReservedTokens = n, 1000*n })
	}
	full := engine(func(s *Server) { s.ReservedTokens = 30_000 })
	backlog := func(n, tokens int) Server {
		return engine(func(s *Server) { s.InFlight, s.PrefillBacklog = n, tokens })
	}
	for name, tc := range map[string]struct {
		run     Run
		servers []Server
		want    int
	}{
		"avoids streams in favour of fuller memory":        {run: short, servers: []Server{streams(3), full}, want: 1},
		"a long run prefers emptier memory":                {run: long, servers: []Server{streams(3), full}, want: 0},
		"an unknown output counts as long":                 {run: Run{Required: 2600, Prefill: 2550}, servers: []Server{streams(3), full}, want: 0},
		"a run without prefill counts as long":             {run: Run{Required: 2600, Output: 8}, servers: []Server{streams(3), full}, want: 0},
		"waits for one prompt rather than delay 5 streams": {run: short, servers: []Server{streams(5), backlog(1, 2550)}, want: 1},
		"does not gather beyond its latency target":        {run: short, servers: []Server{streams(3), backlog(1, 3500)}, want: 0},
		"avoids an idle engine that fails":                 {run: short, servers: []Server{streams(4), engine(func(s *Server) { s.Weight = FailureWeight(2) })}, want: 0},
		"avoids a failing engine":                          {run: short, servers: []Server{streams(3), engine(func(s *Server) { s.InFlight, s.Weight = 1, 0.1 })}, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				assert.Equal(t, ChooseEngine(&tc.run, MaxCallFill, CrossDomainCallCost, tc.servers, rng), tc.want)
			}
		})
	}
	t.Run("VMs that decide by themselves do not all choose the same engine", func(t *testing.T) {
		servers := []Server{streams(1), streams(0), streams(1), streams(1), streams(1)}
		local, counts := short, make([]int, len(servers))
		local.Local = true
		rng := rand.New(rand.NewPCG(1, 2))
		for range 60 {
			counts[ChooseEngine(&local, MaxCallFill, CrossDomainCallCost, servers, rng)]++
		}
		assert.Assert(t, slices.Max(counts) <= 45, "chosen: %v", counts)
		assert.Equal(t, slices.Max(counts), counts[1], "the engine without streams is preferred")
	})
}
