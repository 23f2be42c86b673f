package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/policy/poison"
	"umberladder/internal/route/port"
	"umberladder/internal/test/check"
)

// terminate ends a server's process, so that its address refuses connections.
func (h *harness) terminate(id ident.Server) {
	h.engines.mu.Lock()
	defer h.engines.mu.Unlock()
	h.engines.terminated[id] = true
}

// isQuarantined reports whether a call of the path would be refused by the
// quarantine.
func (h *harness) isQuarantined(path string) bool {
	_, _, ok := h.quarantine.Quarantined(poison.Suspects(h.call(path).Fingerprint("team"), nil), time.Now())
	return ok
}

// serveWithFreshSettings serves a call with settings that were just updated.
func (h *harness) serveWithFreshSettings(t *testing.T, path string) (*client, *refuse.Refusal) {
	t.Helper()
	h.settings.Update(snapshot(1), h.clock())
	return h.serve(t.Context(), path)
}

// TestCrashes repeats a call whose servers break off their responses. The request
// must be quarantined if the servers' processes end, and only then.
func TestCrashes(t *testing.T) {
	for name, tc := range map[string]struct {
		path  string
		ended bool // the server's process ends
		want  bool // the request is quarantined
	}{
		"once":                     {path: "/once/x", ended: true, want: true},
		"idempotent":               {path: "/get/x", ended: true, want: true},
		"stream":                   {path: "/long/x", ended: true, want: true},
		"resumable stream":         {path: "/short/x", ended: true, want: true},
		"connections break":        {path: "/get/x"},
		"stream connections break": {path: "/long/x"},
		"connections of at-most-once calls break": {path: "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const servers = 12
				h := newHarness(t, servers)
				attempts := 0
				for i := range servers {
					id := ident.Server(fmt.Sprintf("s%d", i))
					h.engines.respond[id] = func() (*port.Response, error) {
						attempts++
						h.engines.terminated[id] = tc.ended
						return failSilent()
					}
				}
				for range 6 {
					_, r := h.serveWithFreshSettings(t, tc.path)
					assert.Assert(t, r != nil)
					time.Sleep(5 * time.Second)
				}
				assert.Equal(t, h.isQuarantined(tc.path), tc.want)
				if !tc.want {
					return
				}
				assert.Assert(t, attempts <= 4, "sent to %d servers", attempts)
				before := attempts
				_, r := h.serveWithFreshSettings(t, tc.path)
				check.Refusal(t, r, refuse.Quarantined, refuse.RanNo)
				assert.Assert(t, r.RetryAfter > 0)
				assert.Equal(t, attempts, before)
				assert.Assert(t, !h.isQuarantined("/get/other"))
			})
		})
	}
}

// TestCrashesElsewhere interrupts a stream by several engine crashes that it did not
// cause: each engine had run it for a while. It must not be quarantined.
func TestCrashesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 8)
		for n := range 4 {
			after(time.Duration(1500+300*n)*time.Millisecond, func() { h.engines.crash(h.runningServer()) })
		}
		h.serve(t.Context(), "/long/x")
		assert.Assert(t, !h.isQuarantined("/long/x"))
	})
}

// TestPopularRequest repeats a request that many clients send. It completes most of the
// time, but every fifth run meets a server crash that other calls cause. It must not be
// quarantined.
func TestPopularRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 12
		h := newHarness(t, servers)
		n := 0
		for i := range servers {
			id := ident.Server(fmt.Sprintf("s%d", i))
			h.engines.respond[id] = func() (*port.Response, error) {
				if n++; n%5 == 0 {
					h.engines.terminated[id] = true
					return failSilent()
				}
				return respondOK()
			}
		}
		for range 60 {
			_, r := h.serveWithFreshSettings(t, "/get/x")
			assert.Assert(t, r == nil, "%v", r)
			time.Sleep(time.Second)
		}
	})
}

// TestDrainingServer ends servers that had announced their drain. This must not count
// against the calls that it interrupts.
func TestDrainingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 12)
		for range 5 {
			after(time.Second/2, h.retireRunningServer)
			after(time.Second, func() {
				id := h.runningServer()
				h.terminate(id)
				h.engines.crash(id)
			})
			h.serve(t.Context(), "/short/x")
		}
		assert.Assert(t, !h.isQuarantined("/short/x"))
	})
}

// TestInternalErrors guards against taking an internal error for a sign that a request does no
// harm: a server may send it without running the request. Each second server that the request
// reaches responds so, the others crash.
func TestInternalErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 12
		h := newHarness(t, servers)
		n := 0
		for i := range servers {
			id := ident.Server(fmt.Sprintf("s%d", i))
			h.engines.respond[id] = func() (*port.Response, error) {
				if n++; n%2 == 0 {
					return respondError()
				}
				h.engines.terminated[id] = true
				return failSilent()
			}
		}
		for range 4 {
			_, _ = h.serveWithFreshSettings(t, "/get/x")
			time.Sleep(5 * time.Second)
		}
		assert.Assert(t, h.isQuarantined("/get/x"))
	})
}
