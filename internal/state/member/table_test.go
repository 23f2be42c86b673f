package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

// world runs tables against each other in virtual time over a network that
// drops, repeats and delays.
type world struct {
	rng    *rand.Rand
	now    time.Time
	nodes  map[netip.AddrPort]*Table
	list   []Member
	down   map[ident.VM]bool // killed or frozen: neither ticks nor receives
	cut    map[ident.VM]int  // side of a cut; packets between sides are lost
	loss   float64
	flight []parcel
}

type parcel struct {
	at time.Time
	to netip.AddrPort
	p  Packet
}

func newWorld(seed uint64, n int) *world {
	w := &world{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		now:   time.Unix(1000, 0),
		nodes: map[netip.AddrPort]*Table{},
		down:  map[ident.VM]bool{},
		cut:   map[ident.VM]int{},
	}
	for i := range n {
		w.list = append(w.list, Member{
			Name:    ident.VM(fmt.Sprintf("vm-%02d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
			Domain:  ident.Domain(fmt.Sprintf("fd-%d", i%3)),
		})
	}
	for i := range w.list {
		w.start(i)
	}
	return w
}

// start starts or replaces VM i.
func (w *world) start(i int) {
	m := w.list[i]
	m.Incarnation = uint64(w.now.UnixMilli())
	t := New(DefaultConfig(), m, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	t.List(w.list, w.now)
	w.nodes[m.Address] = t
	w.down[m.Name] = false
}

func (w *world) table(i int) *Table { return w.nodes[w.list[i].Address] }

func (w *world) send(from ident.VM, out []Out) {
	for _, o := range out {
		if w.rng.Float64() < w.loss {
			continue
		}
		to := w.nodes[o.To]
		if to == nil || w.cut[from] != w.cut[to.self.Name] {
			continue
		}
		delay := time.Duration(1+w.rng.IntN(30)) * time.Millisecond
		w.flight = append(w.flight, parcel{w.now.Add(delay), o.To, o.Packet})
		if w.rng.Float64() < w.loss/2 {
			w.flight = append(w.flight, parcel{w.now.Add(2 * delay), o.To, o.Packet})
		}
	}
}

func (w *world) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for i := range w.list {
			if name := w.list[i].Name; !w.down[name] {
				w.send(name, w.table(i).Tick(w.now))
			}
		}
		w.deliver()
	}
}

func (w *world) deliver() {
	var later, due []parcel
	for _, p := range w.flight {
		if p.at.After(w.now) {
			later = append(later, p)
		} else {
			due = append(due, p)
		}
	}
	w.flight = later
	for _, p := range due {
		t := w.nodes[p.to]
		if !w.down[t.self.Name] {
			w.send(t.self.Name, t.Receive(p.p, w.now))
		}
	}
}

// agree fails unless each running VM sees just the wanted number alive.
func (w *world) agree(t assert.TestingT, want int) {
	for i := range w.list {
		if w.down[w.list[i].Name] {
			continue
		}
		assert.Equal(t, len(w.table(i).Live()), want, "as %s sees it", w.list[i].Name)
	}
}

func TestDeathIsSeen(t *testing.T) {
	w := newWorld(1, 14)
	w.run(5 * time.Second)
	w.agree(t, 14)
	w.down["vm-03"] = true
	w.run(14 * time.Second)
	w.agree(t, 13)
}

func TestLossRemovesNobody(t *testing.T) {
	w := newWorld(2, 14)
	w.loss = 0.1
	for range 600 {
		w.run(time.Second)
		w.agree(t, 14)
	}
}

func TestReplacedAtTheSameAddress(t *testing.T) {
	w := newWorld(3, 7)
	w.run(3 * time.Second)
	w.down["vm-01"] = true
	w.run(10 * time.Second)
	w.agree(t, 6)
	w.start(1)
	w.run(5 * time.Second)
	w.agree(t, 7)
	assert.Assert(t, w.table(0).others["vm-01"].Incarnation >= uint64(time.Unix(1013, 0).UnixMilli()))
}

func TestCutHeals(t *testing.T) {
	w := newWorld(4, 9)
	w.run(3 * time.Second)
	for i := range 3 {
		w.cut[w.list[i].Name] = 1
	}
	w.run(30 * time.Second)
	assert.Equal(t, len(w.table(0).Live()), 3)
	assert.Equal(t, len(w.table(5).Live()), 6)
	w.cut = map[ident.VM]int{}
	w.run(30 * time.Second)
	w.agree(t, 9)
}

func TestLeavingIsAnnounced(t *testing.T) {
	w := newWorld(5, 7)
	w.run(3 * time.Second)
	w.send("vm-02", w.table(2).Leave(w.now))
	w.down["vm-02"] = true
	w.run(2 * time.Second)
	w.agree(t, 6)
}

func TestFrozenComesBack(t *testing.T) {
	w := newWorld(6, 7)
	w.run(3 * time.Second)
	w.down["vm-04"] = true
	w.run(20 * time.Second)
	w.agree(t, 6)
	w.down["vm-04"] = false
	w.run(100 * time.Millisecond)
	assert.Equal(t, len(w.table(4).Live()), 7, "a VM that was paused blames nobody for it")
	w.run(15 * time.Second)
	w.agree(t, 7)
}

// TestConverges brings about kills, freezes, replacements, cuts and loss at
// random; once they end, everybody agrees on who is there.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				w.down[w.list[i].Name] = true
			case 1:
				w.down[w.list[i].Name] = false
			case 2:
				w.start(i)
			case 3:
				w.cut[w.list[i].Name] = rapid.IntRange(0, 1).Draw(t, "side")
			case 4:
				w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			}
			w.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
		}
		w.cut, w.loss = map[ident.VM]int{}, 0
		up := 0
		for i := range w.list {
			if !w.down[w.list[i].Name] {
				up++
			}
		}
		w.run(60 * time.Second)
		w.agree(t, up)
	})
}

func TestHomeMovesLittle(t *testing.T) {
	w := newWorld(7, 10)
	moved := 0
	const keys = 2000
	for k := range keys {
		key := fmt.Sprint(k)
		a, _ := Home(key, w.list)
		b, _ := Home(key, w.list[:9])
		if a.Name != b.Name {
			moved++
			assert.Equal(t, a.Name, w.list[9].Name, "only what the lost VM had moves")
		}
	}
	assert.Assert(t, moved > keys/20 && moved < keys/5, "%d of %d", moved, keys)
	_, ok := Home("k", nil)
	assert.Assert(t, !ok)
}
