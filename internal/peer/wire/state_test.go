package wire

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
	_ "umberladder/internal/test/check" // fixes the seed
)

func drawMessage(t *rapid.T) *State {
	name := rapid.StringMatching(`[a-z0-9-]{1,20}`)
	n := rapid.IntRange(0, 1<<40)
	m := &State{
		VM: ident.VM(name.Draw(t, "vm")), Boot: rapid.Uint64().Draw(t, "boot"), Seq: rapid.Uint64().Draw(t, "seq"),
		Loads: map[ident.Server]seats.Load{}, Sent: map[ident.Service]retry.Sent{}, Version: rapid.Uint64().Draw(t, "version"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "loads") {
		m.Loads[ident.Server(name.Draw(t, "server"))] = seats.Load{
			Seats: n.Draw(t, "seats"), Tokens: n.Draw(t, "tokens"), Backlog: n.Draw(t, "backlog"), Copies: n.Draw(t, "copies"), Sends: n.Draw(t, "sends"),
		}
		m.Sent[ident.Service(name.Draw(t, "service"))] = retry.Sent{First: n.Draw(t, "first"), Again: n.Draw(t, "again")}
		m.Leaving = append(m.Leaving, ident.Server(name.Draw(t, "leaving")))
		m.Draining = append(m.Draining, ident.Server(name.Draw(t, "draining")))
	}
	if rapid.Bool().Draw(t, "watching") {
		m.Store = hubs.StoreStatus{Asks: true, Age: time.Duration(n.Draw(t, "age"))}
		m.News = &follow.News{Base: 3, Rev: 9, Age: time.Duration(n.Draw(t, "news-age")), Changes: []follow.Change{
			{Rev: 4, Gone: true, Entry: backs.Entry{ID: "gone"}, Lapse: time.Duration(n.Draw(t, "gone-grace"))},
			{Rev: 9, Lapse: time.Duration(n.Draw(t, "grace")), Entry: backs.Entry{
				ID: "came", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a",
				Slots: n.Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaves"),
			}},
		}}
	}
	if rapid.Bool().Draw(t, "hub") {
		m.Capacity, m.CandidateDigest = hubs.Capacity(rapid.Uint8().Draw(t, "capacity")), rapid.Uint64().Draw(t, "digest")
		m.Hub = &Hub{Digest: 7, Known: 9, Heard: 8, Rest: m.Sent, Names: []hubs.Candidate{
			{VM: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: 12},
		}}
	}
	if rapid.Bool().Draw(t, "reply") {
		m.RequestTime = uint64(n.Draw(t, "request-time"))
		m.Reply = &Reply{Ask: m.RequestTime, Version: 7, Age: time.Second}
	}
	if rapid.Bool().Draw(t, "placement") {
		m.PlacementRequest = &homes.Ask{VM: m.VM, Number: 8, Want: pick.Want{
			Service: "s", Use: pick.Move, Rank: n.Draw(t, "rank"), Need: n.Draw(t, "need"), Read: n.Draw(t, "read"), Memory: n.Draw(t, "memory"),
			From: "a", Source: "s", Skip: []ident.Server{"x", "y"}, Failed: []ident.Server{"z"}, Backup: rapid.Bool().Draw(t, "backup"), Wait: time.Duration(n.Draw(t, "wait")), Due: time.Second, Mark: rapid.Uint64().Draw(t, "mark"),
		}}
		m.PlacementResponse = &homes.Answer{Number: 9, State: homes.Full, Server: "e", Backup: "b", Ahead: n.Draw(t, "ahead"), Retry: time.Second}
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
	m := &State{VM: "a", Boot: 1, Seq: 2, Loads: make(map[ident.Server]seats.Load), News: &follow.News{Rev: 9}}
	for n := range 5000 {
		id := ident.Server(fmt.Sprintf("i-%08x@%d", n, 1<<40+n))
		m.Loads[id] = seats.Load{Seats: 24, Tokens: 30_000, Backlog: 5000, Copies: 3, Sends: 1}
		if n < 250 {
			m.News.Changes = append(m.News.Changes, follow.Change{Rev: 5, Entry: backs.Entry{
				ID: id, Service: "a-service-of-usual-length", Domain: "a-failure-domain", Addr: netip.MustParseAddrPort("10.200.100.100:10000"), Slots: 24,
			}})
		}
	}
	m.Sent = map[ident.Service]retry.Sent{"engines": {First: 12, Again: 1}}
	tracker, changes := seats.New(), 0
	for _, b := range m.EncodeParts(limit) {
		assert.Assert(t, len(b) <= limit, "%d bytes", len(b))
		got, err := Decode(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Sent, m.Sent) // each part replaces the attempts of earlier messages
		if got.News != nil {
			changes += len(got.News.Changes)
		}
		if got.HasLoads() {
			tracker.Hear(got.VM, got.Boot, got.Seq, got.Part, got.Loads, time.Now())
		}
	}
	assert.Equal(t, changes, len(m.News.Changes))
	assert.DeepEqual(t, tracker.All(time.Now()), m.Loads)
}

// FuzzDecode guards against panics on arbitrary bytes, and against messages without a VM.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{10, 1, 'a'})
	f.Add((&State{VM: "a", News: &follow.News{Rev: 3}}).Encode())
	f.Add([]byte{0x52, 0x05, 0x1a, 0x03, 0x2a, 0x01, 'x'})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err == nil && m.VM == "" {
			t.Fatal("decoded a message without a VM")
		}
	})
}
