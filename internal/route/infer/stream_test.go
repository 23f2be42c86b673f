package infer

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

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	"umberladder/internal/core/refuse"
	"umberladder/internal/core/result"
	"umberladder/internal/peer/engine"
	"umberladder/internal/policy/place"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/pool"
	"umberladder/internal/state/config"
	"umberladder/internal/test/check"
)

// numTokens is the number of tokens of every generation in these tests.
const numTokens = 6

var errUnreachable = &engine.Error{Kind: engine.Unsent, Err: io.EOF}

// behaviour describes an engine's response to one call: it fails, or sends tokens
// [from, to) and then ends in the given way.
type behaviour struct {
	err      error
	from, to uint64
	end      string // "done", "cut", "silent", "foreign" or "short"
}

// fakeEngines simulates all engines of a test. respond returns the behaviour for each
// call.
type fakeEngines struct {
	respond func(call string, server netip.AddrPort, next uint64) behaviour
	started map[ident.Generation]int // number of starts that may have run
	calls   []string
}

func (f *fakeEngines) Start(_ context.Context, addr netip.AddrPort, s engine.StartRequest) (*engine.Stream, error) {
	return f.serve("start", addr, s.Generation, 0)
}

func (f *fakeEngines) Resume(_ context.Context, addr netip.AddrPort, g ident.Generation, next uint64) (*engine.Stream, error) {
	return f.serve("resume", addr, g, next)
}

func (f *fakeEngines) Cancel(context.Context, netip.AddrPort, ident.Generation) error { return nil }

func (f *fakeEngines) serve(call string, addr netip.AddrPort, g ident.Generation, next uint64) (*engine.Stream, error) {
	f.calls = append(f.calls, fmt.Sprintf("%s %d", call, addr.Port()))
	a := f.respond(call, addr, next)
	var e *engine.Error
	if call == "start" && (a.err == nil || errors.As(a.err, &e) && !e.NotRun()) {
		f.started[g]++
	}
	if a.err != nil {
		return nil, a.err
	}
	return engine.NewStream(&fakeBody{Reader: strings.NewReader(events(g, a)), end: a.end}), nil
}

// fakeBody is a response body that ends like a connection.
type fakeBody struct {
	*strings.Reader
	end string
}

func (b *fakeBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.end == "silent" {
		time.Sleep(2 * time.Second)
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}

func (b *fakeBody) Close() error { return nil }

func events(g ident.Generation, a behaviour) string {
	var b strings.Builder
	for i := a.from; i < a.to; i++ {
		fmt.Fprintf(&b, "data: {\"id\":%q,\"index\":%d,\"text\":\"%d.%s \"}\n\n", g, i, i, g)
	}
	switch a.end {
	case "foreign":
		fmt.Fprintf(&b, "data: {\"id\":\"other\",\"index\":%d,\"text\":\"x\"}\n\n", a.to)
	case "done", "short": // short: the end comes before the last tokens
		fmt.Fprintf(&b, "event: done\ndata: {\"id\":%q,\"tokens\":%d,\"finish\":\"stop\"}\n\n", g, numTokens)
	}
	return b.String()
}

// localPlacer places generations with one pool.
type localPlacer struct{ *pool.Pool }

func (p localPlacer) Acquire(ctx context.Context, req *pool.Request) (Reservation, *refuse.Refusal) {
	s, refusal := p.Pool.Acquire(ctx, req)
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

type noopRecorder struct{}

func (noopRecorder) RecordRequest(*result.Record) {}
func (noopRecorder) RecordGap(time.Duration)      {}

// harness is a runner with fake engines.
type harness struct {
	engines    *fakeEngines
	invariants *invar.Checker
	runner     *Runner
	pool       *pool.Pool
	group      *errgroup.Group
	call       Call
}

func newHarness(respond func(string, netip.AddrPort, uint64) behaviour) *harness {
	h := &harness{engines: &fakeEngines{respond: respond, started: map[ident.Generation]int{}}, invariants: &invar.Checker{}, group: &errgroup.Group{}}
	rng := rand.New(rand.NewPCG(1, 1))
	h.runner = New(DefaultConfig(), h.engines, retry.NewBudget(), h.invariants, noopRecorder{}, h.group, rng)
	h.pool = pool.New("m", place.PredictedLoad{}, func() int { return 1 }, h.invariants, rng)
	var servers []config.Server
	for i := range 3 {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		servers = append(servers, config.Server{Name: ident.Server(fmt.Sprintf("e%d", i+1)), Address: addr})
	}
	h.pool.Update(servers)
	h.reportLoads()
	class := &config.Class{Name: "standard", Rank: 1, MaxWait: 10 * time.Second}
	service := &config.Service{Name: "s", OverflowChance: 0.05}
	h.call = Call{Request: "r", Service: service, Class: class, PlacementRequest: pool.Request{Service: service, Class: class, Prompt: 4}}
	return h
}

func (h *harness) reportLoads() {
	for _, s := range h.pool.Servers() {
		h.pool.HandleReport(s.Name, engine.Load{MemorySize: 1 << 20, AsOf: time.Now()}, time.Now())
	}
}

// stream runs a streaming call to its end and returns the tokens that the client
// received.
func (h *harness) stream() ([]Token, *refuse.Refusal) {
	s, refusal := h.runner.Open(context.Background(), localPlacer{h.pool}, h.call)
	if refusal != nil {
		return nil, refusal
	}
	defer func() { s.Close(nil) }()
	var got []Token
	for {
		tok, refusal := s.Next()
		if refusal != nil || tok.End() {
			return got, refusal
		}
		got = append(got, tok)
	}
}

func (h *harness) readAll() (string, *refuse.Refusal) {
	s, refusal := h.runner.Open(context.Background(), localPlacer{h.pool}, h.call)
	if refusal != nil {
		return "", refusal
	}
	defer func() { s.Close(nil) }()
	text, _, refusal := s.ReadAll()
	return text, refusal
}

// assertOneGeneration fails the test unless the tokens have the indices 0, 1, 2 and so on
// and come from one generation.
func assertOneGeneration(t assert.TestingT, got []Token) {
	run := ""
	for i, tok := range got {
		index, g, _ := strings.Cut(strings.TrimSpace(tok.Text), ".")
		assert.Equal(t, index, fmt.Sprint(i))
		assert.Assert(t, run == "" || run == g, "tokens of two generations")
		run = g
	}
}

// sequence returns the behaviours in order, regardless of the call, and repeats the last
// one.
func sequence(list ...behaviour) func(string, netip.AddrPort, uint64) behaviour {
	return func(string, netip.AddrPort, uint64) behaviour {
		a := list[0]
		if len(list) > 1 {
			list = list[1:]
		}
		return a
	}
}

func TestLinkFaults(t *testing.T) {
	for name, list := range map[string][]behaviour{
		"none":                     {{to: numTokens, end: "done"}},
		"cut and resumed":          {{to: 2, end: "cut"}, {from: 2, to: numTokens, end: "done"}},
		"repeated indices":         {{to: 4, end: "cut"}, {from: 1, to: numTokens, end: "done"}},
		"missing indices":          {{to: 2, end: "cut"}, {from: 4, to: numTokens, end: "done"}, {from: 2, to: numTokens, end: "done"}},
		"another generation":       {{to: 2, end: "foreign"}, {from: 2, to: numTokens, end: "done"}},
		"end before all tokens":    {{to: 3, end: "short"}, {from: 3, to: numTokens, end: "done"}},
		"no data":                  {{to: 3, end: "silent"}, {from: 3, to: 3, end: "silent"}, {from: 3, to: numTokens, end: "done"}},
		"engine unreachable twice": {{to: 3, end: "cut"}, {err: errUnreachable}, {err: errUnreachable}, {from: 3, to: numTokens, end: "done"}},
		"cut before the end event": {{to: numTokens, end: "cut"}, {from: numTokens, to: numTokens, end: "done"}},
		"cut before any token":     append(repeat(behaviour{from: 2, to: 2, end: "cut"}, 12, behaviour{to: 2, end: "cut"}), behaviour{from: 2, to: numTokens, end: "done"}),
		"cut after every token":    {{to: 1, end: "cut"}, {from: 1, to: 2, end: "cut"}, {from: 2, to: 3, end: "cut"}, {from: 3, to: numTokens, end: "done"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(sequence(list...))
				got, refusal := h.stream()
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, len(got), numTokens)
				assertOneGeneration(t, got)
				assert.Equal(t, len(h.engines.started), 1, "the generation must be resumed, not run again")
				check.Invariants(t, h.invariants)
			})
		})
	}
}

// repeat returns first followed by n times a.
func repeat(a behaviour, n int, first behaviour) []behaviour {
	out := []behaviour{first}
	for range n {
		out = append(out, a)
	}
	return out
}

// firstEngineFails makes the engine of the first start fail after n tokens; every other
// engine works.
func firstEngineFails(n uint64) func(string, netip.AddrPort, uint64) behaviour {
	var dead netip.AddrPort
	return func(call string, addr netip.AddrPort, _ uint64) behaviour {
		if call == "start" && !dead.IsValid() {
			dead = addr
			return behaviour{to: n, end: "cut"}
		}
		if addr == dead {
			return behaviour{err: errUnreachable}
		}
		return behaviour{to: numTokens, end: "done"}
	}
}

func TestEngineLost(t *testing.T) {
	t.Run("before the first token: the generation runs on another engine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(firstEngineFails(0))
			got, refusal := h.stream()
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, len(got), numTokens)
			assertOneGeneration(t, got)
			assert.NilError(t, h.group.Wait())
		})
	})
	t.Run("after the first token: a partial refusal, at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			h := newHarness(firstEngineFails(3))
			got, refusal := h.stream()
			check.Refusal(t, refusal, refuse.ServerLost, refuse.RanPartial)
			assert.Equal(t, len(got), 3)
			assertOneGeneration(t, got)
			assert.Assert(t, time.Since(start) < 3*time.Second)
			assert.Equal(t, len(h.engines.started), 1)
		})
	})
	t.Run("a complete response is run again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(firstEngineFails(3))
			text, refusal := h.readAll()
			assert.Assert(t, refusal == nil, "%v", refusal)
			var got []Token
			for _, w := range strings.Fields(text) {
				got = append(got, Token{Text: w})
			}
			assert.Equal(t, len(got), numTokens)
			assertOneGeneration(t, got)
			assert.NilError(t, h.group.Wait())
		})
	})
	t.Run("an at-most-once call is not run again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(firstEngineFails(0))
			h.call.AtMostOnce = true
			_, refusal := h.stream()
			check.Refusal(t, refusal, refuse.ServerLost, refuse.RanMaybe)
			assert.Equal(t, len(h.engines.started), 1)
		})
	})
}

func TestStartFails(t *testing.T) {
	rejected := &engine.Error{Kind: engine.Rejected, RetryAfter: 7 * time.Second, Err: io.EOF}
	maybe := &engine.Error{Kind: engine.OutcomeUnknown, Err: io.EOF}
	for name, c := range map[string]struct {
		err        error
		atMostOnce bool
		reason     refuse.Reason
		ran        refuse.Ran
		starts     int
	}{
		"every engine rejects":                      {rejected, false, refuse.ServerRejected, refuse.RanNo, 3},
		"no engine is reachable":                    {errUnreachable, false, refuse.ServerRejected, refuse.RanNo, 3},
		"rejections of an at-most-once call":        {rejected, true, refuse.ServerRejected, refuse.RanNo, 3},
		"no response to an at-most-once call":       {maybe, true, refuse.ServerTimeout, refuse.RanMaybe, 1},
		"no response from any engine, may have run": {maybe, false, refuse.NoServer, refuse.RanMaybe, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(sequence(behaviour{err: c.err}))
				h.call.AtMostOnce = c.atMostOnce
				start := time.Now()
				_, refusal := h.stream()
				assert.Assert(t, time.Since(start) < time.Second, "the refusal must be immediate")
				check.Refusal(t, refusal, c.reason, c.ran)
				assert.Equal(t, len(h.engines.calls), c.starts)
				assert.Assert(t, refusal.RetryAfter > 0, "the refusal must have a retry delay")
				assert.NilError(t, h.group.Wait())
			})
		})
	}
}

func TestTokenTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(_ string, _ netip.AddrPort, next uint64) behaviour {
			return behaviour{from: next, to: max(next, 2), end: "silent"}
		})
		start := time.Now()
		got, refusal := h.stream()
		check.Refusal(t, refusal, refuse.ServerTimeout, refuse.RanPartial)
		assert.Equal(t, len(got), 2)
		assert.Assert(t, time.Since(start) < DefaultConfig().TokenTimeout+10*time.Second)
	})
}

// TestRandomFaults draws a random behaviour for each call to an engine. In every case the
// client must receive tokens of one generation in order, a refusal must state correctly
// whether the call ran, an at-most-once call must be given to at most one engine, and the
// stream must end.
func TestRandomFaults(t *testing.T) {
	check.RapidChecks(t, 400)
	rapid.Check(t, func(rt *rapid.T) {
		atMostOnce := rapid.Bool().Draw(rt, "at most once")
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(func(call string, _ netip.AddrPort, next uint64) behaviour {
				switch rapid.IntRange(0, 9).Draw(rt, call) {
				case 0:
					return behaviour{err: errUnreachable}
				case 1:
					return behaviour{err: &engine.Error{Kind: engine.OutcomeUnknown, Err: io.EOF}}
				case 2:
					if call == "start" {
						return behaviour{err: &engine.Error{Kind: engine.Rejected, Err: io.EOF}}
					}
					return behaviour{err: &engine.Error{Kind: engine.NotFound, Err: io.EOF}}
				}
				from := next
				if call == "resume" {
					from = uint64(rapid.IntRange(max(0, int(next)-2), min(numTokens, int(next)+1)).Draw(rt, "from"))
				}
				to := uint64(rapid.IntRange(int(from), numTokens).Draw(rt, "to"))
				end := rapid.SampledFrom([]string{"cut", "silent", "foreign", "short", "done"}).Draw(rt, "end")
				if end == "done" {
					to = numTokens
				}
				return behaviour{from: from, to: to, end: end}
			})
			h.call.AtMostOnce = atMostOnce
			got, refusal := h.stream()
			assertOneGeneration(t, got)
			check.Invariants(t, h.invariants)
			if refusal == nil {
				assert.Equal(t, len(got), numTokens)
			}
			if refusal != nil && refusal.Ran == refuse.RanNo {
				assert.Equal(t, len(h.engines.started), 0, "refused as not run, but started")
			}
			assert.Assert(t, !atMostOnce || len(h.engines.started) <= 1)
			assert.NilError(t, h.group.Wait())
		})
	})
}
