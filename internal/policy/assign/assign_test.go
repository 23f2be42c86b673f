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
		required        int
		maxFill         float64
		crossDomainCost float64
		servers         []Server
		want            int
	}{
		"prefers the emptier engine":                      {required: 4000, maxFill: MaxCallFill, servers: []Server{engine(func(s *Server) { s.ReservedTokens = 9000 }), idle}, want: 1},
		"avoids a prefill backlog":                        {required: 4000, maxFill: MaxCallFill, servers: []Server{engine(func(s *Server) { s.PrefillBacklog = 6000 }), engine(func(s *Server) { s.ReservedTokens = 8000 })}, want: 1},
		"no engine has enough memory":                     {required: 4000, maxFill: MaxCallFill, servers: []Server{engine(func(s *Server) { s.ReservedTokens = 31_000 })}, want: -1},
		"no engine has a free slot":                       {required: 1, maxFill: MaxCallFill, servers: []Server{engine(func(s *Server) { s.InFlight = 24 })}, want: -1},
		"a copy leaves memory free":                       {required: 4000, maxFill: MaxCopyFill, servers: []Server{engine(func(s *Server) { s.ReservedTokens = 20_000 })}, want: -1},
		"a copy stays in its domain":                      {required: 4000, maxFill: MaxCopyFill, crossDomainCost: CrossDomainCopyCost, servers: []Server{engine(func(s *Server) { s.CrossDomain = true }), engine(func(s *Server) { s.ReservedTokens = 4000 })}, want: 1},
		"a call leaves its domain for an emptier engine":  {required: 4000, maxFill: MaxCallFill, crossDomainCost: CrossDomainCallCost, servers: []Server{engine(func(s *Server) { s.CrossDomain = true }), engine(func(s *Server) { s.ReservedTokens = 4000 })}, want: 0},
		"a call stays in its domain if fills are similar": {required: 4000, maxFill: MaxCallFill, crossDomainCost: CrossDomainCallCost, servers: []Server{engine(func(s *Server) { s.CrossDomain = true }), engine(func(s *Server) { s.ReservedTokens = 1000 })}, want: 1},
		"copies do not queue":                             {required: 4000, maxFill: MaxCopyFill, crossDomainCost: CrossDomainCopyCost, servers: []Server{engine(func(s *Server) { s.IncomingCopies = 2 }), engine(func(s *Server) { s.ReservedTokens = 9000 })}, want: 1},
		"avoids a failing engine":                         {required: 4000, maxFill: MaxCallFill, servers: []Server{engine(func(s *Server) { s.Weight = 0.2 }), engine(func(s *Server) { s.ReservedTokens = 9000 })}, want: 1},
		"skips an excluded engine":                        {required: 4000, maxFill: MaxCallFill, servers: []Server{engine(func(s *Server) { s.Skip = true })}, want: -1},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				assert.Equal(t, ChooseEngine(&Run{Required: tc.required}, tc.maxFill, tc.crossDomainCost, tc.servers, rng), tc.want)
			}
		})
	}
}

func TestChoosePlain(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sameDomain, crossDomain := Server{Slots: 6, Weight: 1}, Server{Slots: 6, Weight: 1, CrossDomain: true}
	busy := Server{Slots: 6, Weight: 1, InFlight: 4}
	assert.Equal(t, ChoosePlain([]Server{crossDomain, sameDomain}, rng), 1)
	assert.Equal(t, ChoosePlain([]Server{busy, crossDomain}, rng), 1)
	assert.Equal(t, ChoosePlain(nil, rng), -1)
}

func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	servers := make([]Server, 44)
	for i := range servers {
		servers[i] = engine(func(s *Server) { s.ReservedTokens = i * 500 })
	}
	for b.Loop() {
		ChooseEngine(&Run{Required: 4000}, MaxCallFill, CrossDomainCallCost, servers, rng)
	}
}
