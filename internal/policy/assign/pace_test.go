package assign

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// paced returns an engine with streams under way whose speed is known, relative to a median of
// 7 ms per token.
func paced(streams int, slowdown float64) Server {
	const median = 7 * time.Millisecond
	return engine(func(s *Server) {
		s.InFlight, s.ReservedTokens = streams, 3000*streams
		s.Pace = Pace{PerToken: time.Duration(slowdown * float64(median)), Median: median, Streams: streams}
	})
}

// TestChooseByPace guards against prompts that delay the streams of a slow engine past their gap
// target, and against long runs that gather on fast engines or wait although a slow one has room.
func TestChooseByPace(t *testing.T) {
	const slow, fast = 5.0 / 3, 5.0 / 8
	short := Run{Required: 2600, Prefill: 2550, Output: 8, LatencyTarget: 1500 * time.Millisecond, GapTarget: 180 * time.Millisecond, EventTokens: 4}
	long := Run{Required: 3300, Prefill: 3079, Output: 748, LatencyTarget: 1800 * time.Millisecond, GapTarget: 180 * time.Millisecond, EventTokens: 4}
	full := engine(func(s *Server) { s.InFlight = 24 })
	for name, tc := range map[string]struct {
		run     Run
		servers []Server
		want    int
	}{
		"a short run avoids streams on a slow engine":             {run: short, servers: []Server{paced(1, slow), paced(2, 1)}, want: 1},
		"a short run takes a slow engine without streams":         {run: short, servers: []Server{paced(0, slow), paced(1, fast)}, want: 0},
		"a long run prefers a fast engine":                        {run: long, servers: []Server{paced(1, slow), paced(3, fast)}, want: 1},
		"a long run does not gather on a fast engine":             {run: long, servers: []Server{paced(3, 1), paced(7, fast)}, want: 0},
		"a long run takes a slow engine when the others are full": {run: long, servers: []Server{paced(5, slow), full}, want: 0},
		"an engine of unknown speed counts as median":             {run: long, servers: []Server{paced(0, slow), paced(0, 0)}, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				assert.Equal(t, ChooseEngine(&tc.run, MaxCallFill, CrossDomainCallCost, tc.servers, rng), tc.want)
			}
		})
	}
	t.Run("VMs that decide by themselves do not all choose the fastest engine", func(t *testing.T) {
		servers := []Server{paced(2, 1), paced(2, fast), paced(2, 1), paced(2, fast), paced(2, 1)}
		local, counts := long, make([]int, len(servers))
		local.Local = true
		rng := rand.New(rand.NewPCG(1, 2))
		for range 60 {
			counts[ChooseEngine(&local, MaxCallFill, CrossDomainCallCost, servers, rng)]++
		}
		assert.Assert(t, slices.Max(counts) <= 30, "chosen: %v", counts)
	})
	t.Run("a wrong measurement costs no more than the bound of the slowdown", func(t *testing.T) {
		for _, run := range []Run{short, long} {
			for _, pair := range [][2]float64{{maxSlowdown, 1000}, {minSlowdown, 0.001}} {
				bound, wrong := paced(3, pair[0]), paced(3, pair[1])
				assert.Equal(t, wrong.cost(&run, 0), bound.cost(&run, 0))
			}
		}
	})
	t.Run("speeds that do not differ change no cost", func(t *testing.T) {
		for _, run := range []Run{short, long} {
			s := paced(3, slow)
			s.Pace.Median = 0
			without := s
			without.Pace = Pace{}
			assert.Equal(t, s.cost(&run, 0), without.cost(&run, 0))
		}
	})
}
