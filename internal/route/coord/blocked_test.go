package coord

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
)

// TestBoundStreams guards against streams that have begun, are bound to full failure domains and
// keep new calls from the capacity of other domains, and against new calls that precede them where
// they could run themselves.
func TestBoundStreams(t *testing.T) {
	type domains = []ident.FailureDomain
	for name, tc := range map[string]struct {
		version ident.Version // of the engines and streams
		streams []domains     // in the order in which they are served
		call    domains
		free    []ident.Server // before the call arrives
		queued  bool           // whether the call has to wait before the queues are served
		granted []int          // streams that are granted then; the call has the next number
	}{
		"a free domain that the stream can't use":      {"", []domains{{"a"}}, nil, []ident.Server{"e1"}, false, []int{1}},
		"the same, and versions are known":             {"v", []domains{{"a"}}, nil, []ident.Server{"e1"}, false, []int{1}},
		"the stream's own domain":                      {"", []domains{{"a"}}, nil, []ident.Server{"e0"}, true, []int{0}},
		"the stream's own domain and versions":         {"v", []domains{{"a"}}, nil, []ident.Server{"e0"}, true, []int{0}},
		"a call bound to the stream's domain":          {"", []domains{{"a"}}, domains{"a"}, []ident.Server{"e0"}, true, []int{0}},
		"a call bound to the other domain":             {"", []domains{{"a"}}, domains{"b"}, []ident.Server{"e1"}, false, []int{1}},
		"an unbound stream precedes the call":          {"", []domains{{"a"}, nil}, nil, []ident.Server{"e1"}, true, []int{1}},
		"an unbound stream of a version precedes it":   {"v", []domains{{"a"}, nil}, nil, []ident.Server{"e1"}, true, []int{1}},
		"a stream bound to both precedes the call":     {"", []domains{{"a"}, {"a", "b"}}, nil, []ident.Server{"e1"}, true, []int{1}},
		"the earlier stream precedes in its domain":    {"", []domains{{"a"}, {"a", "b"}}, nil, []ident.Server{"e0"}, true, []int{0}},
		"the other way round":                          {"", []domains{{"a", "b"}, {"a"}}, nil, []ident.Server{"e0"}, true, []int{0}},
		"streams of both domains precede the call":     {"", []domains{{"a"}, {"b"}}, nil, []ident.Server{"e0"}, true, []int{0}},
		"streams and a call get one engine each":       {"v", []domains{{"a"}, {"b"}}, nil, []ident.Server{"e0", "e1", "e3"}, true, []int{0, 1, 2}},
		"a stream that is bound to no existing domain": {"", []domains{{"a"}, {"a", "c"}}, nil, []ident.Server{"e1"}, false, []int{2}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t)
			r.setVersion(tc.version)
			full := map[ident.Server]*alloc.Reservation{}
			for i := range replayEngines {
				id := ident.Server(fmt.Sprint("e", i))
				full[id] = r.tracker.Reserve(id, alloc.Load{Calls: replaySlots})
			}
			states := make([]State, len(tc.streams)+1)
			submit := func(i int, run pick.Request) {
				run.Service, run.Rank, run.Need, run.EngineMemory, run.From = "s", 1, callTokens, replaySlots*callTokens*10/9, "a"
				run.TargetWait, run.MaxWait = targetWait, time.Second+time.Duration(i)*time.Millisecond
				r.coordinator.Submit(Request{VM: "vm", ID: uint64(i), Run: run}, func(resp Response) {
					states[i] = resp.State
					if resp.State == Granted {
						r.tracker.Reserve(resp.Server, alloc.Load{Calls: replaySlots})
					}
				}, r.now)
			}
			for i, d := range tc.streams {
				submit(i, pick.Request{Purpose: pick.Migration, Domains: d, Version: tc.version})
			}
			r.coordinator.serve(r.now)
			r.now = r.now.Add(step)
			if !tc.queued { // streams can't use it, or they would have been granted
				for _, id := range tc.free {
					full[id].Release()
				}
			}
			submit(len(tc.streams), pick.Request{Domains: tc.call})
			assert.Equal(t, states[len(tc.streams)] == Waiting, tc.queued)
			if tc.queued {
				for _, id := range tc.free {
					full[id].Release()
				}
			}
			r.coordinator.serve(r.now)
			var granted []int
			for i, s := range states {
				if s == Granted {
					granted = append(granted, i)
				}
			}
			assert.DeepEqual(t, granted, tc.granted)
		})
	}
}
