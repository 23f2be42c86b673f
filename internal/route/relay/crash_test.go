package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/route/port"
	"umberladder/internal/test/check"
)

// end has a server's process end, so that its address refuses connections.
func (w *world) end(id ident.Server) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	w.engines.ended[id] = true
}

// quarantined reports whether a call of the path would be refused.
func (w *world) quarantined(path string) bool {
	_, ok := w.poison.Until(w.call(path).Fingerprint("team"), time.Now())
	return ok
}

// serveFresh takes a call to its end by settings that are known to be the newest.
func (w *world) serveFresh(t *testing.T, path string) (*client, *refuse.Refusal) {
	t.Helper()
	w.book.Put(snapshot(1), w.clock())
	return w.serve(t.Context(), path)
}

// TestCrashes repeats a call whose servers break off.
func TestCrashes(t *testing.T) {
	for name, tc := range map[string]struct {
		path  string
		ended bool // the servers end with it
		want  bool // it is quarantined
	}{
		"once":                            {path: "/once/x", ended: true, want: true},
		"idempotent":                      {path: "/get/x", ended: true, want: true},
		"stream":                          {path: "/long/x", ended: true, want: true},
		"resumable stream":                {path: "/short/x", ended: true, want: true},
		"connections break off":           {path: "/get/x"},
		"connections of streams do":       {path: "/long/x"},
		"connections of calls to once do": {path: "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const servers = 12
				w := newWorld(t, servers)
				asked := 0
				for i := range servers {
					id := ident.Server(fmt.Sprintf("s%d", i))
					w.engines.plain[id] = func() (*port.Answer, error) {
						asked++
						w.engines.ended[id] = tc.ended
						return silent()
					}
				}
				for range 6 {
					_, r := w.serveFresh(t, tc.path)
					assert.Assert(t, r != nil)
					time.Sleep(5 * time.Second)
				}
				assert.Equal(t, w.quarantined(tc.path), tc.want)
				if !tc.want {
					return
				}
				assert.Assert(t, asked <= 4, "sent to %d servers", asked)
				before := asked
				_, r := w.serveFresh(t, tc.path)
				check.Refusal(t, r, refuse.Quarantined, refuse.RanNo)
				assert.Assert(t, r.RetryAfter > 0)
				assert.Equal(t, asked, before)
				assert.Assert(t, !w.quarantined("/get/other"))
			})
		})
	}
}

// TestCrashesElsewhere has streams meet one crash after the other that they have not
// caused: an engine had run each of them for a while.
func TestCrashesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 8)
		for n := range 4 {
			later(time.Duration(1500+300*n)*time.Millisecond, func() { w.engines.crash(w.holder()) })
		}
		w.serve(t.Context(), "/long/x")
		assert.Assert(t, !w.quarantined("/long/x"))
	})
}

// TestPopularRequest has a request that many clients share complete again and again, and
// its servers crash now and then under other calls.
func TestPopularRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers = 12
		w := newWorld(t, servers)
		n := 0
		for i := range servers {
			id := ident.Server(fmt.Sprintf("s%d", i))
			w.engines.plain[id] = func() (*port.Answer, error) {
				if n++; n%5 == 0 {
					w.engines.ended[id] = true
					return silent()
				}
				return ok()
			}
		}
		for range 60 {
			_, r := w.serveFresh(t, "/get/x")
			assert.Assert(t, r == nil, "%v", r)
			time.Sleep(time.Second)
		}
	})
}

// TestLeavingServer has servers end that had announced it: their ends say nothing of the
// calls that were cut off.
func TestLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 12)
		for range 5 {
			later(time.Second/2, w.leaves)
			later(time.Second, func() {
				id := w.holder()
				w.end(id)
				w.engines.crash(id)
			})
			w.serve(t.Context(), "/short/x")
		}
		assert.Assert(t, !w.quarantined("/short/x"))
	})
}
