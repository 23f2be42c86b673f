package gener

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

// cancelTime bounds the call that tells an engine to drop a generation.
const cancelTime = time.Second

// start takes a place on an engine and gives it the generation.
func (f *Flight) start() *refuse.Refusal {
	ask := f.call.Ask
	ask.Exclude = f.exclude
	before := time.Now()
	seat, refusal := f.placer.Acquire(f.ctx, &ask)
	f.Record.Queued += time.Since(before)
	if refusal != nil {
		return f.truth(refusal)
	}
	f.seat = seat
	f.addr = seat.At().Address
	f.Record.Server = seat.At().Name
	g := ident.NewGeneration()
	f.runner.book.Assert(invar.AtMostOnce, !f.call.AtMostOnce || !f.started, "request %s is started twice", f.call.Request)
	link, err := f.runner.engines.Start(f.ctx, f.addr, engine.Start{
		Generation: g,
		Model:      f.placer.Model(),
		Prompt:     f.call.Prompt,
		MaxTokens:  f.call.MaxTokens,
		Priority:   f.call.Class.Rank,
		Detach:     f.runner.cfg.Detach,
	})
	if err != nil {
		return f.failed(g, err)
	}
	f.started = true
	f.cursor = token.New(g, 0)
	f.attach(link)
	return nil
}

// failed judges a start that brought no stream.
func (f *Flight) failed(g ident.Generation, err error) *refuse.Refusal {
	f.exclude[f.Record.Server] = struct{}{}
	var e *engine.Error
	if errors.As(err, &e) && e.NotRun() {
		return f.notStarted(e)
	}
	f.started = true
	f.release(pool.Lost)
	f.runner.abandon(f.addr, g)
	if !f.mayRerun() {
		return refuse.New(refuse.ServerSilent, "engine %s was given the request and did not answer", f.Record.Server).
			With(refuse.RanMaybe).After(time.Second)
	}
	f.Record.Reruns++
	return nil
}

// notStarted tries another engine after one that provably did not start.
func (f *Flight) notStarted(e *engine.Error) *refuse.Refusal {
	end := pool.Refused
	if e.Fault == engine.Unsent {
		end = pool.Lost
	}
	f.release(end)
	f.refusals++
	if f.refusals < f.runner.cfg.StartTry && f.runner.budget.Spend() {
		return nil
	}
	return f.truth(refuse.New(refuse.ServerRefused, "engine %s did not start the request (%s)", f.Record.Server, e.Fault).
		After(max(e.RetryAfter, time.Second)))
}

// truth corrects a refusal of a request that an engine was given before.
func (f *Flight) truth(r *refuse.Refusal) *refuse.Refusal {
	if f.started {
		r.Ran = refuse.RanMaybe
	}
	return r
}

// abandon tells an engine to drop a generation that nobody will read. It is
// a courtesy: an engine that does not hear it drops it after its detach time.
func (r *Runner) abandon(addr netip.AddrPort, g ident.Generation) {
	r.group.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
		defer cancel()
		_ = r.engines.Cancel(ctx, addr, g)
		return nil
	})
}
