package assign

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func engine(f func(s *Server)) Server {
	s := Server{Slots: 24, Memory: 34_000, Weight: 1}
	f(&s)
	return s
}

func TestChoose(t *testing.T) {
	idle := engine(func(*Server) {})
	for name, tc := range map[string]struct {
		need    int
		share   float64
		far     float64
		servers []Server
		want    int
	}{
		"the emptier":              {need: 4000, share: Full, servers: []Server{engine(func(s *Server) { s.Tokens = 9000 }), idle}, want: 1},
		"not behind a long prompt": {need: 4000, share: Full, servers: []Server{engine(func(s *Server) { s.Backlog = 6000 }), engine(func(s *Server) { s.Tokens = 8000 })}, want: 1},
		"nothing has room":         {need: 4000, share: Full, servers: []Server{engine(func(s *Server) { s.Tokens = 31_000 })}, want: -1},
		"no slot":                  {need: 1, share: Full, servers: []Server{engine(func(s *Server) { s.Seats = 24 })}, want: -1},
		"copies leave room":        {need: 4000, share: Spare, servers: []Server{engine(func(s *Server) { s.Tokens = 20_000 })}, want: -1},
		"a copy stays near":        {need: 4000, share: Spare, far: FarCopy, servers: []Server{engine(func(s *Server) { s.Far = true }), engine(func(s *Server) { s.Tokens = 4000 })}, want: 1},
		"a call need not":          {need: 4000, share: Full, far: FarCall, servers: []Server{engine(func(s *Server) { s.Far = true }), engine(func(s *Server) { s.Tokens = 4000 })}, want: 0},
		"a call does if it can":    {need: 4000, share: Full, far: FarCall, servers: []Server{engine(func(s *Server) { s.Far = true }), engine(func(s *Server) { s.Tokens = 1000 })}, want: 1},
		"copies do not queue":      {need: 4000, share: Spare, far: FarCopy, servers: []Server{engine(func(s *Server) { s.Copies = 2 }), engine(func(s *Server) { s.Tokens = 9000 })}, want: 1},
		"not a failing one":        {need: 4000, share: Full, servers: []Server{engine(func(s *Server) { s.Weight = 0.2 }), engine(func(s *Server) { s.Tokens = 9000 })}, want: 1},
		"not one that was tried":   {need: 4000, share: Full, servers: []Server{engine(func(s *Server) { s.Skip = true })}, want: -1},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				assert.Equal(t, Choose(tc.need, tc.share, tc.far, tc.servers, rng), tc.want)
			}
		})
	}
}

func TestChoosePlain(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	near, far := Server{Slots: 6, Weight: 1}, Server{Slots: 6, Weight: 1, Far: true}
	busy := Server{Slots: 6, Weight: 1, Seats: 4}
	assert.Equal(t, ChoosePlain([]Server{far, near}, rng), 1)
	assert.Equal(t, ChoosePlain([]Server{busy, far}, rng), 1)
	assert.Equal(t, ChoosePlain(nil, rng), -1)
}

func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	servers := make([]Server, 44)
	for i := range servers {
		servers[i] = engine(func(s *Server) { s.Tokens = i * 500 })
	}
	for b.Loop() {
		Choose(4000, Full, FarCall, servers, rng)
	}
}
