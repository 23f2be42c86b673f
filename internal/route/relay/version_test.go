package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/srvtab"
	"umberladder/internal/test/check"
)

// setVersions sets the versions of the servers' software, in the order of their names.
func (h *harness) setVersions(versions ...ident.Version) {
	for i, v := range versions {
		e := serverEntry(i)
		e.Version = v
		h.table.Put(e)
	}
}

// versionOf returns the version of a server's software.
func (h *harness) versionOf(id ident.Server) ident.Version { return h.table.View().Server(id).Version }

// TestVersionOfContinuation guards against streams that go on at an engine with another version
// of the software, by each way in which they can go on.
func TestVersionOfContinuation(t *testing.T) {
	for name, tc := range map[string]struct {
		path     string
		versions []ident.Version
		fault    func(h *harness)
		lost     refuse.Reason // no engine may continue the stream
	}{
		"migration": {
			path: "/long/x", versions: []ident.Version{"v1", "v2", "v1", "v2"},
			fault: func(h *harness) { after(100*time.Millisecond, h.retireRunningServer) },
		},
		"backup": {
			path: "/long/x", versions: []ident.Version{"v1", "v2", "v1", "v2"},
			fault: func(h *harness) { after(2*time.Second, h.retireRunningServer) },
		},
		"crash, with a backup": {
			path: "/long/x", versions: []ident.Version{"v1", "v2", "v1", "v2"},
			fault: func(h *harness) { after(2*time.Second, func() { h.engines.crash(h.runningServer()) }) },
		},
		"crash of the version's only engine": {
			path: "/long/x", versions: []ident.Version{"v1", "v2", "v3", "v4"}, lost: refuse.ServerLost,
			fault: func(h *harness) { after(2*time.Second, func() { h.engines.crash(h.runningServer()) }) },
		},
		"resumption": {
			path: "/short/x", versions: []ident.Version{"v1", "v2", "v1", "v2"},
			fault: func(h *harness) { after(time.Second, func() { h.engines.crash(h.runningServer()) }) },
		},
		"resumption without another engine of the version": {
			path: "/short/x", versions: []ident.Version{"v1", "v2", "v3", "v4"}, lost: refuse.NoServer,
			fault: func(h *harness) { after(time.Second, func() { h.engines.crash(h.runningServer()) }) },
		},
		"migration from the version's only engine": {
			path: "/long/x", versions: []ident.Version{"v1", "v2", "v3", "v4"},
			fault: func(h *harness) { after(time.Second, h.retireRunningServer) },
		},
		"the backup is replaced by a server of another version": {
			path: "/long/x", versions: []ident.Version{"v1", "v1"}, lost: refuse.ServerLost,
			fault: func(h *harness) {
				after(1900*time.Millisecond, func() {
					other := map[ident.Server]int{"s0": 1, "s1": 0}[h.runningServer()]
					e := serverEntry(other)
					e.Version = "v2"
					h.table.Put(e)
				})
				after(2*time.Second, func() { h.engines.crash(h.runningServer()) })
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, len(tc.versions))
				h.setVersions(tc.versions...)
				tc.fault(h)
				c, r := h.serve(t.Context(), tc.path)
				if tc.lost != refuse.Unspecified {
					assert.Assert(t, c.aborted && !c.ended)
					check.Refusal(t, h.records[0].Refusal, tc.lost, refuse.RanPartial)
					return
				}
				assertComplete(t, c, r, h.engines.events)
				assert.Equal(t, h.versionOf(h.records[0].Server), h.versionOf(ident.Server(h.engines.started[0])))
			})
		})
	}
}

// TestUnknownVersion guards against streams that go on at another engine although the version of
// the software that began them is not known.
func TestUnknownVersion(t *testing.T) {
	for _, path := range []string{"/long/x", "/short/x"} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 0)
			for i := range 3 {
				e := serverEntry(i)
				e.Version = ""
				h.table.Put(e)
			}
			after(2*time.Second, func() { h.engines.crash(h.runningServer()) })
			c, _ := h.serve(t.Context(), path)
			assert.Assert(t, c.aborted && !c.ended)
			assert.Equal(t, len(h.engines.started)+len(h.engines.continued), 1)
		})
	}
}

// TestTakenUpStream checks where a stream goes on that its client takes up.
func TestTakenUpStream(t *testing.T) {
	for name, tc := range map[string]struct {
		versions []ident.Version // of the servers when it is taken up
		began    ident.Version   // recorded for the attempt; empty: there is no record
		reason   refuse.Reason   // of the refusal; zero: it goes on
	}{
		"its version":                        {versions: []ident.Version{"v1", "v2", "v3"}, began: "v2"},
		"its version is gone":                {versions: []ident.Version{"v1", "v1", "v3"}, began: "v2", reason: refuse.VersionGone},
		"unknown, with several versions":     {versions: []ident.Version{"v1", "v2", "v3"}, reason: refuse.VersionUnknown},
		"unknown, shortly after the start":   {versions: []ident.Version{"v1", "v1", "v1"}, reason: refuse.VersionUnknown},
		"its version, shortly after a start": {versions: []ident.Version{"v1", "v1", "v1"}, began: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 3)
				h.setVersions(tc.versions...)
				call := h.call("/short/x")
				call.ID, call.Resumes, call.LastEventID = "second", "first", "40"
				if tc.began != "" {
					h.origins.Began(origin.Record{Stream: origin.StreamOf("first"), Service: "engines", Version: tc.began, TTL: time.Minute}, false)
				}
				start, c := time.Now(), &client{}
				r := h.relay.Serve(t.Context(), call, c)
				_ = h.group.Wait()
				if tc.reason != refuse.Unspecified {
					check.Refusal(t, r, tc.reason, refuse.RanNo)
					assert.Equal(t, time.Since(start), time.Duration(0), "refused at once")
					assert.Equal(t, r.RetryAfter > 0, tc.reason == refuse.VersionUnknown, "no server returns to a version that is gone")
					return
				}
				assert.Assert(t, r == nil && c.ended, "%v", r)
				assert.Equal(t, h.versionOf(h.records[0].Server), tc.began)
			})
		})
	}
	t.Run("the only version for long", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 0)
			h.table.Replace([]srvtab.Entry{serverEntry(0)}, time.Time{}, time.Now())
			time.Sleep(2 * time.Minute)
			h.settings.ConfirmNewest(h.clock())
			call := h.call("/short/x")
			call.ID, call.Resumes, call.LastEventID = "second", "first", "40"
			c := &client{}
			r := h.relay.Serve(t.Context(), call, c)
			_ = h.group.Wait()
			assert.Assert(t, r == nil && c.ended, "%v", r)
		})
	})
}
