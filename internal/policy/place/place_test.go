package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/policy/length"
)

func engines(n int, used float64) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{Memory: 1000, Weight: 1, Affinity: uint64(i)}
		for j := range out[i].Predicted.Mean {
			out[i].Predicted.Mean[j] = used
		}
	}
	return out
}

func request() *Request {
	req := &Request{OverflowZ: length.NormalQuantile(0.05), MaxFill: 1, PromptTokens: 50}
	for j := range req.Forecast.Mean {
		req.Forecast.Mean[j], req.Forecast.Var[j] = 50, 2500
	}
	return req
}

func TestPredictedLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	p := PredictedLoad{}
	t.Run("prefers the engine with the prefix", func(t *testing.T) {
		assert.Equal(t, p.Choose(request(), engines(4, 300), rng), 3)
	})
	t.Run("avoids the engine with the prefix if it is much fuller", func(t *testing.T) {
		e := engines(4, 300)
		e[3].Predicted.Mean[0] = 600
		assert.Assert(t, p.Choose(request(), e, rng) != 3)
	})
	t.Run("never chooses an engine that would overflow", func(t *testing.T) {
		e := engines(4, 990)
		e[1].Predicted = length.Forecast{}
		for range 50 {
			assert.Equal(t, p.Choose(request(), e, rng), 1)
		}
	})
	t.Run("chooses none if all would overflow", func(t *testing.T) {
		assert.Equal(t, p.Choose(request(), engines(4, 990), rng), -1)
	})
	t.Run("leaves the reserve free", func(t *testing.T) {
		req := request()
		req.MaxFill = 0.5
		assert.Equal(t, p.Choose(req, engines(4, 450), rng), -1)
	})
	t.Run("skips excluded engines", func(t *testing.T) {
		e := engines(2, 0)
		e[1].Skip = true
		assert.Equal(t, p.Choose(request(), e, rng), 0)
	})
}

func TestBaselinesSkip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, name := range []string{"predicted", "round-robin", "least-load", "two-choices"} {
		t.Run(name, func(t *testing.T) {
			c := New(name)
			e := engines(3, 0)
			e[0].Skip, e[2].Skip = true, true
			for range 10 {
				assert.Equal(t, c.Choose(request(), e, rng), 1)
			}
			e[1].Skip = true
			assert.Equal(t, c.Choose(request(), e, rng), -1)
		})
	}
	assert.Assert(t, New("other") == nil)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 128, 2048} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			e, req := engines(n, 300), request()
			b.ReportAllocs()
			for b.Loop() {
				PredictedLoad{}.Choose(req, e, rng)
			}
		})
	}
}
