package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
	"umberladder/internal/test/check"
)

// useVersion makes one server of a version the only one.
func (h *harness) useVersion(v ident.Version) {
	e := serverEntry(0)
	e.ID, e.Version = ident.Server("server-"+v), v
	h.table.Replace([]srvtab.Entry{e}, time.Time{}, time.Now())
}

// setShort puts settings with a change of the route /short/ in force.
func (h *harness) setShort(version uint64, change func(r *routes.Route)) {
	h.settings.Update(snapshotWith(version, change), h.clock())
}

// takeUp takes up a stream for which the client waits for a time more.
func (h *harness) takeUp(t *testing.T, wait time.Duration) (*client, *refuse.Refusal) {
	t.Helper()
	h.settings.ConfirmNewest(h.clock())
	call := h.call("/short/x")
	call.ID, call.Resumes, call.LastEventID, call.ClientTimeout = "second", "first", "40", wait
	c := &client{}
	r := h.relay.Serve(t.Context(), call, c)
	_ = h.group.Wait()
	return c, r
}

// startShortened brings the VM into the state of one that has just started, after settings with a
// shorter timeout came into force.
func (h *harness) startShortened() {
	h.setShort(2, shorten)
	time.Sleep(100 * time.Second)
	h.useVersion("v2")
}

// replaceVersion replaces the servers of v1 by others of v2, long after the timeout was shortened to
// less than clients pause between two events.
func (h *harness) replaceVersion() {
	h.setShort(2, shorten)
	h.useVersion("v1")
	time.Sleep(100 * time.Second)
	h.useVersion("v2")
}

// moveRoute has the route lead from another service to its own, long after the timeout was shortened.
func (h *harness) moveRoute() {
	h.setShort(2, func(r *routes.Route) { shorten(r); r.Shares = []routes.Share{{Service: "others", Weight: 1}} })
	time.Sleep(100 * time.Second)
	h.setShort(3, shorten)
}

func shorten(r *routes.Route) { r.Timeout = 2500 * time.Millisecond }

// TestStreamLifetime guards against streams that are taken up at the only version that servers have
// run for a time which is shorter than they may last: they may have begun at another one. It guards
// against the other error, too, of refusing streams whose version is known.
func TestStreamLifetime(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(h *harness)
		wait    time.Duration // of the client
		goesOn  bool
	}{
		"a VM that started after a timeout was shortened": {
			prepare: func(h *harness) {
				h.startShortened()
				time.Sleep(6 * time.Second)
			},
			wait: 30 * time.Second,
		},
		"such a VM, and a client that waits for little longer": {
			prepare: func(h *harness) {
				h.startShortened()
				time.Sleep(6 * time.Second)
			},
			wait: 2 * time.Second,
		},
		"such a VM, after longer than the client waited": {
			prepare: func(h *harness) {
				h.startShortened()
				time.Sleep(61 * time.Second)
			},
			wait: 30 * time.Second, goesOn: true,
		},
		"a server served its last stream until the timeout, and the client paused for as long as clients do": {
			prepare: func(h *harness) {
				h.replaceVersion()
				time.Sleep(9 * time.Second)
			},
			wait: 2 * time.Second,
		},
		"a server served its last stream until the timeout, after longer than the timeout and the pause": {
			prepare: func(h *harness) {
				h.replaceVersion()
				time.Sleep(10 * time.Second)
			},
			wait: 2 * time.Second, goesOn: true,
		},
		"a timeout was shortened while the stream was under way": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				time.Sleep(100 * time.Second)
				h.setShort(2, shorten)
				h.useVersion("v2")
				time.Sleep(10 * time.Second)
			},
			wait: 2 * time.Second,
		},
		"a timeout was shortened, and there is one version": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				time.Sleep(100 * time.Second)
				h.setShort(2, shorten)
				time.Sleep(time.Second)
			},
			wait: 2 * time.Second, goesOn: true,
		},
		"a timeout was shortened before all streams under way began": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				time.Sleep(10 * time.Second)
				h.setShort(2, shorten)
				h.useVersion("v2")
				time.Sleep(80 * time.Second)
			},
			wait: 2 * time.Second, goesOn: true,
		},
		"the route was renamed": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				time.Sleep(100 * time.Second)
				h.setShort(2, func(r *routes.Route) { r.Name = "renamed"; shorten(r) })
				h.useVersion("v2")
				time.Sleep(10 * time.Second)
			},
			wait: 2 * time.Second,
		},
		"the route led to another service": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				h.setShort(2, func(r *routes.Route) { r.Shares = []routes.Share{{Service: "others", Weight: 1}} })
				time.Sleep(100 * time.Second)
				h.setShort(3, func(*routes.Route) {})
				time.Sleep(10 * time.Second)
			},
			wait: 2 * time.Second,
		},
		"the route led to another service long ago": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				h.setShort(2, func(r *routes.Route) { r.Shares = []routes.Share{{Service: "others", Weight: 1}} })
				h.setShort(3, func(*routes.Route) {})
				time.Sleep(79 * time.Second)
			},
			wait: 2 * time.Second, goesOn: true,
		},
		"the route led to another service, with a timeout shorter than clients pause": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				h.moveRoute()
				time.Sleep(9 * time.Second)
			},
			wait: 2 * time.Second,
		},
		"the route led to another service, after longer than the timeout and the pause": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				h.moveRoute()
				time.Sleep(10 * time.Second)
			},
			wait: 2 * time.Second, goesOn: true,
		},
		"the route led to another service, and there is a record": {
			prepare: func(h *harness) {
				h.useVersion("v1")
				h.setShort(2, func(r *routes.Route) { r.Shares = []routes.Share{{Service: "others", Weight: 1}} })
				h.setShort(3, func(*routes.Route) {})
				h.origins.Began(origin.Record{Stream: origin.StreamOf("first"), Service: "engines", Version: "v1", TTL: time.Minute}, false)
			},
			wait: 2 * time.Second, goesOn: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 0)
				tc.prepare(h)
				start := time.Now()
				c, r := h.takeUp(t, tc.wait)
				if tc.goesOn {
					assert.Assert(t, r == nil && c.ended, "%v", r)
					return
				}
				check.Refusal(t, r, refuse.VersionUnknown, refuse.RanNo)
				assert.Equal(t, time.Since(start), time.Duration(0), "refused at once")
			})
		})
	}
}
