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

var (
	fatal = Suspect{ID: 7, Depth: WholeRequest}
	other = Suspect{ID: 8, Depth: WholeRequest}
)

var config = Config{CrashLimit: 3, Duration: 10 * time.Minute}

func newDetector() *Detector { return New(config, func(Change) {}) }

func server(n int) ident.Server { return ident.Server(fmt.Sprint("i-", n)) }

// crash records the crash of a server under a request with the suspects.
func (d *Detector) crash(n int, now time.Time, list ...Suspect) int {
	return d.RecordCrash(list, server(n), now)
}

// pass records that a server got past the beginning of its response.
func (d *Detector) pass(n int, now time.Time, list ...Suspect) { d.RecordPass(list, server(n), now) }

func (d *Detector) isQuarantined(s Suspect, now time.Time) bool {
	_, _, ok := d.Quarantined([]Suspect{s}, now)
	return ok
}

// assertQuarantined fails the test unless exactly these suspects are quarantined.
func assertQuarantined(t testing.TB, d *Detector, now time.Time, want ...Suspect) {
	t.Helper()
	assert.Equal(t, d.QuarantinedCount(now), len(want))
	for _, s := range want {
		assert.Assert(t, d.isQuarantined(s, now), "%s is not quarantined", s.ID)
	}
}

func TestQuarantine(t *testing.T) {
	start := time.Now()
	t.Run("three crashed servers quarantine a suspect", func(t *testing.T) {
		d := newDetector()
		for n := range 3 {
			assertQuarantined(t, d, start)
			assert.Equal(t, d.crash(n, start, fatal), n+1)
		}
		assertQuarantined(t, d, start, fatal)
		assertQuarantined(t, d, start.Add(config.Duration-time.Second), fatal)
		assertQuarantined(t, d, start.Add(config.Duration))
	})
	t.Run("a server counts once", func(t *testing.T) {
		d := newDetector()
		for range 5 {
			d.crash(1, start, fatal)
		}
		assertQuarantined(t, d, start)
	})
	t.Run("expired crashes do not count", func(t *testing.T) {
		d := newDetector()
		d.crash(0, start, fatal)
		d.crash(1, start.Add(config.Duration), fatal)
		d.crash(2, start.Add(config.Duration+time.Second), fatal)
		assertQuarantined(t, d, start.Add(config.Duration+time.Second))
	})
	t.Run("a suspect can be quarantined again", func(t *testing.T) {
		d := newDetector()
		for n := range 3 {
			d.crash(n, start, fatal)
		}
		later := start.Add(config.Duration + time.Minute)
		d.crash(4, later, fatal)
		d.crash(5, later, fatal)
		assertQuarantined(t, d, later)
		d.crash(6, later, fatal)
		assertQuarantined(t, d, later, fatal)
	})
	t.Run("a pass makes up for one crash", func(t *testing.T) {
		d := newDetector()
		d.crash(0, start, fatal)
		d.crash(1, start, fatal)
		d.pass(2, start.Add(time.Second), fatal)
		assert.Equal(t, d.crash(3, start.Add(2*time.Second), fatal), 2)
		assertQuarantined(t, d, start.Add(2*time.Second))
		d.crash(4, start.Add(3*time.Second), fatal)
		assertQuarantined(t, d, start.Add(3*time.Second), fatal)
	})
	t.Run("a series of passes clears a suspect", func(t *testing.T) {
		d := newDetector()
		d.crash(0, start, fatal)
		d.crash(1, start, fatal)
		for n := range maxCredit {
			d.pass(10+n, start.Add(time.Second), fatal)
		}
		later := start.Add(2 * time.Second)
		for n := range maxCredit + config.CrashLimit - 1 {
			d.crash(20+n, later, fatal)
			assertQuarantined(t, d, later)
		}
		d.crash(30, later, fatal)
		assertQuarantined(t, d, later, fatal)
	})
	t.Run("passes before the first crash count", func(t *testing.T) {
		d := newDetector()
		d.pass(0, start, fatal)
		later := start.Add(passPeriod - time.Second)
		for n := range 3 {
			d.crash(1+n, later, fatal)
		}
		assertQuarantined(t, d, later)
		d.crash(4, later, fatal)
		assertQuarantined(t, d, later, fatal)
	})
	t.Run("a quarantined suspect that passes is released", func(t *testing.T) {
		d := newDetector()
		for n := range 3 {
			d.crash(n, start, fatal)
		}
		d.pass(4, start.Add(time.Second), fatal)
		assertQuarantined(t, d, start.Add(time.Second))
		d.MergeStored([]Quarantine{{Suspect: fatal.ID, Until: start.Add(config.Duration)}}, start.Add(time.Minute))
		assertQuarantined(t, d, start.Add(time.Minute))
	})
}

// TestExplainedCrashes guards against quarantining a harmless request that ran on three
// servers when another request crashed them.
func TestExplainedCrashes(t *testing.T) {
	d, now := newDetector(), time.Now()
	for n := range 2 {
		d.crash(n, now, other)
	}
	for n := range 3 {
		d.crash(n, now, fatal)
	}
	d.crash(2, now, other)
	assertQuarantined(t, d, now, fatal)
	d.crash(3, now, other)
	d.crash(4, now, other)
	assertQuarantined(t, d, now, fatal)
	d.crash(5, now, other)
	assertQuarantined(t, d, now, fatal, other)
}

// request returns the suspects of a request of its own with the given parts.
func request(n int, parts ...call.Fingerprint) []Suspect {
	return Suspects(call.Fingerprint(1<<32+n), parts)
}

// TestFatalPart guards against a part that crashes servers in requests of which no two are
// alike, and against blaming what they share with others. In each case, part 1 is the fatal
// one, and the parts from 2 on are not.
func TestFatalPart(t *testing.T) {
	fatalPart := Suspect{ID: 1}
	for name, tc := range map[string]struct {
		parts      func(n int) []call.Fingerprint // of the fatal requests
		maxCrashes int
		passes     []call.Fingerprint // parts that have passed
		repeats    int                // how often each request is sent; zero: once
	}{
		"behind a shared part":               {parts: func(int) []call.Fingerprint { return []call.Fingerprint{2, 1} }, maxCrashes: 3},
		"first part":                         {parts: func(n int) []call.Fingerprint { return []call.Fingerprint{1, call.Fingerprint(10 + n)} }, maxCrashes: 3},
		"before a shared part that passes":   {parts: func(int) []call.Fingerprint { return []call.Fingerprint{1, 2} }, passes: []call.Fingerprint{2}, maxCrashes: 3},
		"before parts that are shared a lot": {parts: func(n int) []call.Fingerprint { return []call.Fingerprint{1, call.Fingerprint(10 + n/2)} }, maxCrashes: 3},
		"each request is repeated":           {parts: func(int) []call.Fingerprint { return []call.Fingerprint{2, 1} }, passes: []call.Fingerprint{2}, repeats: 3, maxCrashes: 5},
	} {
		t.Run(name, func(t *testing.T) {
			d, now := newDetector(), time.Now()
			d.pass(0, now, request(0, tc.passes...)...)
			crashes := 0
			for n := range 40 {
				now = now.Add(100 * time.Millisecond)
				list := request(n/max(tc.repeats, 1), tc.parts(n)...)
				if _, _, refused := d.Quarantined(list, now); !refused {
					d.crash(1+n, now, list...)
					crashes++
				}
			}
			assert.Assert(t, crashes <= tc.maxCrashes, "%d crashes", crashes)
			assert.Assert(t, d.isQuarantined(fatalPart, now))
			for id := range 30 {
				assert.Assert(t, !d.isQuarantined(Suspect{ID: call.Fingerprint(2 + id)}, now), "part %d is quarantined", 2+id)
			}
		})
	}
	t.Run("two at once, with a first part in common", func(t *testing.T) {
		d, now := newDetector(), time.Now()
		d.pass(0, now, request(0, 2)...)
		for n := range 12 {
			list := request(n, 2, []call.Fingerprint{1, 3}[n%2])
			if _, _, refused := d.Quarantined(list, now); !refused {
				d.crash(1+n, now, list...)
			}
			if n%3 == 0 {
				d.pass(100+n, now, request(100+n, 2)...)
			}
			now = now.Add(time.Second)
		}
		assertQuarantined(t, d, now, Suspect{ID: 1}, Suspect{ID: 3})
	})
	t.Run("a shared part that was blamed too early is released", func(t *testing.T) {
		d, now := newDetector(), time.Now()
		for n := range 3 {
			d.crash(n, now, request(n, 2)...)
		}
		assertQuarantined(t, d, now, Suspect{ID: 2})
		for n := range 3 {
			d.crash(n, now, request(10+n, 4, 1)...)
		}
		assertQuarantined(t, d, now, Suspect{ID: 1})
	})
}

// TestPopularPart guards against quarantining a part that many requests share, because servers
// crash by themselves. A third of the servers crash at once, again and again.
func TestPopularPart(t *testing.T) {
	d, now := newDetector(), time.Now()
	for n := range 200 {
		for i := range 4 {
			d.pass(10*n+i, now, request(10*n+i, 2)...)
		}
		now = now.Add(time.Second)
		for i := range 4 {
			d.crash(10*n+4+i, now, request(10*n+4+i, 2)...)
		}
		now = now.Add(time.Second)
		assertQuarantined(t, d, now)
	}
}

// TestPopularRequestOnFewServers guards against quarantining a request that many clients send
// because it was running on each of a few servers when another request crashed them.
func TestPopularRequestOnFewServers(t *testing.T) {
	d, now := newDetector(), time.Now()
	popular := request(0, 2)
	for n := range 3 {
		for i := range 3 {
			d.pass(i, now, popular...)
		}
		now = now.Add(10 * time.Millisecond)
		d.crash(n, now, popular...)
		d.crash(n, now, request(1+n, 2, 1)...)
		now = now.Add(300 * time.Millisecond)
	}
	assertQuarantined(t, d, now, Suspect{ID: 1})
}

// TestUnconfirmedCrash guards against losing the evidence of responses that broke off where the
// end of the server could not be confirmed.
func TestUnconfirmedCrash(t *testing.T) {
	start := time.Now()
	never, always := func(ident.Server) bool { return false }, func(ident.Server) bool { return true }
	for name, tc := range map[string]struct {
		confirm func(d *Detector)
		want    bool
	}{
		"nothing confirms it": {func(d *Detector) { d.ConfirmEnded(never, start) }, false},
		"the server is gone":  {func(d *Detector) { d.ConfirmEnded(always, start.Add(5*time.Second)) }, true},
		"the server is gone much later": {func(d *Detector) {
			d.crash(9, start.Add(time.Minute), other)
			d.ConfirmEnded(always, start.Add(time.Minute))
		}, false},
		"another response shows the crash":     {func(d *Detector) { d.crash(2, start.Add(time.Millisecond), other) }, true},
		"another response shows a later crash": {func(d *Detector) { d.crash(2, start.Add(3*time.Second), other) }, false},
		"another VM reports the crash": {func(d *Detector) {
			d.Merge([]Finding{{Suspect: other, Crashes: map[ident.Server]time.Time{server(2): start}}}, start)
		}, true},
		"another VM reports that it knew before": {func(d *Detector) { d.crash(2, start, other); d.RecordUnconfirmed([]Suspect{fatal}, server(2), start) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDetector()
			d.crash(0, start, fatal)
			d.crash(1, start, fatal)
			d.RecordUnconfirmed([]Suspect{fatal}, server(2), start)
			assertQuarantined(t, d, start)
			tc.confirm(d)
			assert.Equal(t, d.isQuarantined(fatal, start.Add(time.Second)), tc.want)
		})
	}
}

// TestMerge guards against VMs that disagree after they have exchanged all findings, in any
// order, repeatedly and partly over other VMs, and against evidence that is not evaluated.
func TestMerge(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		detectors := []*Detector{newDetector(), newDetector(), newDetector()}
		vm := rapid.IntRange(0, len(detectors)-1)
		seen := make(map[Suspect]map[ident.Server]bool)
		now := start
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			d := detectors[vm.Draw(t, "vm")]
			s := Suspect{ID: call.Fingerprint(rapid.IntRange(1, 2).Draw(t, "suspect")), Depth: 1}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				d.Merge(detectors[vm.Draw(t, "from")].Report(now), now)
			case 2:
				d.pass(step, now, s)
			default:
				if d.isQuarantined(s, now) {
					continue
				}
				d.crash(step, now, s)
				detectors[vm.Draw(t, "second")].crash(step, now, s)
				if seen[s] == nil {
					seen[s] = make(map[ident.Server]bool)
				}
				seen[s][server(step)] = true
			}
		}
		for range 2 * len(detectors) {
			for i, d := range detectors {
				d.HandleResponse("hub", uint64(now.UnixNano()), 0, now)
				detectors[(i+1)%len(detectors)].Merge(d.Report(now), now)
			}
		}
		for _, d := range detectors {
			for s, crashes := range seen {
				r := d.records[s.ID]
				assert.Equal(t, len(r.Crashes), min(len(crashes), d.maxEvidence))
				assert.DeepEqual(t, r.Crashes, detectors[0].records[s.ID].Crashes)
				assert.DeepEqual(t, r.Passes, detectors[0].records[s.ID].Passes)
				assert.Equal(t, d.isQuarantined(s, now), detectors[0].isQuarantined(s, now))
				assert.Equal(t, d.isQuarantined(s, now), r.score(nil) >= config.CrashLimit)
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
		d.crash(n, now, fatal)
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
		a.crash(n, now, fatal)
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
	for n := range 3 * maxSuspects {
		d.crash(n%50, now.Add(time.Duration(n)*time.Microsecond), Suspect{ID: call.Fingerprint(n + 100)})
	}
	assert.Assert(t, len(d.records) <= maxSuspects, "%d suspects", len(d.records))
	assert.Assert(t, len(d.Report(now)) <= maxAnnounced)
	for n := range 3 {
		d.crash(100+n, now.Add(time.Second), fatal)
	}
	assertQuarantined(t, d, now.Add(time.Second), fatal)
}

func BenchmarkQuarantinedUntil(b *testing.B) {
	d, now := newDetector(), time.Now()
	for n := range 3 {
		d.crash(n, now, fatal)
	}
	for b.Loop() {
		d.Quarantined([]Suspect{other}, now)
	}
}

// BenchmarkMerge merges reports without new information into a hub's large set of findings.
func BenchmarkMerge(b *testing.B) {
	d, now := newDetector(), time.Now()
	for n := range maxSuspects {
		d.crash(n%50, now, Suspect{ID: call.Fingerprint(n + 100)})
	}
	for n := range 3 {
		d.crash(100+n, now, fatal)
	}
	d.HandleResponse("hub", 1, 0, now.Add(2*announcePeriod))
	list := d.Report(now.Add(2 * announcePeriod))
	for b.Loop() {
		d.Merge(list, now.Add(2*announcePeriod))
	}
}
