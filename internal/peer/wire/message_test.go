package wire

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/coord"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
	_ "umberladder/internal/test/check" // fixes the seed
)

func drawMessage(t *rapid.T) *Message {
	name := rapid.StringMatching(`[a-z0-9-]{1,20}`)
	n := rapid.IntRange(0, 1<<40)
	m := &Message{
		VM: ident.VM(name.Draw(t, "vm")), Instance: rapid.Uint64().Draw(t, "boot"), Seq: rapid.Uint64().Draw(t, "seq"),
		Loads: map[ident.Server]alloc.Load{}, Attempts: map[ident.Service]retry.Attempts{}, SettingsVersion: rapid.Uint64().Draw(t, "version"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "loads") {
		m.Loads[ident.Server(name.Draw(t, "server"))] = alloc.Load{
			Calls: n.Draw(t, "calls"), Tokens: n.Draw(t, "tokens"), Backlog: n.Draw(t, "backlog"), CopiesIn: n.Draw(t, "copies-in"), CopiesOut: n.Draw(t, "copies-out"),
			PaceRuns: n.Draw(t, "pace-runs"), PaceMicros: n.Draw(t, "pace-micros"),
		}
		m.Attempts[ident.Service(name.Draw(t, "service"))] = retry.Attempts{First: n.Draw(t, "first"), Retries: n.Draw(t, "retries")}
		m.Retired = append(m.Retired, ident.Server(name.Draw(t, "retired")))
		m.Draining = append(m.Draining, ident.Server(name.Draw(t, "draining")))
	}
	if rapid.Bool().Draw(t, "watching") {
		m.Store = hubs.StoreStatus{Watching: true, Age: time.Duration(n.Draw(t, "age"))}
		m.ServerUpdate = &follow.Update{Base: 3, Rev: 9, Age: time.Duration(n.Draw(t, "update-age")), Changes: []follow.Change{
			{Rev: 4, Gone: true, Entry: srvtab.Entry{ID: "gone"}, Grace: time.Duration(n.Draw(t, "gone-grace"))},
			{Rev: 9, Grace: time.Duration(n.Draw(t, "grace")), Entry: srvtab.Entry{
				ID: "came", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a",
				Slots: n.Draw(t, "slots"), Version: ident.Version(name.Draw(t, "version")), Draining: rapid.Bool().Draw(t, "entry-draining"),
			}},
		}}
		if rapid.Bool().Draw(t, "unseen") {
			m.ServerUpdate.Unseen = 9
			m.ServerUpdate.History = srvtab.History{Complete: time.Duration(n.Draw(t, "complete")), Gone: []srvtab.GoneVersion{
				{Service: "s", Version: ident.Version(name.Draw(t, "gone-version")), Ago: time.Duration(n.Draw(t, "gone-ago"))},
			}}
			m.ServerUpdate.Past = []routes.PathPast{{
				Host: "h", Prefix: "/p/", Ago: time.Duration(n.Draw(t, "past-ago")),
				Past: routes.Past{Lifetime: time.Duration(n.Draw(t, "lifetime")), Moved: rapid.Bool().Draw(t, "moved")},
			}}
		}
	}
	if rapid.Bool().Draw(t, "hub") {
		m.Capacity, m.CandidateDigest = hubs.Capacity(rapid.Uint8().Draw(t, "capacity")), rapid.Uint64().Draw(t, "digest")
		m.Hub = &HubResponse{CandidateDigest: 7, Known: 9, Reporting: 8, PeerAttempts: m.Attempts, Candidates: []hubs.Candidate{
			{VM: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: 12},
		}}
		if rapid.Bool().Draw(t, "carriers") {
			m.Hub.Carriers = []hubs.Candidate{{VM: "b", Addr: netip.MustParseAddrPort("10.0.0.2:80"), Capacity: 11, Domain: "d"}}
		}
	}
	if rapid.Bool().Draw(t, "timings") {
		count := rapid.IntRange(0, math.MaxInt32)
		m.Timings = map[ident.Server]timing.Stats{}
		for range rapid.IntRange(1, 4).Draw(t, "timed") {
			m.Timings[ident.Server(name.Draw(t, "timed-server"))] = timing.Stats{
				Responses: count.Draw(t, "responses"), Time: time.Duration(n.Draw(t, "time")) * time.Microsecond,
				Rejections: count.Draw(t, "rejections"), InFlight: count.Draw(t, "in-flight"),
			}
		}
		if m.Hub != nil {
			m.Hub.Timings = m.Timings
		}
	}
	for id := uint64(0); len(m.Grants) < 3 && rapid.Bool().Draw(t, "grant"); {
		id += rapid.Uint64Range(0, 1<<62).Draw(t, "after")
		m.Grants = append(m.Grants, id)
	}
	m.Isolated = rapid.Bool().Draw(t, "isolated")
	if rapid.Bool().Draw(t, "reply") {
		m.RequestTime = uint64(n.Draw(t, "request-time"))
		m.Reply = &VersionReply{RequestTime: m.RequestTime, Version: 7, Age: time.Second}
	}
	if rapid.Bool().Draw(t, "placement") {
		m.PlacementRequest = &coord.Request{VM: m.VM, ID: 8, ReportsGrants: rapid.Bool().Draw(t, "reports-grants"), Run: pick.Request{
			Service: "s", Purpose: pick.Migration, Rank: n.Draw(t, "rank"), Need: n.Draw(t, "need"), Prefill: n.Draw(t, "prefill"), EngineMemory: n.Draw(t, "memory"),
			From: "a", Source: "s", Exclude: []ident.Server{"x", "y"}, Unreachable: []ident.Server{"z"}, Version: ident.Version(name.Draw(t, "run-version")), Backup: rapid.Bool().Draw(t, "backup"), MaxWait: time.Duration(n.Draw(t, "wait")), TargetWait: time.Second, RetryKey: rapid.Uint64().Draw(t, "retry-key"),
			Output: n.Draw(t, "output"), GapTarget: time.Duration(n.Draw(t, "gap-target")), EventTokens: n.Draw(t, "event-tokens"), LatencyTarget: time.Duration(n.Draw(t, "latency-target")), Remaining: time.Duration(n.Draw(t, "remaining")),
		}}
		if run := &m.PlacementRequest.Run; rapid.Bool().Draw(t, "share") {
			run.Workspace, run.Subject, run.Weight = "w", rapid.Uint64().Draw(t, "subject"), rapid.IntRange(1, math.MaxInt32).Draw(t, "weight")
		}
		m.PlacementResponse = &coord.Response{ID: 9, State: coord.NoCapacity, Server: "e", Backup: "b", Ahead: n.Draw(t, "ahead"), Share: n.Draw(t, "granted-share"), OwnAhead: n.Draw(t, "own-ahead"), RetryAfter: time.Second}
	}
	if rapid.Bool().Draw(t, "origins") {
		r := origin.Record{Stream: origin.Stream(rapid.Uint64().Draw(t, "stream")), Service: "s", Version: "v1", TTL: time.Duration(n.Draw(t, "ttl"))}
		m.Origins = []origin.Record{r, r}
		m.OriginQuery = &origin.Query{ID: 4, Stream: r.Stream, Service: "s", Lifetime: r.TTL}
		m.OriginAnswer = &origin.Answer{ID: 5, VM: m.VM, Record: &r, Only: ident.Version(name.Draw(t, "only")), Several: rapid.Bool().Draw(t, "several")}
	}
	return m
}

func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawMessage(t)
		got, err := Decode(want.Encode())
		assert.NilError(t, err)
		assert.Assert(t, reflect.DeepEqual(got, want), "%+v, want %+v", got, want)
	})
	_, err := Decode(nil)
	assert.ErrorContains(t, err, "names no VM")
}

// TestParts guards against loads, changes or counts that are lost when a message is too
// large for one datagram and is sent in parts.
func TestParts(t *testing.T) {
	const limit = 60 << 10
	m := &Message{VM: "a", Instance: 1, Seq: 2, Loads: make(map[ident.Server]alloc.Load), ServerUpdate: &follow.Update{Rev: 9}}
	for n := range 5000 {
		id := ident.Server(fmt.Sprintf("i-%08x@%d", n, 1<<40+n))
		m.Loads[id] = alloc.Load{Calls: 24, Tokens: 30_000, Backlog: 5000, CopiesIn: 3, CopiesOut: 1, PaceRuns: 24, PaceMicros: 24 * 29_000}
		if n < 250 {
			m.ServerUpdate.Changes = append(m.ServerUpdate.Changes, follow.Change{Rev: 5, Entry: srvtab.Entry{
				ID: id, Service: "a-service-of-usual-length", Domain: "a-failure-domain", Addr: netip.MustParseAddrPort("10.200.100.100:10000"), Slots: 24,
			}})
		}
	}
	m.Attempts = map[ident.Service]retry.Attempts{"engines": {First: 12, Retries: 1}}
	tracker, changes := alloc.New(), 0
	for _, b := range m.EncodeParts(limit) {
		assert.Assert(t, len(b) <= limit, "%d bytes", len(b))
		got, err := Decode(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Attempts, m.Attempts) // each part replaces the attempts of earlier messages
		if got.ServerUpdate != nil {
			changes += len(got.ServerUpdate.Changes)
		}
		if got.HasLoads() {
			tracker.UpdatePeer(got.VM, got.Instance, got.Seq, got.Part, got.Loads, time.Now())
		}
	}
	assert.Equal(t, changes, len(m.ServerUpdate.Changes))
	assert.DeepEqual(t, tracker.All(time.Now()), m.Loads)
}

// FuzzDecode guards against panics on arbitrary bytes, and against messages without a VM.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{10, 1, 'a'})
	f.Add((&Message{VM: "a", ServerUpdate: &follow.Update{Rev: 3}}).Encode())
	f.Add([]byte{0x52, 0x05, 0x1a, 0x03, 0x2a, 0x01, 'x'})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err == nil && m.VM == "" {
			t.Fatal("decoded a message without a VM")
		}
	})
}

// TestTimingSize guards against reports and responses that grow beyond what the network was
// planned for: 45 bytes for each server.
func TestTimingSize(t *testing.T) {
	m := &Message{VM: "a", Hub: &HubResponse{}}
	before := len(m.Encode())
	m.Hub.Timings = make(map[ident.Server]timing.Stats)
	for n := range timing.MaxServers {
		id := ident.NewServer(fmt.Sprint("plain-", n), time.Unix(1_700_000_000, 0))
		m.Hub.Timings[id] = timing.Stats{Responses: 120, Time: 4 * time.Second, Rejections: 130, InFlight: 12}
	}
	size := (len(m.Encode()) - before) / timing.MaxServers
	t.Logf("%d bytes for each server", size)
	assert.Assert(t, size <= 45, "%d bytes", size)
}
