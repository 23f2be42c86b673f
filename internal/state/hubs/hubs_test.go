package hubs

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed
)

// fleet is some VMs that report to one another in steps of a network's delay, whose
// names are in a store. It keeps to a clock of its own.
type fleet struct {
	now   time.Time
	rng   *rand.Rand
	loss  float64
	nodes []*node
	names map[ident.VM]netip.AddrPort
	cut   func(a, b *node) bool // nil: no VMs are cut off from one another
}

// node is one VM.
type node struct {
	Candidate
	hubs     *Hubs
	down     bool
	cutStore bool
	next     time.Time // its next report
	reads    time.Time // its next reading of the names
	version  int       // the newest thing that it knows
	sent     int
	received int
}

// step is the time by which the fleet's clock goes on.
const step = 10 * time.Millisecond

func newFleet(n int, loss float64) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(7, 0)), loss: loss, names: make(map[ident.VM]netip.AddrPort),
	}
	for i := range n {
		f.add(i)
	}
	return f
}

// add adds a VM; one in sixteen has much capacity.
func (f *fleet) add(i int) {
	c := Candidate{VM: ident.VM(fmt.Sprintf("vm-%d", i)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7201), Capacity: 12}
	if i%16 == 0 {
		c.Capacity = 14
	}
	v := &node{Candidate: c}
	f.nodes = append(f.nodes, v)
	f.start(v)
}

// start starts a VM that knows nobody.
func (f *fleet) start(v *node) {
	v.hubs, v.down, v.version = New(v.Candidate, f.now), false, 0
	v.next = f.now.Add(time.Duration(f.rng.IntN(int(Beat))))
	v.reads = f.now
}

// run goes on for some time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, v := range f.nodes {
			if !v.down {
				f.act(v)
			}
		}
	}
}

func (f *fleet) act(v *node) {
	if !f.now.Before(v.reads) {
		v.reads = f.now.Add(readEvery)
		if v.hubs.Heard(f.now) == 0 {
			v.reads = f.now.Add(firstRead)
		}
		if !v.cutStore {
			v.hubs.Listed(f.names, f.now)
			if v.hubs.Hub(f.now) && (v.hubs.Heard(f.now) > 0 || len(f.names) < Count) {
				f.names[v.VM] = v.Addr
			}
		}
	}
	if !f.now.Before(v.next) {
		f.report(v)
	}
}

func (f *fleet) word(v *node) Word {
	w := Word{Asks: v.hubs.Asks(f.now), Age: 300 * time.Millisecond}
	if v.cutStore {
		w.Age = time.Minute
	}
	return w
}

// report has a VM report to its hubs, and each answer.
func (f *fleet) report(v *node) {
	for _, c := range v.hubs.Targets(f.now, false) {
		to := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.VM == c.VM })]
		digest := v.hubs.Named(c.VM)
		if !f.passes(v, to) {
			continue
		}
		to.hubs.Reported(Report{Candidate: v.Candidate, Word: f.word(v)}, f.now)
		to.version = max(to.version, v.version)
		names := to.hubs.Names(f.now)
		has := Digest(names)
		if has == digest {
			names = nil
		}
		if f.passes(to, v) {
			v.hubs.Answered(Report{Candidate: to.Candidate, Word: f.word(to)}, names, has, f.now)
			v.version = max(to.version, v.version)
		}
	}
	v.next = f.now.Add(v.hubs.Next(f.now))
}

func (f *fleet) passes(a, b *node) bool {
	a.sent++
	if b.down || f.rng.Float64() < f.loss || f.cut != nil && f.cut(a, b) {
		return false
	}
	b.received++
	return true
}

func (f *fleet) up() []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(v *node) bool { return v.down })
}

// hubsOf returns the VMs that a VM takes for hubs.
func (f *fleet) hubsOf(v *node) []ident.VM {
	var out []ident.VM
	for _, r := range v.hubs.Order("s", Count, f.now) {
		out = append(out, r.VM)
	}
	return out
}

// agree fails the test unless all VMs agree on the hubs.
func (f *fleet) agree(t *testing.T, what string) {
	t.Helper()
	list := f.up()
	for _, v := range list {
		assert.DeepEqual(t, f.hubsOf(v), f.hubsOf(list[0]))
	}
	assert.Equal(t, len(f.hubsOf(list[0])), min(Count, len(list)), what)
}

// ask returns how many VMs ask the store.
func (f *fleet) ask() int {
	n := 0
	for _, v := range f.up() {
		if v.hubs.Asks(f.now) {
			n++
		}
	}
	return n
}

// TestFleet has 300 VMs with lost messages find one another, and bear losses.
func TestFleet(t *testing.T) {
	const vms, loss = 300, 0.04
	t.Run("all start at once", func(t *testing.T) {
		f := newFleet(vms, loss)
		f.run(4 * time.Second)
		f.agree(t, "4 s after the start")
		assert.Equal(t, f.ask(), watchers)
		assert.Assert(t, len(f.names) <= 30, "%d names are written", len(f.names))
		for _, h := range f.hubsOf(f.nodes[1]) {
			i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.VM == h })
			assert.Equal(t, f.nodes[i].Capacity, Capacity(14), "hubs are of the most capacity")
		}
	})
	t.Run("what one VM knows is known by all within two beats", func(t *testing.T) {
		f := newFleet(vms, loss)
		f.run(4 * time.Second)
		f.nodes[17].version = 1
		f.run(2*Beat + 300*time.Millisecond)
		for _, v := range f.nodes {
			assert.Equal(t, v.version, 1, "%s", v.VM)
		}
	})
	t.Run("a VM sends as little among many as among few", func(t *testing.T) {
		const span = 10 * time.Second
		for _, n := range []int{20, vms, 600} {
			f := newFleet(n, 0)
			f.run(5 * time.Second)
			hub := f.hubsOf(f.nodes[0])
			for _, v := range f.nodes {
				v.sent = 0
			}
			f.run(span)
			for _, v := range f.nodes {
				if !slices.Contains(hub, v.VM) {
					most := (Count + 1) * int(span/Beat)
					assert.Assert(t, v.sent <= most, "%d VMs: %d messages, most %d", n, v.sent, most)
				}
			}
		}
	})
	losses := map[string]func(f *fleet) func(v *node) bool{
		"all hubs are lost": func(f *fleet) func(*node) bool {
			hub := f.hubsOf(f.nodes[0])
			return func(v *node) bool { return slices.Contains(hub, v.VM) }
		},
		"two thirds are lost": func(*fleet) func(*node) bool {
			n := 0
			return func(*node) bool { n++; return n%3 != 0 }
		},
	}
	for name, pick := range losses {
		t.Run(name, func(t *testing.T) {
			f := newFleet(vms, loss)
			f.run(5 * time.Second)
			lost := pick(f)
			for _, v := range f.nodes {
				v.down = lost(v)
			}
			f.run(2*Silence + 2*Beat)
			f.agree(t, name)
			assert.Equal(t, f.ask(), watchers)
			t.Run("and come back", func(t *testing.T) {
				for _, v := range f.nodes {
					if v.down {
						f.start(v)
					}
				}
				f.run(2 * time.Second)
				f.agree(t, "all are back")
				assert.Equal(t, f.ask(), watchers)
			})
		})
	}
	t.Run("all lose power and start again", func(t *testing.T) {
		f := newFleet(vms, loss)
		f.run(5 * time.Second)
		for _, v := range f.nodes {
			f.start(v)
		}
		f.run(1500 * time.Millisecond)
		f.agree(t, "1.5 s after the start")
	})
	t.Run("a third is cut off from the others", func(t *testing.T) {
		f := newFleet(vms, loss)
		f.run(5 * time.Second)
		side := make(map[ident.VM]bool)
		for i, v := range f.nodes {
			side[v.VM] = i%3 == 0
		}
		f.cut = func(a, b *node) bool { return side[a.VM] != side[b.VM] }
		f.run(8 * time.Second)
		assert.Assert(t, f.ask() <= 2*watchers+Count, "%d VMs ask the store", f.ask())
		f.cut = nil
		f.run(retryAfter + 2*time.Second)
		f.agree(t, "the cut has healed")
		assert.Equal(t, f.ask(), watchers)
	})
	t.Run("the store turns hubs away", func(t *testing.T) {
		f := newFleet(vms, loss)
		f.run(5 * time.Second)
		hub := f.hubsOf(f.nodes[0])
		for _, v := range f.nodes {
			v.cutStore = slices.Contains(hub, v.VM)
		}
		f.run(6 * time.Second)
		answered := 0
		for _, v := range f.up() {
			if !v.cutStore && v.hubs.Asks(f.now) {
				answered++
			}
		}
		assert.Assert(t, answered > 0, "VMs that the store answers ask it")
		f.agree(t, "the hubs stay")
	})
	t.Run("a hub that leaves hands over", func(t *testing.T) {
		f := newFleet(vms, loss)
		f.run(5 * time.Second)
		hub := f.hubsOf(f.nodes[0])[0]
		i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.VM == hub })
		f.nodes[i].hubs.Leave()
		f.nodes[i].Capacity = 0
		f.run(3 * Beat)
		f.agree(t, "another takes its place")
		assert.Assert(t, !slices.Contains(f.hubsOf(f.nodes[0]), hub))
	})
}

func ExampleCapacityOf() {
	fmt.Println(CapacityOf(0.2, 20e6), CapacityOf(0.8, 200e6), CapacityOf(0.8, 10e6))
	// Output: 12 14 13
}
