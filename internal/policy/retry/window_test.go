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

func (f fixed) Count(time.Time) (int, int) { return f.known, f.heard }

// TestWindow has a hub and two VMs that report to it earn and spend at random: no
// window holds more retries than the whole budget allows.
func TestWindow(t *testing.T) {
	const ratio, extra, span = 0.2, 20.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var vms [3]*Window
		for i := range vms {
			vms[i] = NewWindow(ratio, extra, span, fixed{})
		}
		hub := vms[0]
		hub.peers = fixed{known: 2, heard: 2}
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
			if i != 0 {
				hub.Hear(ident.VM(rune('a'+i)), vms[i].Sent(now), now)
			}
			for j, w := range vms[1:] {
				w.Learn("a", hub.Rest(ident.VM(rune('b'+j)), now))
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
	assert.Equal(t, spend(fixed{known: 6, heard: 6}), 43, "one that hears all takes what is left of 0.8")
	assert.Equal(t, spend(fixed{known: 295, heard: 0}), 0, "one of many that hears nobody takes next to nothing")
	t.Run("parts of the fleet that do not hear one another keep to the whole", func(t *testing.T) {
		for vms := 2; vms <= 300; vms += 7 {
			for part := 1; part < vms; part++ {
				a := spend(fixed{known: vms - 1, heard: part - 1})
				b := spend(fixed{known: vms - 1, heard: vms - part - 1})
				assert.Assert(t, a+b <= 54, "%d of %d VMs spend %d, the others %d", part, vms, a, b)
			}
		}
	})
	t.Run("the widest knowledge of what others sent goes with the most VMs that any hub knows", func(t *testing.T) {
		for range 20 { // the hubs' words are in no order
			w := NewWindow(0.2, 54, 10*time.Second, fixed{})
			w.Learn("a", Total{At: now, Known: 59, Heard: 9})
			w.Learn("b", Total{At: now, Known: 29, Heard: 29})
			n := 0
			for w.Spend("s", now) {
				n++
			}
			assert.Assert(t, n <= 54*30/60, "%d: half of the VMs may spend as much", n)
		}
	})
	t.Run("a VM that is cut off remembers how many there are", func(t *testing.T) {
		w := NewWindow(0.2, 630, 10*time.Second, fixed{})
		w.Learn("hub", Total{At: now, Known: 294, Heard: 294})
		later, n := now.Add(2*totalTime), 0
		for w.Spend("s", later) {
			n++
		}
		assert.Assert(t, n <= 630/295, "%d", n)
	})
}
