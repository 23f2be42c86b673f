package gener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/final"
	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
	"umberladder/internal/test/check"
)

// length is how many tokens every generation of these tests has.
const length = 6

var errDown = &engine.Error{Fault: engine.Unsent, Err: io.EOF}

// act is what an engine does with one call: it fails, or sends tokens
// [from, to) and then ends in some way.
type act struct {
	err      error
	from, to uint64
	end      string // "done", "cut", "silent", "foreign" or "short"
}

// fake is every engine of a test. decide chooses what each call meets.
type fake struct {
	decide  func(call string, server netip.AddrPort, next uint64) act
	started map[ident.Generation]int // how often it was taken
	calls   []string
}

func (f *fake) Start(_ context.Context, addr netip.AddrPort, s engine.Start) (*engine.Stream, error) {
	return f.answer("start", addr, s.Generation, 0)
}

func (f *fake) Resume(_ context.Context, addr netip.AddrPort, g ident.Generation, next uint64) (*engine.Stream, error) {
	return f.answer("resume", addr, g, next)
}

func (f *fake) Cancel(context.Context, netip.AddrPort, ident.Generation) error { return nil }

func (f *fake) answer(call string, addr netip.AddrPort, g ident.Generation, next uint64) (*engine.Stream, error) {
	f.calls = append(f.calls, fmt.Sprintf("%s %d", call, addr.Port()))
	a := f.decide(call, addr, next)
	var e *engine.Error
	if call == "start" && (a.err == nil || errors.As(a.err, &e) && !e.NotRun()) {
		f.started[g]++
	}
	if a.err != nil {
		return nil, a.err
	}
	return engine.NewStream(&body{Reader: strings.NewReader(events(g, a)), end: a.end}), nil
}

// body ends a stream as a link would.
type body struct {
	*strings.Reader
	end string
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.end == "silent" {
		time.Sleep(2 * time.Second)
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}

func (b *body) Close() error { return nil }

func events(g ident.Generation, a act) string {
	var b strings.Builder
	for i := a.from; i < a.to; i++ {
		fmt.Fprintf(&b, "data: {\"id\":%q,\"index\":%d,\"text\":\"%d.%s \"}\n\n", g, i, i, g)
	}
	switch a.end {
	case "foreign":
		fmt.Fprintf(&b, "data: {\"id\":\"other\",\"index\":%d,\"text\":\"x\"}\n\n", a.to)
	case "done", "short": // short: the end comes before the last tokens
		fmt.Fprintf(&b, "event: done\ndata: {\"id\":%q,\"tokens\":%d,\"finish\":\"stop\"}\n\n", g, length)
	}
	return b.String()
}

// alone places with one pool.
type alone struct{ *pool.Pool }

func (a alone) Acquire(ctx context.Context, ask *pool.Ask) (Seat, *refuse.Refusal) {
	s, refusal := a.Pool.Acquire(ctx, ask)
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

type silent struct{}

func (silent) Done(*final.Record) {}
func (silent) Gap(time.Duration)  {}

// trial is one flight's surroundings.
type trial struct {
	fake   *fake
	book   *invar.Book
	runner *Runner
	pool   *pool.Pool
	group  *errgroup.Group
	call   Call
}

func newTrial(decide func(string, netip.AddrPort, uint64) act) *trial {
	t := &trial{fake: &fake{decide: decide, started: map[ident.Generation]int{}}, book: &invar.Book{}, group: &errgroup.Group{}}
	rng := rand.New(rand.NewPCG(1, 1))
	t.runner = New(DefaultConfig(), t.fake, retry.NewBudget(), t.book, silent{}, t.group, rng)
	t.pool = pool.New("m", place.Predicted{}, func() int { return 1 }, t.book, rng)
	var servers []config.Server
	for i := range 3 {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		servers = append(servers, config.Server{Name: ident.Server(fmt.Sprintf("e%d", i+1)), Address: addr})
	}
	t.pool.Update(servers)
	t.report()
	class := &config.Class{Name: "standard", Rank: 1, MaxWait: 10 * time.Second}
	service := &config.Service{Name: "s", OverflowChance: 0.05}
	t.call = Call{Request: "r", Service: service, Class: class, Ask: pool.Ask{Service: service, Class: class, Prompt: 4}}
	return t
}

func (t *trial) report() {
	for _, s := range t.pool.Servers() {
		t.pool.Report(s.Name, engine.Load{MemorySize: 1 << 20, At: time.Now()}, time.Now())
	}
}

// stream runs a streamed call to its end and returns the tokens that the
// caller got.
func (t *trial) stream() ([]Token, *refuse.Refusal) {
	f, refusal := t.runner.Open(context.Background(), alone{t.pool}, t.call)
	if refusal != nil {
		return nil, refusal
	}
	defer func() { f.Close(nil) }()
	var got []Token
	for {
		tok, refusal := f.Next()
		if refusal != nil || tok.End() {
			return got, refusal
		}
		got = append(got, tok)
	}
}

func (t *trial) whole() (string, *refuse.Refusal) {
	f, refusal := t.runner.Open(context.Background(), alone{t.pool}, t.call)
	if refusal != nil {
		return "", refusal
	}
	defer func() { f.Close(nil) }()
	text, _, refusal := f.Whole()
	return text, refusal
}

// oneRun fails unless the tokens are 0, 1, 2 and so on of one generation.
func oneRun(t assert.TestingT, got []Token) {
	run := ""
	for i, tok := range got {
		index, g, _ := strings.Cut(strings.TrimSpace(tok.Text), ".")
		assert.Equal(t, index, fmt.Sprint(i))
		assert.Assert(t, run == "" || run == g, "tokens of two generations")
		run = g
	}
}

// steps makes an engine do one act after another, whatever it is asked.
func steps(list ...act) func(string, netip.AddrPort, uint64) act {
	return func(string, netip.AddrPort, uint64) act {
		a := list[0]
		if len(list) > 1 {
			list = list[1:]
		}
		return a
	}
}

func TestLinkFaults(t *testing.T) {
	for name, list := range map[string][]act{
		"none":                  {{to: length, end: "done"}},
		"cut and resumed":       {{to: 2, end: "cut"}, {from: 2, to: length, end: "done"}},
		"repeated indices":      {{to: 4, end: "cut"}, {from: 1, to: length, end: "done"}},
		"missing indices":       {{to: 2, end: "cut"}, {from: 4, to: length, end: "done"}, {from: 2, to: length, end: "done"}},
		"another generation":    {{to: 2, end: "foreign"}, {from: 2, to: length, end: "done"}},
		"an end that is short":  {{to: 3, end: "short"}, {from: 3, to: length, end: "done"}},
		"silence":               {{to: 3, end: "silent"}, {from: 3, to: 3, end: "silent"}, {from: 3, to: length, end: "done"}},
		"a link that is slow":   {{to: 3, end: "cut"}, {err: errDown}, {err: errDown}, {from: 3, to: length, end: "done"}},
		"an end on its own":     {{to: length, end: "cut"}, {from: length, to: length, end: "done"}},
		"cut before any token":  append(repeat(act{from: 2, to: 2, end: "cut"}, 12, act{to: 2, end: "cut"}), act{from: 2, to: length, end: "done"}),
		"cut after every token": {{to: 1, end: "cut"}, {from: 1, to: 2, end: "cut"}, {from: 2, to: 3, end: "cut"}, {from: 3, to: length, end: "done"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(steps(list...))
				got, refusal := tr.stream()
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, len(got), length)
				oneRun(t, got)
				assert.Equal(t, len(tr.fake.started), 1, "one generation, resumed and not run again")
				check.Invariants(t, tr.book)
			})
		})
	}
}

// repeat returns first and then n times a.
func repeat(a act, n int, first act) []act {
	out := []act{first}
	for range n {
		out = append(out, a)
	}
	return out
}

// firstDies makes the engine of the first start die after n tokens; every
// other engine works.
func firstDies(n uint64) func(string, netip.AddrPort, uint64) act {
	var dead netip.AddrPort
	return func(call string, addr netip.AddrPort, _ uint64) act {
		if call == "start" && !dead.IsValid() {
			dead = addr
			return act{to: n, end: "cut"}
		}
		if addr == dead {
			return act{err: errDown}
		}
		return act{to: length, end: "done"}
	}
}

func TestEngineDies(t *testing.T) {
	t.Run("before the first token: it runs elsewhere", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(firstDies(0))
			got, refusal := tr.stream()
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, len(got), length)
			oneRun(t, got)
			assert.NilError(t, tr.group.Wait())
		})
	})
	t.Run("after it: a partial refusal, at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			tr := newTrial(firstDies(3))
			got, refusal := tr.stream()
			check.Refusal(t, refusal, refuse.ServerDied, refuse.RanPartial)
			assert.Equal(t, len(got), 3)
			oneRun(t, got)
			assert.Assert(t, time.Since(start) < 3*time.Second)
			assert.Equal(t, len(tr.fake.started), 1)
		})
	})
	t.Run("a whole answer is run again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(firstDies(3))
			text, refusal := tr.whole()
			assert.Assert(t, refusal == nil, "%v", refusal)
			var got []Token
			for _, w := range strings.Fields(text) {
				got = append(got, Token{Text: w})
			}
			assert.Equal(t, len(got), length)
			oneRun(t, got)
			assert.NilError(t, tr.group.Wait())
		})
	})
	t.Run("a call at most once is not", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(firstDies(0))
			tr.call.AtMostOnce = true
			_, refusal := tr.stream()
			check.Refusal(t, refusal, refuse.ServerDied, refuse.RanMaybe)
			assert.Equal(t, len(tr.fake.started), 1)
		})
	})
}

func TestStartFails(t *testing.T) {
	refused := &engine.Error{Fault: engine.Refused, RetryAfter: 7 * time.Second, Err: io.EOF}
	maybe := &engine.Error{Fault: engine.Maybe, Err: io.EOF}
	for name, c := range map[string]struct {
		err        error
		atMostOnce bool
		reason     refuse.Reason
		ran        refuse.Ran
		starts     int
	}{
		"every engine refuses":              {refused, false, refuse.ServerRefused, refuse.RanNo, 3},
		"none can be reached":               {errDown, false, refuse.ServerRefused, refuse.RanNo, 3},
		"refusals are safe at most once":    {refused, true, refuse.ServerRefused, refuse.RanNo, 3},
		"no word, and at most once":         {maybe, true, refuse.ServerSilent, refuse.RanMaybe, 1},
		"no word from any, and it may have": {maybe, false, refuse.NoServer, refuse.RanMaybe, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newTrial(steps(act{err: c.err}))
				tr.call.AtMostOnce = c.atMostOnce
				begun := time.Now()
				_, refusal := tr.stream()
				assert.Assert(t, time.Since(begun) < time.Second, "the answer is sent at once")
				check.Refusal(t, refusal, c.reason, c.ran)
				assert.Equal(t, len(tr.fake.calls), c.starts)
				assert.Assert(t, refusal.RetryAfter > 0, "it says when to come back")
				assert.NilError(t, tr.group.Wait())
			})
		})
	}
}

func TestPausedTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial(func(_ string, _ netip.AddrPort, next uint64) act {
			return act{from: next, to: max(next, 2), end: "silent"}
		})
		start := time.Now()
		got, refusal := tr.stream()
		check.Refusal(t, refusal, refuse.ServerSilent, refuse.RanPartial)
		assert.Equal(t, len(got), 2)
		assert.Assert(t, time.Since(start) < DefaultConfig().Patience+10*time.Second)
	})
}

// TestAnything draws what each call to an engine meets. Whatever it is, the
// caller gets tokens of one generation in order; a refusal tells the truth; a
// call at most once is given to one engine; and there is an end.
func TestAnything(t *testing.T) {
	check.Checks(t, 400)
	rapid.Check(t, func(rt *rapid.T) {
		atMostOnce := rapid.Bool().Draw(rt, "at most once")
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(func(call string, _ netip.AddrPort, next uint64) act {
				switch rapid.IntRange(0, 9).Draw(rt, call) {
				case 0:
					return act{err: errDown}
				case 1:
					return act{err: &engine.Error{Fault: engine.Maybe, Err: io.EOF}}
				case 2:
					if call == "start" {
						return act{err: &engine.Error{Fault: engine.Refused, Err: io.EOF}}
					}
					return act{err: &engine.Error{Fault: engine.Unknown, Err: io.EOF}}
				}
				from := next
				if call == "resume" {
					from = uint64(rapid.IntRange(max(0, int(next)-2), min(length, int(next)+1)).Draw(rt, "from"))
				}
				to := uint64(rapid.IntRange(int(from), length).Draw(rt, "to"))
				end := rapid.SampledFrom([]string{"cut", "silent", "foreign", "short", "done"}).Draw(rt, "end")
				if end == "done" {
					to = length
				}
				return act{from: from, to: to, end: end}
			})
			tr.call.AtMostOnce = atMostOnce
			got, refusal := tr.stream()
			oneRun(t, got)
			check.Invariants(t, tr.book)
			if refusal == nil {
				assert.Equal(t, len(got), length)
			}
			if refusal != nil && refusal.Ran == refuse.RanNo {
				assert.Equal(t, len(tr.fake.started), 0, "said not run")
			}
			assert.Assert(t, !atMostOnce || len(tr.fake.started) <= 1)
			assert.NilError(t, tr.group.Wait())
		})
	})
}
