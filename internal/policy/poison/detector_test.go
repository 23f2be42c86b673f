package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

const (
	fatal call.Fingerprint = 7
	other call.Fingerprint = 8
)

var config = Config{CrashLimit: 3, Duration: 10 * time.Minute}

func newDetector() *Detector { return New(config, func(Change) {}) }

func server(n int) ident.Server { return ident.Server(fmt.Sprint("i-", n)) }

// assertQuarantined fails the test unless exactly these requests are quarantined.
func assertQuarantined(t testing.TB, d *Detector, now time.Time, want ...call.Fingerprint) {
	t.Helper()
	assert.Equal(t, d.QuarantinedCount(now), len(want))
	for _, f := range want {
		_, ok := d.QuarantinedUntil(f, now)
		assert.Assert(t, ok, "%s is not quarantined", f)
	}
}

func TestQuarantine(t *testing.T) {
	start := time.Now()
	t.Run("three crashed servers quarantine a request", func(t *testing.T) {
		d := newDetector()
		for n := range 3 {
			assertQuarantined(t, d, start)
			assert.Equal(t, d.RecordCrash(fatal, server(n), start), n+1)
		}
		assertQuarantined(t, d, start, fatal)
		assertQuarantined(t, d, start.Add(config.Duration-time.Second), fatal)
		assertQuarantined(t, d, start.Add(config.Duration))
	})
	t.Run("a server counts once", func(t *testing.T) {
		d := newDetector()
		for range 5 {
			d.RecordCrash(fatal, server(1), start)
		}
		assertQuarantined(t, d, start)
	})
	t.Run("expired crashes do not count", func(t *testing.T) {
		d := newDetector()
		d.RecordCrash(fatal, server(0), start)
		d.RecordCrash(fatal, server(1), start.Add(config.Duration))
		d.RecordCrash(fatal, server(2), start.Add(config.Duration+time.Second))
		assertQuarantined(t, d, start.Add(config.Duration+time.Second))
	})
	t.Run("a request can be quarantined again", func(t *testing.T) {
		d := newDetector()
		for n := range 3 {
			d.RecordCrash(fatal, server(n), start)
		}
		later := start.Add(config.Duration + time.Minute)
		d.RecordCrash(fatal, server(4), later)
		d.RecordCrash(fatal, server(5), later)
		assertQuarantined(t, d, later)
		d.RecordCrash(fatal, server(6), later)
		assertQuarantined(t, d, later, fatal)
	})
	t.Run("a request that completes is cleared", func(t *testing.T) {
		d := newDetector()
		d.RecordCrash(fatal, server(0), start)
		d.RecordCrash(fatal, server(1), start)
		d.RecordCompletion(fatal, start.Add(time.Second))
		for n := range 5 {
			assert.Equal(t, d.RecordCrash(fatal, server(2+n), start.Add(2*time.Second)), 0, "the request has recently completed")
		}
		later := start.Add(time.Second + completedPeriod)
		d.RecordCrash(fatal, server(7), later)
		d.RecordCrash(fatal, server(8), later)
		assertQuarantined(t, d, later)
		d.RecordCrash(fatal, server(9), later)
		assertQuarantined(t, d, later, fatal)
	})
	t.Run("a quarantined request that completes is released", func(t *testing.T) {
		d := newDetector()
		for n := range 3 {
			d.RecordCrash(fatal, server(n), start)
		}
		d.RecordCompletion(fatal, start.Add(time.Second))
		assertQuarantined(t, d, start.Add(time.Second))
		d.MergeStored([]Quarantine{{Request: fatal, Until: start.Add(config.Duration)}}, start.Add(time.Minute))
		assertQuarantined(t, d, start.Add(time.Minute))
	})
}

// TestAttributedCrashes guards against quarantining a harmless request that ran on three
// servers when another request crashed them.
func TestAttributedCrashes(t *testing.T) {
	d, now := newDetector(), time.Now()
	for n := range 2 {
		d.RecordCrash(other, server(n), now)
	}
	for n := range 3 {
		d.RecordCrash(fatal, server(n), now)
	}
	d.RecordCrash(other, server(2), now)
	assertQuarantined(t, d, now, fatal)
	d.RecordCrash(other, server(3), now)
	d.RecordCrash(other, server(4), now)
	assertQuarantined(t, d, now, fatal)
	d.RecordCrash(other, server(5), now)
	assertQuarantined(t, d, now, fatal, other)
}

// TestMerge guards against VMs that disagree after they have exchanged all findings, in any
// order, repeatedly and partly over other VMs, and against evidence that is not evaluated.
func TestMerge(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		detectors := []*Detector{newDetector(), newDetector(), newDetector()}
		vm := rapid.IntRange(0, len(detectors)-1)
		seen := make(map[call.Fingerprint]map[ident.Server]bool)
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			d := detectors[vm.Draw(t, "vm")]
			if rapid.Bool().Draw(t, "merges") {
				d.Merge(detectors[vm.Draw(t, "from")].Report(now), now)
				continue
			}
			f := call.Fingerprint(rapid.IntRange(1, 2).Draw(t, "request"))
			s := server(rapid.IntRange(0, 9).Draw(t, "server"))
			d.RecordCrash(f, s, now)
			if seen[f] == nil {
				seen[f] = make(map[ident.Server]bool)
			}
			seen[f][s] = true
		}
		for range detectors {
			for i, d := range detectors {
				d.HandleResponse("hub", uint64(now.UnixNano()), 0, now)
				detectors[(i+1)%len(detectors)].Merge(d.Report(now), now)
			}
		}
		for _, d := range detectors {
			for f, crashes := range seen {
				assert.Equal(t, len(d.requests[f].Crashes), len(crashes))
				_, quarantined := d.QuarantinedUntil(f, now)
				assert.Assert(t, quarantined || d.crashCount(d.requests[f]) < config.CrashLimit, "%s is not quarantined", f)
				_, first := detectors[0].QuarantinedUntil(f, now)
				assert.Equal(t, quarantined, first)
			}
		}
	})
}

// TestAnnounceDifferences guards against hubs and VMs sending quarantines that the receiver
// already has, or omitting those that it lacks.
func TestAnnounceDifferences(t *testing.T) {
	now := time.Now()
	d := newDetector()
	for n := range 3 {
		d.RecordCrash(fatal, server(n), now)
	}
	assert.Equal(t, len(d.Report(now)), 1, "a new quarantine is announced")
	later := now.Add(2 * announcePeriod)
	for i, tc := range []struct {
		digest uint64
		want   int
	}{{0, 1}, {d.Digest(later), 0}, {1, 1}} {
		d.HandleResponse("hub", 1, tc.digest, now) // the hub started long ago
		d.HandleResponse("hub", 1, tc.digest, later)
		assert.Equal(t, len(d.Report(later)), tc.want, "case %d", i)
		d.HandleReport("vm", tc.digest)
		assert.Equal(t, len(d.Response("vm", later)), tc.want, "case %d", i)
	}
	assert.Equal(t, len(d.Response("one that starts", later)), 1)
	assert.Equal(t, newDetector().Digest(now), uint64(0))
}

// TestQuarantineEnds guards against a quarantine that never ends because VMs announce it to
// each other after some have dropped it.
func TestQuarantineEnds(t *testing.T) {
	const latency = 5 * time.Millisecond
	now := time.Now()
	a, d := newDetector(), newDetector()
	for n := range 3 {
		a.RecordCrash(fatal, server(n), now)
	}
	end := now.Add(config.Duration + time.Second)
	for ; now.Before(end); now = now.Add(20 * time.Millisecond) {
		for _, pair := range [][2]*Detector{{a, d}, {d, a}} {
			pair[0].HandleResponse("hub", 1, pair[1].Digest(now), now)
			list := pair[0].Report(now)
			for i := range list {
				list[i].Quarantined = list[i].Quarantined.Add(latency)
			}
			pair[1].Merge(list, now)
		}
	}
	assertQuarantined(t, a, now)
	assertQuarantined(t, d, now)
}

// TestEvidenceIsBounded guards against unbounded evidence and against dropping the newest.
func TestEvidenceIsBounded(t *testing.T) {
	d, now := newDetector(), time.Now()
	for n := range 3 * maxRequests {
		d.RecordCrash(call.Fingerprint(n+100), server(n%50), now.Add(time.Duration(n)*time.Microsecond))
	}
	assert.Assert(t, len(d.requests) <= maxRequests, "%d requests", len(d.requests))
	assert.Assert(t, len(d.Report(now)) <= maxAnnounced)
	for n := range 3 {
		d.RecordCrash(fatal, server(100+n), now.Add(time.Second))
	}
	assertQuarantined(t, d, now.Add(time.Second), fatal)
}

func BenchmarkQuarantinedUntil(b *testing.B) {
	d, now := newDetector(), time.Now()
	for n := range 3 {
		d.RecordCrash(fatal, server(n), now)
	}
	for b.Loop() {
		d.QuarantinedUntil(other, now)
	}
}

// BenchmarkMerge merges reports without new information into a hub's large set of findings.
func BenchmarkMerge(b *testing.B) {
	d, now := newDetector(), time.Now()
	for n := range maxRequests {
		d.RecordCrash(call.Fingerprint(n+100), server(n%50), now)
	}
	for n := range 3 {
		d.RecordCrash(fatal, server(100+n), now)
	}
	d.HandleResponse("hub", 1, 0, now.Add(2*announcePeriod))
	list := d.Report(now.Add(2 * announcePeriod))
	for b.Loop() {
		d.Merge(list, now.Add(2*announcePeriod))
	}
}
