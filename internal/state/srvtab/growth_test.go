package srvtab

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// sizes are numbers of servers, the second four times the first.
var sizes = []int{10_000, 40_000}

func tableOf(servers int) *Table {
	list := make([]Entry, servers)
	for i := range list {
		list[i] = Entry{ID: ident.Server(fmt.Sprintf("i-%05d@1", i)), Service: "s", Domain: ident.FailureDomain(fmt.Sprint("d", i%6)), Slots: 6}
	}
	t := NewTable(func() {})
	t.Replace(list, time.Time{}, time.Now())
	return t
}

// TestChangeCost guards against changes of one server that copy the table of all servers.
// Each VM applies each change, so their cost grew with the square of the servers. With four
// times the servers, the bytes allocated for a change may at most double.
func TestChangeCost(t *testing.T) {
	const changes = 200
	for name, change := range map[string]func(tab *Table, n int){
		"entry written": func(tab *Table, n int) { tab.Put(Entry{ID: "i-00500@1", Service: "s", Domain: "d2", Slots: n}) },
		"server added": func(tab *Table, n int) {
			tab.Put(Entry{ID: ident.Server(fmt.Sprint("new-", n)), Service: "s", Domain: "d2"})
		},
		"server drains": func(tab *Table, n int) { tab.MarkDraining(ident.Server(fmt.Sprintf("i-%05d@1", n)), time.Now()) },
		"server is cold": func(tab *Table, n int) {
			tab.MarkCold(ident.Server(fmt.Sprintf("i-%05d@1", n)), time.Minute, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			var bytes []uint64
			for _, size := range sizes {
				tab := tableOf(size)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				for n := range changes {
					change(tab, n)
				}
				runtime.ReadMemStats(&after)
				bytes = append(bytes, (after.TotalAlloc-before.TotalAlloc)/changes)
			}
			t.Logf("%d bytes with %d servers, %d with %d", bytes[0], sizes[0], bytes[1], sizes[1])
			assert.Assert(t, bytes[1] <= 2*bytes[0], "%d and %d bytes", bytes[0], bytes[1])
		})
	}
}

// TestBatchCost guards against updates that cost as much as their changes one by one: the
// changes of a batch copy what they have in common once.
func TestBatchCost(t *testing.T) {
	const changes = 200
	cost := func(batch func(tab *Table, f func())) uint64 {
		tab := tableOf(sizes[0])
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		batch(tab, func() {
			for n := range changes {
				tab.Put(Entry{ID: ident.Server(fmt.Sprint("new-", n)), Service: "s", Domain: "d2"})
			}
		})
		runtime.ReadMemStats(&after)
		assert.Equal(t, tab.View().Len(), sizes[0]+changes)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	single := cost(func(_ *Table, f func()) { f() })
	batch := cost(func(tab *Table, f func()) { tab.Batch(f) })
	t.Logf("%d bytes a change one by one, %d in a batch", single, batch)
	assert.Assert(t, batch <= single/4)
}

// TestAnnouncementCost guards against messages whose cost grows with all drains of the last
// ten minutes.
func TestAnnouncementCost(t *testing.T) {
	tab, now := tableOf(sizes[0]), time.Now()
	for n := range 5000 {
		tab.MarkDraining(ident.Server(fmt.Sprintf("i-%05d@1", n)), now)
	}
	assert.Equal(t, len(tab.DrainsToAnnounce(now)), maxAnnounced)
	later := now.Add(2 * drainAnnounceTime)
	assert.Equal(t, len(tab.DrainsToAnnounce(later)), 0)
	assert.Equal(t, len(tab.announcing), 0)
}

// BenchmarkPut changes one server of a table.
func BenchmarkPut(b *testing.B) {
	for _, size := range []int{44, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			tab := tableOf(size)
			b.ReportAllocs()
			for n := range b.N {
				tab.Put(Entry{ID: "i-00032@1", Service: "s", Domain: "d2", Slots: n + 1})
			}
		})
	}
}
