package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/state/config"
	"umberladder/internal/test/check"
)

// cluster is a set of VMs with one Limiter each.
type cluster struct {
	partition []int  // side of a network partition; a VM sees only VMs on its side
	crashed   []bool // the VM no longer serves requests
	knownDead []bool // the other VMs have noticed the crash
	limiters  []*Limiter
	permits   [][]*Permit
}

// member is one VM of a cluster.
type member struct {
	cluster *cluster
	vm      int
}

// Rank implements Fleet.
func (m member) Rank() (i, n int) {
	for vm := range m.cluster.limiters {
		if m.cluster.knownDead[vm] || m.cluster.partition[vm] != m.cluster.partition[m.vm] {
			continue
		}
		if vm < m.vm {
			i++
		}
		n++
	}
	return i, n
}

func newCluster(n int) *cluster {
	c := &cluster{partition: make([]int, n), crashed: make([]bool, n), knownDead: make([]bool, n), permits: make([][]*Permit, n)}
	for vm := range n {
		c.limiters = append(c.limiters, New(member{c, vm}))
	}
	return c
}

func (c *cluster) admit(vm int, w *config.Workspace, now time.Time) bool {
	p, refusal := c.limiters[vm].Admit(w, now)
	if refusal == nil {
		c.permits[vm] = append(c.permits[vm], p)
	}
	return refusal == nil
}

func (c *cluster) openRequests() int {
	sum := 0
	for _, list := range c.permits {
		sum += len(list)
	}
	return sum
}

// maxOpen returns the maximum number of open requests on n VMs that see each
// other: the limit, or one per VM if that is more.
func maxOpen(bound, n int) int { return max(bound, n) }

// TestAcrossVMs opens and ends requests while VMs crash and the network splits
// once into two sides. The total must never exceed the limit per side, and once
// the VMs agree on the membership again, the full limit must be available.
func TestAcrossVMs(t *testing.T) {
	check.RapidChecks(t, 500)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "vms")
		bound := rapid.IntRange(1, 40).Draw(t, "limit")
		w := &config.Workspace{Name: "w", Limits: config.Limits{Concurrency: bound}}
		c, now := newCluster(n), time.Unix(1000, 0)
		sides := 1
		pick := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				for vm := pick(t); !c.crashed[vm] && c.admit(vm, w, now); {
				}
			},
			"end": func(t *rapid.T) {
				if vm := pick(t); len(c.permits[vm]) > 0 {
					c.permits[vm][0].Release(0, now)
					c.permits[vm] = c.permits[vm][1:]
				}
			},
			"kill": func(t *rapid.T) {
				vm := pick(t)
				c.crashed[vm], c.permits[vm] = true, nil
			},
			"learn": func(*rapid.T) { copy(c.knownDead, c.crashed) },
			"cut": func(t *rapid.T) {
				if sides == 2 {
					t.Skip()
				}
				sides = 2
				for vm := range pick(t) {
					c.partition[vm] = 1
				}
			},
			"heal": func(*rapid.T) { clear(c.partition) },
			"": func(t *rapid.T) {
				assert.Assert(t, c.openRequests() <= sides*maxOpen(bound, n), "%d open, limit %d, %d sides", c.openRequests(), bound, sides)
			},
		})
		copy(c.knownDead, c.crashed)
		clear(c.partition)
		for vm := range n {
			for !c.crashed[vm] && c.admit(vm, w, now) {
			}
		}
		if c.openRequests() > 0 {
			assert.Assert(t, c.openRequests() >= bound, "only %d of %d requests were admitted", c.openRequests(), bound)
		}
	})
}
