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

// cluster simulates the tables of several VMs in virtual time, over a network that
// drops, duplicates and delays packets.
type cluster struct {
	rng       *rand.Rand
	now       time.Time
	tables    map[netip.AddrPort]*Table
	list      []Member
	down      map[ident.VM]bool // killed or frozen: neither ticks nor receives
	partition map[ident.VM]int  // side of a network partition; packets between sides are lost
	loss      float64
	inFlight  []delivery
}

type delivery struct {
	at     time.Time
	to     netip.AddrPort
	packet Packet
}

func newCluster(seed uint64, n int) *cluster {
	c := &cluster{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		now:       time.Unix(1000, 0),
		tables:    map[netip.AddrPort]*Table{},
		down:      map[ident.VM]bool{},
		partition: map[ident.VM]int{},
	}
	for i := range n {
		c.list = append(c.list, Member{
			Name:    ident.VM(fmt.Sprintf("vm-%02d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
			Domain:  ident.FailureDomain(fmt.Sprintf("fd-%d", i%3)),
		})
	}
	for i := range c.list {
		c.start(i)
	}
	return c
}

// start starts VM i, or replaces it at the same address.
func (c *cluster) start(i int) {
	m := c.list[i]
	m.Incarnation = uint64(c.now.UnixMilli())
	t := New(DefaultConfig(), m, rand.New(rand.NewPCG(c.rng.Uint64(), 2)))
	t.MergeList(c.list, c.now)
	c.tables[m.Address] = t
	c.down[m.Name] = false
}

func (c *cluster) table(i int) *Table { return c.tables[c.list[i].Address] }

func (c *cluster) send(from ident.VM, out []Outbound) {
	for _, o := range out {
		if c.rng.Float64() < c.loss {
			continue
		}
		to := c.tables[o.To]
		if to == nil || c.partition[from] != c.partition[to.self.Name] {
			continue
		}
		delay := time.Duration(1+c.rng.IntN(30)) * time.Millisecond
		c.inFlight = append(c.inFlight, delivery{c.now.Add(delay), o.To, o.Packet})
		if c.rng.Float64() < c.loss/2 {
			c.inFlight = append(c.inFlight, delivery{c.now.Add(2 * delay), o.To, o.Packet})
		}
	}
}

func (c *cluster) run(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for i := range c.list {
			if name := c.list[i].Name; !c.down[name] {
				c.send(name, c.table(i).Tick(c.now))
			}
		}
		c.deliver()
	}
}

func (c *cluster) deliver() {
	var later, due []delivery
	for _, p := range c.inFlight {
		if p.at.After(c.now) {
			later = append(later, p)
		} else {
			due = append(due, p)
		}
	}
	c.inFlight = later
	for _, p := range due {
		table := c.tables[p.to]
		if !c.down[table.self.Name] {
			c.send(table.self.Name, table.Receive(p.packet, c.now))
		}
	}
}

// assertLive asserts that each running VM lists exactly the wanted number of VMs as
// live.
func (c *cluster) assertLive(t assert.TestingT, want int) {
	for i := range c.list {
		if c.down[c.list[i].Name] {
			continue
		}
		assert.Equal(t, len(c.table(i).Live()), want, "as %s sees it", c.list[i].Name)
	}
}

func TestFailureDetected(t *testing.T) {
	c := newCluster(1, 14)
	c.run(5 * time.Second)
	c.assertLive(t, 14)
	c.down["vm-03"] = true
	c.run(14 * time.Second)
	c.assertLive(t, 13)
}

func TestPacketLossRemovesNobody(t *testing.T) {
	c := newCluster(2, 14)
	c.loss = 0.1
	for range 600 {
		c.run(time.Second)
		c.assertLive(t, 14)
	}
}

func TestReplacedAtTheSameAddress(t *testing.T) {
	c := newCluster(3, 7)
	c.run(3 * time.Second)
	c.down["vm-01"] = true
	c.run(10 * time.Second)
	c.assertLive(t, 6)
	c.start(1)
	c.run(5 * time.Second)
	c.assertLive(t, 7)
	assert.Assert(t, c.table(0).others["vm-01"].Incarnation >= uint64(time.Unix(1013, 0).UnixMilli()))
}

func TestPartitionHeals(t *testing.T) {
	c := newCluster(4, 9)
	c.run(3 * time.Second)
	for i := range 3 {
		c.partition[c.list[i].Name] = 1
	}
	c.run(30 * time.Second)
	assert.Equal(t, len(c.table(0).Live()), 3)
	assert.Equal(t, len(c.table(5).Live()), 6)
	c.partition = map[ident.VM]int{}
	c.run(30 * time.Second)
	c.assertLive(t, 9)
}

func TestLeaveIsAnnounced(t *testing.T) {
	c := newCluster(5, 7)
	c.run(3 * time.Second)
	c.send("vm-02", c.table(2).Leave(c.now))
	c.down["vm-02"] = true
	c.run(2 * time.Second)
	c.assertLive(t, 6)
}

func TestFrozenVMRejoins(t *testing.T) {
	c := newCluster(6, 7)
	c.run(3 * time.Second)
	c.down["vm-04"] = true
	c.run(20 * time.Second)
	c.assertLive(t, 6)
	c.down["vm-04"] = false
	c.run(100 * time.Millisecond)
	assert.Equal(t, len(c.table(4).Live()), 7, "a VM that was paused suspects no other VM for it")
	c.run(15 * time.Second)
	c.assertLive(t, 7)
}

// TestConverges kills, freezes, replaces and partitions VMs and drops packets at
// random. Once that ends, all VMs agree on the list of live VMs.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		c := newCluster(rapid.Uint64().Draw(t, "seed"), n)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				c.down[c.list[i].Name] = true
			case 1:
				c.down[c.list[i].Name] = false
			case 2:
				c.start(i)
			case 3:
				c.partition[c.list[i].Name] = rapid.IntRange(0, 1).Draw(t, "side")
			case 4:
				c.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
			}
			c.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second)
		}
		c.partition, c.loss = map[ident.VM]int{}, 0
		up := 0
		for i := range c.list {
			if !c.down[c.list[i].Name] {
				up++
			}
		}
		c.run(60 * time.Second)
		c.assertLive(t, up)
	})
}

func TestOwnerMovesLittle(t *testing.T) {
	c := newCluster(7, 10)
	moved := 0
	const keys = 2000
	for k := range keys {
		key := fmt.Sprint(k)
		a, _ := Owner(key, c.list)
		b, _ := Owner(key, c.list[:9])
		if a.Name != b.Name {
			moved++
			assert.Equal(t, a.Name, c.list[9].Name, "only keys of the removed VM move")
		}
	}
	assert.Assert(t, moved > keys/20 && moved < keys/5, "%d of %d", moved, keys)
	_, ok := Owner("k", nil)
	assert.Assert(t, !ok)
}
