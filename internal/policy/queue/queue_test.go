package queue

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

var epoch = time.Unix(1000, 0)

// TestOracle guards against a wrong first entry and wrong counts: it runs random pushes,
// removals and takes of the first entry, and compares the queue with a reference list.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		var all []*Entry[int]
		now := epoch
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "later")) * time.Second)
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				maxWait := time.Duration(rapid.IntRange(1, 20).Draw(t, "max wait")) * time.Second
				before := 0
				e := q.Push(len(all), rank, now, maxWait)
				for _, o := range all {
					if o.before(e) {
						before++
					}
				}
				assert.Assert(t, before <= len(all))
				all = append(all, e)
			},
			"take": func(t *rapid.T) {
				if len(all) == 0 {
					assert.Assert(t, q.Peek() == nil)
					t.Skip()
				}
				want := slices.MinFunc(all, func(a, b *Entry[int]) int {
					if a.before(b) {
						return -1
					}
					return 1
				})
				assert.Equal(t, q.Peek(), want)
				assert.Assert(t, q.Remove(want))
				all = slices.DeleteFunc(all, func(e *Entry[int]) bool { return e == want })
			},
			"remove": func(t *rapid.T) {
				if len(all) == 0 {
					t.Skip()
				}
				e := rapid.SampledFrom(all).Draw(t, "entry")
				assert.Assert(t, q.Remove(e))
				assert.Assert(t, !q.Remove(e))
				all = slices.DeleteFunc(all, func(o *Entry[int]) bool { return o == e })
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(all))
				urgent := 0
				for _, e := range all {
					if e.Rank == 0 {
						urgent++
					}
				}
				assert.Equal(t, q.Urgent(), urgent)
			},
		})
	})
}

func TestOrder(t *testing.T) {
	q := New[string]()
	q.Push("batch", 2, epoch, time.Minute)
	q.Push("standard", 1, epoch.Add(45*time.Second), 20*time.Second)
	q.Push("urgent-1", 0, epoch.Add(50*time.Second), 5*time.Second)
	q.Push("urgent-2", 0, epoch.Add(51*time.Second), time.Second)
	var got []string
	for q.Len() > 0 {
		e := q.Peek()
		got = append(got, e.Value)
		q.Remove(e)
	}
	// Urgent entries come first, in order of arrival. The batch entry has the lowest
	// priority, but an earlier deadline than the standard one.
	assert.DeepEqual(t, got, []string{"urgent-1", "urgent-2", "batch", "standard"})
}
