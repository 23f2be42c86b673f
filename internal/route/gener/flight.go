package gener

import (
	"context"
	"errors"
	"iter"
	"net/netip"
	"strings"
	"time"

	"umberladder/internal/core/final"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/token"
	"umberladder/internal/peer/engine"
	"umberladder/internal/route/pool"
)

// Flight is one generation on its way to its caller. One goroutine at a time
// uses it.
type Flight struct {
	Record final.Record // how it went; whose it is and how it ended are for the caller to say

	runner  *Runner
	placer  Placer
	call    Call
	ctx     context.Context
	cancel  context.CancelFunc
	exclude map[ident.Server]struct{}

	seat   Seat
	addr   netip.AddrPort
	cursor *token.Cursor // nil: no generation is running
	link   *engine.Stream
	next   func() (engine.Event, error, bool)
	stop   func()

	shown     ident.Generation // whose tokens the caller has
	started   bool             // some engine was given the generation and may have run it
	delivered bool             // some token has reached the caller
	resumes   int              // in a row that the engine did not answer, or answered wrongly
	cuts      int              // in a row of links that broke off before a token
	refusals  int              // engines that did not start it
	kept      *Token
	last      time.Time     // when the last token came, or the flight began
	pace      time.Duration // expected time to the next token
	closed    bool
}

// Engine returns where the generation runs, for a resume handle.
func (f *Flight) Engine() (netip.AddrPort, ident.Generation) {
	return f.addr, f.cursor.Generation()
}

// first fetches the first token and keeps it for Next.
func (f *Flight) first() (*Flight, *refuse.Refusal) {
	t, refusal := f.step()
	if refusal != nil {
		f.Close(refusal)
		return nil, refusal
	}
	f.kept = &t
	f.Record.First = time.Since(f.Record.Start)
	return f, nil
}

// Next returns the next token for the caller, the end of the answer, or the
// refusal that ends it.
func (f *Flight) Next() (Token, *refuse.Refusal) {
	f.delivered = true
	t, refusal := f.fetch()
	if refusal != nil || t.End() {
		return t, refusal
	}
	g := f.cursor.Generation()
	f.runner.book.Assert(invar.OneGeneration, f.shown == "" || f.shown == g, "request %s shows tokens of two generations", f.call.Request)
	f.shown = g
	return t, nil
}

// fetch returns the kept first token, or the next one.
func (f *Flight) fetch() (Token, *refuse.Refusal) {
	if t := f.kept; t != nil {
		f.kept = nil
		return *t, nil
	}
	return f.step()
}

// Whole returns the whole answer. Until it does, no token has reached the
// caller, so a lost engine may still be replaced.
func (f *Flight) Whole() (string, string, *refuse.Refusal) {
	var text strings.Builder
	reruns := f.Record.Reruns
	t := *f.kept
	f.kept = nil
	for !t.End() {
		text.WriteString(t.Text)
		var refusal *refuse.Refusal
		if t, refusal = f.step(); refusal != nil {
			return "", "", refusal
		}
		if f.Record.Reruns != reruns {
			reruns = f.Record.Reruns
			text.Reset()
		}
	}
	return text.String(), t.Finish, nil
}

// Close ends the flight. The generation itself goes on for its detach time if
// it has not ended, so that the caller may come back to it.
func (f *Flight) Close(refusal *refuse.Refusal) {
	if f.closed {
		return
	}
	f.closed = true
	f.unlink()
	f.release(pool.CutOff)
	f.cancel()
	truthful := refusal == nil || refusal.Ran != refuse.RanNo || !f.started
	f.runner.book.Assert(invar.NotRun, truthful, "request %s was started, and its refusal says it never ran", f.call.Request)
}

// step yields the next accepted token, resuming and running again as needed.
func (f *Flight) step() (Token, *refuse.Refusal) {
	for {
		if f.link == nil {
			if refusal := f.connect(); refusal != nil {
				return Token{}, refusal
			}
			continue
		}
		ev, err, _ := f.next()
		if err != nil {
			if refusal := f.broken(err); refusal != nil {
				return Token{}, refusal
			}
			continue
		}
		if t, ok := f.take(ev); ok {
			return t, nil
		}
	}
}

// take judges one event; ok says that it is something for the caller.
func (f *Flight) take(ev engine.Event) (Token, bool) {
	switch ev.Kind {
	case engine.Paused:
		f.Record.Preemptions++
	case engine.Done:
		return f.end(ev)
	case engine.Token:
		switch f.cursor.Offer(ev.Generation, ev.Index) {
		case token.Accept:
			f.progress()
			return Token{Index: ev.Index, Text: ev.Text}, true
		case token.Gap, token.Foreign:
			f.unlink()
			f.resumes++
		}
	}
	return Token{}, false
}

// end takes the end of a generation, if every token before it came.
func (f *Flight) end(ev engine.Event) (Token, bool) {
	if ev.Generation != f.cursor.Generation() || ev.Index != f.cursor.Next() || ev.Finish == "" {
		f.unlink()
		f.resumes++
		return Token{}, false
	}
	f.unlink()
	f.release(pool.Whole)
	f.runner.book.Assert(invar.TokenOrder, f.cursor.Next() == ev.Index, "%d tokens in place of %d", f.cursor.Next(), ev.Index)
	return Token{Index: ev.Index, Finish: ev.Finish}, true
}

// progress accounts for one token.
func (f *Flight) progress() {
	now := time.Now()
	gap := now.Sub(f.last)
	if gap > f.pace {
		f.Record.Stall += gap - f.pace
		f.Record.Slow++
	}
	if f.Record.Tokens > 0 {
		f.runner.rec.Gap(gap)
	}
	f.last = now
	f.pace = f.runner.cfg.TokenPace
	f.resumes, f.cuts = 0, 0
	f.Record.Tokens++
	if f.seat != nil {
		f.seat.Progress(int(f.cursor.Next()))
	}
}

// connect starts the generation, or links to the one that runs.
func (f *Flight) connect() *refuse.Refusal {
	if f.cursor == nil {
		return f.start()
	}
	if f.resumes > f.runner.cfg.ResumeTry {
		return f.lost(refuse.ServerDied, "the engine could not be reached again")
	}
	if n := max(f.resumes, f.cuts); n > 0 && !f.sleep(f.runner.delay(n)) {
		return f.lost(refuse.CallerStalled, "the request was cut off")
	}
	if time.Since(f.last) > f.runner.cfg.Patience {
		return f.lost(refuse.ServerSilent, "the engine produced no token for "+f.runner.cfg.Patience.String())
	}
	link, err := f.runner.engines.Resume(f.ctx, f.addr, f.cursor.Generation(), f.cursor.Next())
	if err != nil {
		return f.broken(err)
	}
	f.Record.Resumes++
	f.attach(link)
	return nil
}

func (f *Flight) attach(link *engine.Stream) {
	f.link = link
	f.next, f.stop = iter.Pull2(link.Events())
}

func (f *Flight) unlink() {
	if f.link == nil {
		return
	}
	f.link.Close()
	f.stop()
	f.link = nil
}

// broken judges a link that failed.
func (f *Flight) broken(err error) *refuse.Refusal {
	live := f.link != nil
	f.unlink()
	var e *engine.Error
	if errors.As(err, &e) && e.Fault == engine.Unknown {
		return f.lost(refuse.ServerDied, "the engine no longer knows the generation")
	}
	switch {
	case live && e != nil && e.Fault == engine.Silent:
		// The engine answered this link; a quiet stream may just be waiting
		// for memory. Whether the engine lives shows when the link is resumed.
	case live:
		f.cuts++
	default:
		f.resumes++
	}
	return nil
}

// lost gives the engine up: the generation runs again elsewhere, or ends.
func (f *Flight) lost(reason refuse.Reason, detail string) *refuse.Refusal {
	f.release(pool.Lost)
	if f.mayRerun() {
		f.exclude[f.Record.Server] = struct{}{}
		f.runner.abandon(f.addr, f.cursor.Generation())
		f.cursor = nil
		f.resumes, f.cuts = 0, 0
		f.Record.Reruns++
		f.Record.Tokens = 0
		return nil
	}
	ran := refuse.RanMaybe
	if f.delivered {
		ran = refuse.RanPartial
	}
	return refuse.New(reason, "%s; %d tokens had come", detail, f.cursor.Next()).With(ran).After(time.Second)
}

func (f *Flight) mayRerun() bool {
	return !f.delivered && !f.call.AtMostOnce && f.ctx.Err() == nil && f.runner.budget.Spend()
}

func (f *Flight) release(end pool.Ending) {
	if f.seat != nil {
		f.seat.Release(end, time.Now())
		f.seat = nil
	}
}

// sleep waits for d; false if the flight was cut off.
func (f *Flight) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-f.ctx.Done():
		return false
	}
}
