package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed
)

type fixed struct{ known, heard int }

func (f fixed) Others() (int, int) { return f.known, f.heard }

// TestWindow has three VMs earn and spend at random, and some of their news go
// astray: no window holds more retries than the whole budget allows.
func TestWindow(t *testing.T) {
	const ratio, extra, span = 0.2, 20.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var vms [3]*Window
		for i := range vms {
			vms[i] = NewWindow(ratio, extra, span, fixed{known: 2, heard: 2})
		}
		type sent struct {
			at    time.Time
			again bool
		}
		var all []sent
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			if rapid.Bool().Draw(t, "first") {
				vms[i].Earn("s", now)
				all = append(all, sent{at: now})
			} else if vms[i].Spend("s", now) {
				all = append(all, sent{at: now, again: true})
			}
			for j := range vms {
				if j != i {
					vms[j].Hear(ident.VM(rune('a'+i)), vms[i].Sent(now), now)
				}
			}
		}
		for _, from := range all {
			first, again := 0, 0
			for _, s := range all {
				if age := s.at.Sub(from.at); age < 0 || age >= span {
					continue
				}
				if s.again {
					again++
				}
			}
			for _, s := range all {
				// What was earned counts from a window earlier on.
				if age := s.at.Sub(from.at); !s.again && age >= -span && age < span {
					first++
				}
			}
			assert.Assert(t, float64(again) <= ratio*float64(first)+extra, "%d retries for %d calls", again, first)
		}
	})
}

func TestWindowAlone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	spend := func(p Peers) int {
		w := NewWindow(0.2, 54, 10*time.Second, p)
		n := 0
		for w.Spend("s", now) {
			n++
		}
		return n
	}
	assert.Equal(t, spend(fixed{}), 3, "a VM that knows nobody takes a twelfth")
	assert.Equal(t, spend(fixed{known: 6, heard: 5}), 3, "nor does one that misses somebody")
	assert.Equal(t, spend(fixed{known: 6, heard: 6}), 43, "one that hears all takes what is left of 0.8")
}
