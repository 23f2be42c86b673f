package syncer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/invar"
	table "umberladder/internal/fake/store"
	"umberladder/internal/peer/store"
	"umberladder/internal/state/config"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/member"
	"umberladder/internal/test/check"
)

var errNoReply = errors.New("no reply")

// cluster is a group of VMs whose followers share a store, in virtual time, over a
// network that drops, repeats and delays packets.
type cluster struct {
	table *table.Table
	group errgroup.Group
	vms   []*vm

	mu        sync.Mutex
	rng       *rand.Rand
	loss      float64
	pulls     int
	down      bool          // the store is unavailable
	delayTime time.Duration // delay of each store response
}

// vm is one VM. It implements the transport of its membership, and the store and
// the peers of its follower.
type vm struct {
	cluster  *cluster
	self     member.Member
	current  *Current
	invars   *invar.Checker
	fleet    *fleet.Membership
	follower *Follower
	inbox    chan member.Packet
	paused   bool // sends and receives nothing; packets are queued
}

func newCluster(ctx context.Context, n int, seed uint64) *cluster {
	c := &cluster{table: table.NewTable(), rng: rand.New(rand.NewPCG(seed, 0))}
	var list []member.Member
	for i := range n {
		list = append(list, member.Member{
			Name:        ident.VM(fmt.Sprintf("vm-%d", i)),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
			Domain:      ident.FailureDomain(fmt.Sprintf("fd-%d", i%2)),
			Incarnation: 1,
		})
	}
	for i, m := range list {
		v := &vm{cluster: c, self: m, invars: &invar.Checker{}, inbox: make(chan member.Packet, 10_000)}
		v.current = NewCurrent(v.invars)
		v.follower = NewFollower(v.current, v, v, &c.group, zap.NewNop(), rand.New(rand.NewPCG(seed, uint64(i+1))))
		t := member.New(member.DefaultConfig(), m, rand.New(rand.NewPCG(seed, uint64(100+i))))
		t.MergeList(list, time.Now())
		v.fleet = fleet.New(t, v, staticList(list), v.follower.SettingsVersion, v.follower.HandlePeerVersion)
		v.follower.SetFleet(v.fleet)
		c.vms = append(c.vms, v)
	}
	for _, v := range c.vms {
		for _, run := range []func(context.Context) error{v.fleet.Run, v.fleet.Receive, v.follower.Run} {
			c.group.Go(func() error { return run(ctx) })
		}
	}
	return c
}

type staticList []member.Member

func (l staticList) Members(context.Context) ([]member.Member, error) { return l, nil }

// delay draws the delay of a packet, and false if the packet is lost.
func (c *cluster) delay() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(1+c.rng.IntN(40)) * time.Millisecond, c.rng.Float64() >= c.loss
}

func (c *cluster) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// pullCount returns the number of pulls between VMs.
func (c *cluster) pullCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pulls
}

// clearFaults ends every fault.
func (c *cluster) clearFaults() {
	c.locked(func() {
		c.loss, c.down, c.delayTime = 0, false, 0
		for _, v := range c.vms {
			v.paused = false
		}
	})
}

// stop stops every VM.
func (c *cluster) stop(t *testing.T, cancel func()) {
	c.clearFaults()
	cancel()
	assert.NilError(t, c.group.Wait())
}

// waitWhilePaused waits until VM d is not paused.
func (v *vm) waitWhilePaused() {
	for {
		v.cluster.mu.Lock()
		paused := v.paused
		v.cluster.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Send implements fleet.Transport.
func (v *vm) Send(to netip.AddrPort, p *member.Packet) error {
	for _, other := range v.cluster.vms {
		if other.self.Address != to {
			continue
		}
		for range 2 { // some packets arrive twice
			wait, arrives := v.cluster.delay()
			if !arrives {
				break
			}
			packet := *p
			time.AfterFunc(wait, func() { other.inbox <- packet })
			if wait > 4*time.Millisecond {
				break
			}
		}
	}
	return nil
}

// Run implements fleet.Transport.
func (v *vm) Run(ctx context.Context, handle func(member.Packet)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-v.inbox:
			v.waitWhilePaused()
			handle(p)
		}
	}
}

// accessStore delays as the store does, and fails if the store is unavailable.
func (v *vm) accessStore() error {
	v.waitWhilePaused()
	v.cluster.mu.Lock()
	down, slow := v.cluster.down, v.cluster.delayTime
	v.cluster.mu.Unlock()
	time.Sleep(slow)
	if down {
		return &store.Error{Kind: store.Unavailable, Err: errors.New("down")}
	}
	return nil
}

// List implements Reader.
func (v *vm) List(_ context.Context, prefix string, after uint64) ([]store.Item, uint64, error) {
	if err := v.accessStore(); err != nil {
		return nil, 0, err
	}
	items, rev := v.cluster.table.List(prefix, after, time.Now())
	return v.items(items), rev, nil
}

// Watch implements Reader.
func (v *vm) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	if err := v.accessStore(); err != nil {
		return nil, 0, err
	}
	items, rev := v.cluster.table.Watch(prefix, after, wait, ctx.Done())
	if err := v.accessStore(); err != nil {
		return nil, 0, err // the reply is lost
	}
	return v.items(items), rev, nil
}

func (v *vm) items(list []table.Item) []store.Item {
	out := make([]store.Item, 0, len(list))
	for _, it := range list {
		out = append(out, store.Item{Path: it.Path, Revision: it.Revision, Value: it.Value})
	}
	return out
}

// Pull implements Puller.
func (v *vm) Pull(_ context.Context, from member.Member, after uint64) ([]config.Document, uint64, error) {
	v.cluster.locked(func() { v.cluster.pulls++ })
	wait, arrives := v.cluster.delay()
	time.Sleep(wait)
	if !arrives {
		return nil, 0, errNoReply
	}
	for _, other := range v.cluster.vms {
		if other.self.Name == from.Name {
			other.waitWhilePaused()
			docs, upTo := other.follower.DocumentsAfter(after)
			time.Sleep(wait)
			return docs, upTo, nil
		}
	}
	return nil, 0, errNoReply
}

// write stores a new body of the document at a path, as an accepted change.
func (c *cluster) write(t *testing.T, path, body string) uint64 {
	value := Value{Body: []byte(body)}
	data, err := value.Encode()
	assert.NilError(t, err)
	now := time.Now()
	it, _ := c.table.Get(Prefix+path, now)
	rev, ok := c.table.Put(Prefix+path, data, it.Revision, 0, now)
	assert.Assert(t, ok)
	return rev
}

const systemBody = `{"classes":[{"name":"a","rank":0}],"models":[]}`

func (c *cluster) workspace(t *testing.T, name, n int) uint64 {
	body := fmt.Sprintf(`{"caller-keys":[%q],"services":[],"limits":{"concurrency":%d}}`, strings.Repeat("ab", 32), n+1)
	return c.write(t, fmt.Sprintf("/workspaces/w%d", name), body)
}

// writeThrough writes document n of a workspace through a VM, which applies it
// immediately.
func (c *cluster) writeThrough(t *testing.T, v *vm, name, n int) uint64 {
	rev := c.workspace(t, name, n)
	it, _ := c.table.Get(fmt.Sprintf("%s/workspaces/w%d", Prefix, name), time.Now())
	doc, err := Decode(store.Item{Path: it.Path, Revision: it.Revision, Value: it.Value})
	assert.NilError(t, err)
	v.follower.ApplyWritten(doc)
	return rev
}

// behind returns the first VM that is not at the revision.
func (c *cluster) behind(rev uint64) string {
	for _, v := range c.vms {
		if got := v.follower.Revision(); got != rev {
			return fmt.Sprintf("%s is at %d instead of %d", v.self.Name, got, rev)
		}
	}
	return ""
}

// assertComplete fails the test unless each VM has every document up to its revision.
func (c *cluster) assertComplete(t *testing.T) {
	items, _ := c.table.List(Prefix, 0, time.Now())
	for _, v := range c.vms {
		check.Invariants(t, v.invars)
		snap := v.current.Load()
		for _, it := range items {
			if it.Revision <= snap.Revision {
				assert.Equal(t, snap.Documents[strings.TrimPrefix(it.Path, Prefix)].Version, it.Revision, "%s on %s", it.Path, v.self.Name)
			}
		}
	}
}

// TestSettingsReachAllVMs guards against VMs that revert settings, miss documents or
// keep old settings. It writes settings while packets are lost, delayed and duplicated, the
// store is down or slow, and VMs are paused. No VM may revert a document or lack one
// up to its revision; after the faults end, the last write must be in force on all
// VMs in time.
func TestSettingsReachAllVMs(t *testing.T) {
	check.RapidChecks(t, 60)
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c := newCluster(ctx, 5, rapid.Uint64().Draw(rt, "seed"))
			defer c.stop(t, cancel)
			last := c.write(t, config.SystemPath, systemBody)
			for n := range rapid.IntRange(1, 20).Draw(rt, "steps") {
				v := c.vms[rapid.IntRange(0, 4).Draw(rt, "vm")]
				on := rapid.Bool().Draw(rt, "on")
				switch rapid.SampledFrom([]string{"write", "through", "through", "loss", "down", "slow", "pause"}).Draw(rt, "what") {
				case "write":
					last = c.workspace(t, rapid.IntRange(0, 2).Draw(rt, "workspace"), n)
				case "through":
					last = c.writeThrough(t, v, rapid.IntRange(0, 2).Draw(rt, "workspace"), n)
				case "loss":
					c.locked(func() { c.loss = map[bool]float64{true: 0.4}[on] })
				case "down":
					c.locked(func() { c.down = on })
				case "slow":
					c.locked(func() { c.delayTime = map[bool]time.Duration{true: 700 * time.Millisecond}[on] })
				case "pause":
					c.locked(func() { v.paused = on })
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
				c.assertComplete(t)
			}
			c.clearFaults()
			time.Sleep(retryLimit + 3*time.Second)
			assert.Equal(t, c.behind(last), "")
			c.assertComplete(t)
			last = c.workspace(t, 0, 99)
			time.Sleep(3 * time.Second)
			assert.Equal(t, c.behind(last), "", "in force 3 s after a write without faults")
		})
	})
}

// TestStoreDownJustAfterTheWrite guards against losing writes on the way to other VMs.
// Two VMs write, and the store fails before any VM can read what they wrote.
func TestStoreDownJustAfterTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(ctx, 7, 1)
		defer c.stop(t, cancel)
		c.write(t, config.SystemPath, systemBody)
		time.Sleep(5 * time.Second)
		c.locked(func() { c.down = true })
		c.writeThrough(t, c.vms[3], 0, 1)
		c.writeThrough(t, c.vms[4], 1, 1)
		last := c.writeThrough(t, c.vms[4], 0, 2)
		time.Sleep(3 * time.Second)
		for _, v := range c.vms {
			docs := v.current.Load().Documents
			assert.Equal(t, docs["/workspaces/w0"].Version, last, v.self.Name)
			assert.Equal(t, docs["/workspaces/w1"].Version, last-1, v.self.Name)
		}
		pulls := c.pullCount()
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.pullCount(), pulls, "VMs still pull although all have all settings")
		c.locked(func() { c.down = false })
		time.Sleep(retryLimit + time.Second)
		assert.Equal(t, c.behind(last), "")
		c.assertComplete(t)
	})
}
