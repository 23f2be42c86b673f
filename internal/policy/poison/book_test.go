package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed
)

const (
	fatal call.Fingerprint = 7
	other call.Fingerprint = 8
)

var config = Config{Crashes: 3, Time: 10 * time.Minute}

func newBook() *Book { return New(config, func(Change) {}) }

func server(n int) ident.Server { return ident.Server(fmt.Sprint("i-", n)) }

// holds fails the test unless exactly these requests are quarantined.
func holds(t testing.TB, b *Book, now time.Time, want ...call.Fingerprint) {
	t.Helper()
	assert.Equal(t, b.Len(now), len(want))
	for _, f := range want {
		_, ok := b.Until(f, now)
		assert.Assert(t, ok, "%s is not quarantined", f)
	}
}

func TestVerdict(t *testing.T) {
	start := time.Now()
	t.Run("three servers", func(t *testing.T) {
		b := newBook()
		for n := range 3 {
			holds(t, b, start)
			assert.Equal(t, b.Crashed(fatal, server(n), start), n+1)
		}
		holds(t, b, start, fatal)
		holds(t, b, start.Add(config.Time-time.Second), fatal)
		holds(t, b, start.Add(config.Time))
	})
	t.Run("the same server counts once", func(t *testing.T) {
		b := newBook()
		for range 5 {
			b.Crashed(fatal, server(1), start)
		}
		holds(t, b, start)
	})
	t.Run("crashes of long ago do not count", func(t *testing.T) {
		b := newBook()
		b.Crashed(fatal, server(0), start)
		b.Crashed(fatal, server(1), start.Add(config.Time))
		b.Crashed(fatal, server(2), start.Add(config.Time+time.Second))
		holds(t, b, start.Add(config.Time+time.Second))
	})
	t.Run("again after the quarantine", func(t *testing.T) {
		b := newBook()
		for n := range 3 {
			b.Crashed(fatal, server(n), start)
		}
		later := start.Add(config.Time + time.Minute)
		b.Crashed(fatal, server(4), later)
		b.Crashed(fatal, server(5), later)
		holds(t, b, later)
		b.Crashed(fatal, server(6), later)
		holds(t, b, later, fatal)
	})
	t.Run("a request that completes is cleared", func(t *testing.T) {
		b := newBook()
		b.Crashed(fatal, server(0), start)
		b.Crashed(fatal, server(1), start)
		b.Completed(fatal, start.Add(time.Second))
		for n := range 5 {
			assert.Equal(t, b.Crashed(fatal, server(2+n), start.Add(2*time.Second)), 0, "it has just completed here")
		}
		later := start.Add(time.Second + completedTime)
		b.Crashed(fatal, server(7), later)
		b.Crashed(fatal, server(8), later)
		holds(t, b, later)
		b.Crashed(fatal, server(9), later)
		holds(t, b, later, fatal)
	})
	t.Run("one that completes after all is released", func(t *testing.T) {
		b := newBook()
		for n := range 3 {
			b.Crashed(fatal, server(n), start)
		}
		b.Completed(fatal, start.Add(time.Second))
		holds(t, b, start.Add(time.Second))
		b.Stored([]Entry{{Request: fatal, Until: start.Add(config.Time)}}, start.Add(time.Minute))
		holds(t, b, start.Add(time.Minute))
	})
}

// TestExplained has a request of another client meet three servers that crash under one
// that makes them: it has to be served on.
func TestExplained(t *testing.T) {
	b, now := newBook(), time.Now()
	for n := range 2 {
		b.Crashed(other, server(n), now)
	}
	for n := range 3 {
		b.Crashed(fatal, server(n), now)
	}
	b.Crashed(other, server(2), now)
	holds(t, b, now, fatal)
	b.Crashed(other, server(3), now)
	b.Crashed(other, server(4), now)
	holds(t, b, now, fatal)
	b.Crashed(other, server(5), now)
	holds(t, b, now, fatal, other)
}

// TestMerge spreads what VMs see in any order, repeatedly and in part over others: once
// all have received everything they agree, and no evidence is left unjudged.
func TestMerge(t *testing.T) {
	start := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		books := []*Book{newBook(), newBook(), newBook()}
		vm := rapid.IntRange(0, len(books)-1)
		seen := make(map[call.Fingerprint]map[ident.Server]bool)
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			b := books[vm.Draw(t, "vm")]
			if rapid.Bool().Draw(t, "merges") {
				b.Merge(books[vm.Draw(t, "from")].Report(now), now)
				continue
			}
			f := call.Fingerprint(rapid.IntRange(1, 2).Draw(t, "request"))
			s := server(rapid.IntRange(0, 9).Draw(t, "server"))
			b.Crashed(f, s, now)
			if seen[f] == nil {
				seen[f] = make(map[ident.Server]bool)
			}
			seen[f][s] = true
		}
		for range books {
			for i, b := range books {
				b.HubAnswered("hub", uint64(now.UnixNano()), 0, now)
				books[(i+1)%len(books)].Merge(b.Report(now), now)
			}
		}
		for _, b := range books {
			for f, crashes := range seen {
				assert.Equal(t, len(b.requests[f].Crashes), len(crashes))
				_, held := b.Until(f, now)
				assert.Assert(t, held || b.count(b.requests[f]) < config.Crashes, "%s is not quarantined", f)
				_, first := books[0].Until(f, now)
				assert.Equal(t, held, first)
			}
		}
	})
}

// TestAnnounce has hubs and VMs exchange verdicts only where they differ.
func TestAnnounce(t *testing.T) {
	now := time.Now()
	b := newBook()
	for n := range 3 {
		b.Crashed(fatal, server(n), now)
	}
	assert.Equal(t, len(b.Report(now)), 1, "it is new")
	later := now.Add(2 * announceTime)
	for i, tc := range []struct {
		digest uint64
		want   int
	}{{0, 1}, {b.Digest(later), 0}, {1, 1}} {
		b.HubAnswered("hub", 1, tc.digest, now) // that it starts is of long ago
		b.HubAnswered("hub", 1, tc.digest, later)
		assert.Equal(t, len(b.Report(later)), tc.want, "case %d", i)
		b.Reported("vm", tc.digest)
		assert.Equal(t, len(b.Answer("vm", later)), tc.want, "case %d", i)
	}
	assert.Equal(t, len(b.Answer("one that starts", later)), 1)
	assert.Equal(t, newBook().Digest(now), uint64(0))
}

// TestEnd has VMs announce a quarantine to each other until it ends: what one has
// forgotten must not come back from another.
func TestEnd(t *testing.T) {
	const latency = 5 * time.Millisecond
	now := time.Now()
	a, b := newBook(), newBook()
	for n := range 3 {
		a.Crashed(fatal, server(n), now)
	}
	end := now.Add(config.Time + time.Second)
	for ; now.Before(end); now = now.Add(20 * time.Millisecond) {
		for _, p := range [][2]*Book{{a, b}, {b, a}} {
			p[0].HubAnswered("hub", 1, p[1].Digest(now), now)
			list := p[0].Report(now)
			for i := range list {
				list[i].Quarantined = list[i].Quarantined.Add(latency)
			}
			p[1].Merge(list, now)
		}
	}
	holds(t, a, now)
	holds(t, b, now)
}

// TestBound floods a book with evidence: the newest is kept.
func TestBound(t *testing.T) {
	b, now := newBook(), time.Now()
	for n := range 3 * maxRequests {
		b.Crashed(call.Fingerprint(n+100), server(n%50), now.Add(time.Duration(n)*time.Microsecond))
	}
	assert.Assert(t, len(b.requests) <= maxRequests, "%d requests", len(b.requests))
	assert.Assert(t, len(b.Report(now)) <= maxAnnounced)
	for n := range 3 {
		b.Crashed(fatal, server(100+n), now.Add(time.Second))
	}
	holds(t, b, now.Add(time.Second), fatal)
}

func BenchmarkUntil(b *testing.B) {
	book, now := newBook(), time.Now()
	for n := range 3 {
		book.Crashed(fatal, server(n), now)
	}
	for b.Loop() {
		book.Until(other, now)
	}
}

// BenchmarkMerge has a hub with much evidence take reports that bring nothing new.
func BenchmarkMerge(b *testing.B) {
	book, now := newBook(), time.Now()
	for n := range maxRequests {
		book.Crashed(call.Fingerprint(n+100), server(n%50), now)
	}
	for n := range 3 {
		book.Crashed(fatal, server(100+n), now)
	}
	book.HubAnswered("hub", 1, 0, now.Add(2*announceTime))
	list := book.Report(now.Add(2 * announceTime))
	for b.Loop() {
		book.Merge(list, now.Add(2*announceTime))
	}
}
