package relay

import (
	"context"
	"io"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/pace"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/port"
	"umberladder/internal/test/check"
)

// runningServer returns the server that currently runs the call.
func (h *harness) runningServer() ident.Server {
	h.engines.mu.Lock()
	defer h.engines.mu.Unlock()
	for _, r := range h.engines.runs {
		if !r.complete.Load() && !r.stopped() {
			return r.server.ID
		}
	}
	return ""
}

// after runs f in the synctest bubble after d.
func after(d time.Duration, f func()) {
	time.AfterFunc(d, f)
}

// retireRunningServer marks the server that currently runs the call as
// draining, which retires it.
func (h *harness) retireRunningServer() {
	id := h.runningServer()
	e := h.table.View().Server(id).Entry
	e.Draining = true
	h.table.Put(e)
}

func TestStream(t *testing.T) {
	for name, tc := range map[string]struct {
		servers    int
		path       string
		fault      func(h *harness)
		migrations int
		maxGap     time.Duration
	}{
		"no fault": {servers: 3, path: "/long/x", fault: func(*harness) {}, maxGap: 40 * time.Millisecond},
		"the engine retires": {
			servers: 4, path: "/long/x", migrations: 1, maxGap: 100 * time.Millisecond,
			fault: func(h *harness) { after(2*time.Second, h.retireRunningServer) },
		},
		"the engine retires before the backup has the copy": {
			servers: 4, path: "/long/x", migrations: 1, maxGap: 100 * time.Millisecond,
			fault: func(h *harness) { after(100*time.Millisecond, h.retireRunningServer) },
		},
		"two engines retire one after the other": {
			servers: 5, path: "/long/x", migrations: 2, maxGap: 100 * time.Millisecond,
			fault: func(h *harness) {
				after(1200*time.Millisecond, h.retireRunningServer)
				after(2500*time.Millisecond, h.retireRunningServer)
			},
		},
		"the engine crashes": {
			servers: 4, path: "/long/x", migrations: 1, maxGap: 200 * time.Millisecond,
			fault: func(h *harness) { after(2*time.Second, func() { h.engines.crash(h.runningServer()) }) },
		},
		"the engine of a resumable stream crashes": {
			servers: 3, path: "/short/x", maxGap: 100 * time.Millisecond,
			fault: func(h *harness) { after(time.Second, func() { h.engines.crash(h.runningServer()) }) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, tc.servers)
				tc.fault(h)
				c, r := h.serve(t.Context(), tc.path)
				assertComplete(t, c, r, h.engines.events)
				end := h.records[0]
				assert.Equal(t, end.Migrations, tc.migrations)
				assert.Assert(t, end.MaxEventGap <= tc.maxGap, "longest gap %s", end.MaxEventGap)
				assert.Equal(t, h.engines.activeRuns(), 0, "an engine is still running the call")
			})
		})
	}
}

// TestStreamWithoutBackup starts with a single engine, so the stream has no backup
// when its engine retires. Its KV cache must be copied to the engine that was added
// meanwhile, unless the run ends first.
func TestStreamWithoutBackup(t *testing.T) {
	for name, tc := range map[string]struct {
		retireAfter time.Duration
		migrations  int
	}{
		"migrated":                                {retireAfter: 2 * time.Second, migrations: 1},
		"the run ends during the copy":            {retireAfter: 2900 * time.Millisecond},
		"the run ends as it would be stopped":     {retireAfter: 2795 * time.Millisecond},
		"no event yet when the engine retires":    {retireAfter: 10 * time.Millisecond, migrations: 1},
		"the engine retires with the first event": {retireAfter: 30 * time.Millisecond, migrations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				after(tc.retireAfter-time.Millisecond, func() { h.table.Put(serverEntry(1)) })
				after(tc.retireAfter, h.retireRunningServer)
				c, r := h.serve(t.Context(), "/long/x")
				assertComplete(t, c, r, h.engines.events)
				assert.Equal(t, h.records[0].Migrations, tc.migrations)
			})
		})
	}
}

// TestLateCopy has copies that reach the backup one second after the first event. A
// stream whose engine retires before that must not be interrupted.
func TestLateCopy(t *testing.T) {
	for _, retireAfter := range []time.Duration{300 * time.Millisecond, 850 * time.Millisecond, 1200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 4)
			h.engines.copyLag = time.Second
			after(retireAfter, h.retireRunningServer)
			c, r := h.serve(t.Context(), "/long/x")
			assertComplete(t, c, r, h.engines.events)
			assert.Equal(t, h.records[0].Migrations, 1)
		})
	}
}

// TestStreamWithoutBudget retires an engine while the retry budget is used up. The
// stream must stay on that engine and complete there.
func TestStreamWithoutBudget(t *testing.T) {
	for _, servers := range []int{2, 4} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, servers)
			h.budget.remaining = 0
			after(2*time.Second, h.retireRunningServer)
			c, r := h.serve(t.Context(), "/long/x")
			assertComplete(t, c, r, h.engines.events)
			assert.Equal(t, h.records[0].Migrations, 0)
		})
	}
}

func TestStreamLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		after(2*time.Second, func() { h.engines.crash("s0") })
		c, r := h.serve(t.Context(), "/long/x")
		assert.Assert(t, r == nil, "a started stream must not get a second response")
		assert.Assert(t, c.aborted && !c.ended, "an interrupted response must not look complete")
		check.Refusal(t, h.records[0].Refusal, refuse.ServerLost, refuse.RanPartial)
	})
}

func TestClientDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		ctx, cancel := context.WithCancel(t.Context())
		after(time.Second, cancel)
		_, _ = h.serve(ctx, "/long/x")
		assert.Equal(t, h.engines.activeRuns(), 0, "the engine still runs the call of a disconnected client")
		assert.Assert(t, h.records[0].Total < 1100*time.Millisecond)
	})
}

func TestShutdown(t *testing.T) {
	for name, tc := range map[string]struct {
		path      string
		remaining time.Duration
		served    bool
	}{
		"a long stream would be interrupted": {path: "/long/x", remaining: 8 * time.Second},
		"a long stream fits":                 {path: "/long/x", remaining: 30 * time.Second, served: true},
		"the time just suffices":             {path: "/long/x", remaining: 11 * time.Second, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 3)
				h.relay.Drain(time.Now().Add(tc.remaining))
				c, r := h.serve(t.Context(), tc.path)
				if tc.served {
					assertComplete(t, c, r, h.engines.events)
					return
				}
				check.Refusal(t, r, refuse.VMStopping, refuse.RanNo)
				assert.Equal(t, len(h.engines.started), 0)
			})
		})
	}
}

func TestCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.relay.Alloc.Reserve("s0", h.fullLoad())
		start := time.Now()
		_, r := h.serve(t.Context(), "/long/x")
		check.Refusal(t, r, refuse.NoCapacity, refuse.RanNo)
		assert.Assert(t, r.RetryAfter > 0)
		assert.Assert(t, time.Since(start) <= 900*time.Millisecond, "waited for %s", time.Since(start))
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		reservation := h.relay.Alloc.Reserve("s0", h.fullLoad())
		after(300*time.Millisecond, reservation.Release)
		c, r := h.serve(t.Context(), "/long/x")
		assertComplete(t, c, r, h.engines.events)
	})
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		call := h.call("/long/x")
		call.Prompt.Tokens = 40_000
		start := time.Now()
		r := h.relay.Serve(t.Context(), call, &client{})
		check.Refusal(t, r, refuse.TooLarge, refuse.RanNo)
		assert.Equal(t, r.RetryAfter, time.Duration(0), "a retry cannot succeed")
		assert.Equal(t, time.Since(start), time.Duration(0), "a prompt too large for any engine must be refused immediately")
	})
}

// TestClientDisconnectsDuringMigration disconnects the client during the last copy of a
// migration. The reservation at the other engine must be released.
func TestClientDisconnectsDuringMigration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 4)
		h.engines.copyTime = deltaCopyTime // as fast as a copy without a queue, so that the last copy follows directly
		ctx, cancel := context.WithCancel(t.Context())
		const retireAfter = 100 * time.Millisecond // before the backup has its copy
		after(retireAfter, h.retireRunningServer)
		after(retireAfter+deltaCopyTime+deltaCopyTime/2, cancel)
		c, _ := h.serve(ctx, "/long/x")
		assert.Assert(t, !c.ended)
		assert.Equal(t, len(h.relay.Alloc.All(time.Now())), 0, "%v", h.relay.Alloc.All(time.Now()))
	})
}

// TestCloseDelimitedStream checks what the end of a connection means where it is all that marks
// the end of a response.
func TestCloseDelimitedStream(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 1)
			h.engines.closeDelimited = true
			c, r := h.serve(t.Context(), "/long/x")
			assertComplete(t, c, r, h.engines.events)
		})
	})
	t.Run("the engine's process ends between two events", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 4)
			h.engines.closeDelimited, h.engines.crashEnd = true, io.EOF
			after(2*time.Second, func() { h.engines.crash(h.runningServer()) })
			c, r := h.serve(t.Context(), "/long/x")
			assertComplete(t, c, r, h.engines.events)
			assert.Equal(t, h.records[0].Migrations, 1)
		})
	})
	t.Run("the same without another engine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 1)
			h.engines.closeDelimited, h.engines.crashEnd = true, io.EOF
			after(2*time.Second, func() { h.engines.crash("s0") })
			c, _ := h.serve(t.Context(), "/long/x")
			assert.Assert(t, c.aborted && !c.ended, "an interrupted response must not look complete")
			check.Refusal(t, h.records[0].Refusal, refuse.ServerLost, refuse.RanPartial)
		})
	})
	t.Run("the engine retires", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 4)
			h.engines.closeDelimited, h.engines.crashEnd = true, io.EOF
			after(2*time.Second, h.retireRunningServer)
			c, r := h.serve(t.Context(), "/long/x")
			assertComplete(t, c, r, h.engines.events)
		})
	})
}

// TestNotAStream checks that a response of another type on a streaming route is delivered
// complete or not at all.
func TestNotAStream(t *testing.T) {
	for name, tc := range map[string]struct {
		size   int64
		reason refuse.Reason // zero: it is delivered
	}{
		"small":                      {size: 100},
		"larger than may be read":    {size: 17 << 20, reason: refuse.ServerLost},
		"just as large as to be cut": {size: 16<<20 + 1, reason: refuse.ServerLost},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				h.engines.respond["s0"] = func() (*port.Response, error) {
					return &port.Response{Status: 200, Delimited: true, Body: io.NopCloser(io.LimitReader(zeros{}, tc.size))}, nil
				}
				c, r := h.serve(t.Context(), "/long/x")
				if tc.reason == refuse.Unspecified {
					assert.Assert(t, r == nil, "%v", r)
					assert.Equal(t, int64(len(c.body)), tc.size)
					return
				}
				check.Refusal(t, r, tc.reason, refuse.RanMaybe)
				assert.Assert(t, !c.started)
			})
		})
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestStopOrderFails guards against a stream that is passed on as complete because its run was
// stopped for a migration that then failed: the engine closes a stopped run's connection
// regularly, between two events.
func TestStopOrderFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.engines.closeDelimited, h.engines.crashEnd, h.engines.noCapacityOnStop = true, io.EOF, true
		after(2*time.Second-time.Millisecond, func() { h.table.Put(serverEntry(1)) })
		after(2*time.Second, h.retireRunningServer)
		c, _ := h.serve(t.Context(), "/long/x")
		assert.Assert(t, c.aborted && !c.ended, "an interrupted response must not look complete")
	})
}

// TestShutdownBySize guards against generations that a VM accepts while it shuts down and then
// interrupts, because their engines take longer per token than it assumes, and against short calls
// that it refuses.
func TestShutdownBySize(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		tokens    int
		gap       time.Duration   // target of the route for the pause between two events, of 4 tokens each
		speeds    []time.Duration // measured times per token of the engines
		own       time.Duration   // time per token of a stream of this VM
		remaining time.Duration
		served    bool
	}{
		"as slow as the route allows":              {tokens: 240, gap: 180 * ms, remaining: 4500 * ms},
		"as slow as the route allows, not as long": {tokens: 104, gap: 180 * ms, remaining: 4500 * ms},
		"measured engines are slow":                {tokens: 180, speeds: []time.Duration{30 * ms}, remaining: 4500 * ms},
		"some measured engines are slow":           {tokens: 180, speeds: []time.Duration{10 * ms, 30 * ms}, remaining: 4500 * ms},
		"of an absurd size":                        {tokens: math.MaxInt, gap: 180 * ms, remaining: 4500 * ms},
		"its own streams are slow":                 {tokens: 180, own: 30 * ms, remaining: 4500 * ms},
		"measured engines are slower than allowed": {tokens: 60, gap: 40 * ms, speeds: []time.Duration{50 * ms}, remaining: 4500 * ms},
		"short, just after the signal":             {tokens: 40, gap: 180 * ms, remaining: 7100 * ms, served: true},
		"short, when clients have gone elsewhere":  {tokens: 40, gap: 180 * ms, remaining: 4500 * ms, served: true},
		"short, on measured engines":               {tokens: 40, speeds: []time.Duration{30 * ms}, remaining: 4500 * ms, served: true},
		"one of many engines is slow":              {tokens: 180, speeds: append(slices.Repeat([]time.Duration{10 * ms}, 30), time.Second), remaining: 4500 * ms, served: true},
		"its deadline is before the VM ends":       {tokens: 900, gap: 180 * ms, remaining: 40 * time.Second, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 3)
				h.engines.events = tc.tokens / 4
				for _, d := range tc.speeds {
					h.speeds = append(h.speeds, pace.Speed{PerToken: d})
				}
				if tc.own > 0 {
					h.relay.Alloc.Reserve("s1", alloc.Load{Calls: 1, PaceRuns: 1, PaceMicros: int(tc.own.Microseconds())})
				}
				c := h.call("/long/x")
				h.settings.Load().Find(c.Host, c.Path).GapTarget = tc.gap
				c.Prompt.MaxTokens = tc.tokens
				h.relay.Drain(time.Now().Add(tc.remaining))
				w := &client{}
				r := h.relay.Serve(t.Context(), c, w)
				_ = h.group.Wait()
				if tc.served {
					assertComplete(t, w, r, h.engines.events)
					return
				}
				check.Refusal(t, r, refuse.VMStopping, refuse.RanNo)
				assert.Equal(t, len(h.engines.started), 0)
			})
		})
	}
}

// TestShutdownWhileWaiting guards against generations that wait for capacity when a VM begins to
// shut down, and get it only when too little time is left.
func TestShutdownWhileWaiting(t *testing.T) {
	for name, tc := range map[string]struct {
		free    time.Duration // when capacity becomes available
		served  bool
		refused time.Duration // latest time of the refusal
	}{
		"capacity becomes available in time": {free: 300 * time.Millisecond, served: true},
		"it does not":                        {free: 600 * time.Millisecond, refused: 450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				h.engines.events = 10
				reservation := h.relay.Alloc.Reserve("s0", h.fullLoad())
				after(tc.free, reservation.Release)
				// The call takes 2.2 s by its size: at the route's target, and 10 ms for each token.
				c := h.call("/long/x")
				c.Prompt.MaxTokens = 40
				h.settings.Load().Find(c.Host, c.Path).LatencyTarget = 1800 * time.Millisecond
				after(100*time.Millisecond, func() { h.relay.Drain(time.Now().Add(2500 * time.Millisecond)) })
				start, w := time.Now(), &client{}
				r := h.relay.Serve(t.Context(), c, w)
				_ = h.group.Wait()
				if tc.served {
					assertComplete(t, w, r, h.engines.events)
					return
				}
				check.Refusal(t, r, refuse.VMStopping, refuse.RanNo)
				assert.Assert(t, time.Since(start) <= tc.refused, "refused after %s", time.Since(start))
			})
		})
	}
}
