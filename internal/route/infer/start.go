package infer

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/token"
	"umberladder/internal/peer/engine"
	"umberladder/internal/route/pool"
)

// cancelTimeout bounds the call that cancels a generation at an engine.
const cancelTimeout = time.Second

// start reserves capacity on an engine and starts the generation there.
func (s *Stream) start() *refuse.Refusal {
	req := s.call.PlacementRequest
	req.Exclude = s.exclude
	waitStart := time.Now()
	reservation, refusal := s.placer.Acquire(s.ctx, &req)
	s.Record.QueueTime += time.Since(waitStart)
	if refusal != nil {
		return s.correctRan(refusal)
	}
	s.reservation = reservation
	s.engineAddr = reservation.Engine().Address
	s.Record.Server = reservation.Engine().Name
	g := ident.NewGeneration()
	s.runner.invariants.Assert(invar.AtMostOnce, !s.call.AtMostOnce || !s.started, "request %s is started twice", s.call.Request)
	conn, err := s.runner.engines.Start(s.ctx, s.engineAddr, engine.StartRequest{
		Generation:    g,
		Model:         s.placer.Model(),
		Prompt:        s.call.Prompt,
		MaxTokens:     s.call.MaxTokens,
		Priority:      s.call.Class.Rank,
		DetachTimeout: s.runner.cfg.DetachTimeout,
	})
	if err != nil {
		return s.startFailed(g, err)
	}
	s.started = true
	s.cursor = token.New(g, 0)
	s.attach(conn)
	return nil
}

// startFailed handles a start that returned no stream. It returns nil if the
// generation may be started on another engine.
func (s *Stream) startFailed(g ident.Generation, err error) *refuse.Refusal {
	s.exclude[s.Record.Server] = struct{}{}
	var e *engine.Error
	if errors.As(err, &e) && e.NotRun() {
		return s.handleNotStarted(e)
	}
	s.started = true
	s.release(pool.EngineLost)
	s.runner.cancelGeneration(s.engineAddr, g)
	if !s.canRerun() {
		return refuse.New(refuse.ServerTimeout, "engine %s was given the request and did not answer", s.Record.Server).
			WithRan(refuse.RanMaybe).WithRetryAfter(time.Second)
	}
	s.Record.Reruns++
	return nil
}

// handleNotStarted handles an engine that provably did not start the generation. It
// returns nil if another engine should be tried.
func (s *Stream) handleNotStarted(e *engine.Error) *refuse.Refusal {
	end := pool.Rejected
	if e.Kind == engine.Unsent {
		end = pool.EngineLost
	}
	s.release(end)
	s.rejections++
	if s.rejections < s.runner.cfg.StartTries && s.runner.budget.AllowRetry() {
		return nil
	}
	return s.correctRan(refuse.New(refuse.ServerRejected, "engine %s did not start the request (%s)", s.Record.Server, e.Kind).
		WithRetryAfter(max(e.RetryAfter, time.Second)))
}

// correctRan corrects a refusal: a request that an engine received earlier may have run.
func (s *Stream) correctRan(r *refuse.Refusal) *refuse.Refusal {
	if s.started {
		r.Ran = refuse.RanMaybe
	}
	return r
}

// cancelGeneration cancels, in the background, a generation that nobody will read. Errors
// are ignored: an engine drops such a generation anyway after the detach timeout.
func (r *Runner) cancelGeneration(addr netip.AddrPort, g ident.Generation) {
	r.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = r.engines.Cancel(ctx, addr, g)
		return nil
	})
}
