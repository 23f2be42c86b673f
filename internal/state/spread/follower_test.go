package spread

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

var errCut = errors.New("no answer")

// village is a few VMs whose followers share a store, over a network that
// drops, repeats and delays, in virtual time.
type village struct {
	table *table.Table
	group errgroup.Group
	vms   []*dweller

	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64
	pulls int
	down  bool          // the store answers nothing
	slow  time.Duration // its answers come this late
}

// dweller is one VM. It is the transport of its membership, the store and the
// peers of its follower.
type dweller struct {
	village  *village
	self     member.Member
	book     *Book
	invars   *invar.Book
	fleet    *fleet.Fleet
	follower *Follower
	inbox    chan member.Packet
	paused   bool // nothing reaches it or leaves it; packets wait
}

func newVillage(ctx context.Context, n int, seed uint64) *village {
	v := &village{table: table.NewTable(), rng: rand.New(rand.NewPCG(seed, 0))}
	var list []member.Member
	for i := range n {
		list = append(list, member.Member{
			Name:        ident.VM(fmt.Sprintf("vm-%d", i)),
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1),
			Domain:      ident.Domain(fmt.Sprintf("fd-%d", i%2)),
			Incarnation: 1,
		})
	}
	for i, m := range list {
		d := &dweller{village: v, self: m, invars: &invar.Book{}, inbox: make(chan member.Packet, 10_000)}
		d.book = NewBook(d.invars)
		d.follower = NewFollower(d.book, d, d, &v.group, zap.NewNop(), rand.New(rand.NewPCG(seed, uint64(i+1))))
		t := member.New(member.DefaultConfig(), m, rand.New(rand.NewPCG(seed, uint64(100+i))))
		t.List(list, time.Now())
		d.fleet = fleet.New(t, d, listed(list), d.follower.Mark, d.follower.Heard)
		d.follower.Start(d.fleet)
		v.vms = append(v.vms, d)
	}
	for _, d := range v.vms {
		for _, run := range []func(context.Context) error{d.fleet.Run, d.fleet.Receive, d.follower.Run} {
			v.group.Go(func() error { return run(ctx) })
		}
	}
	return v
}

type listed []member.Member

func (l listed) Members(context.Context) ([]member.Member, error) { return l, nil }

// delay draws how long a packet takes; false: it is lost.
func (v *village) delay() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(1+v.rng.IntN(40)) * time.Millisecond, v.rng.Float64() >= v.loss
}

func (v *village) set(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f()
}

// pulled returns how often VMs have asked one another.
func (v *village) pulled() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pulls
}

// heal ends every failure.
func (v *village) heal() {
	v.set(func() {
		v.loss, v.down, v.slow = 0, false, 0
		for _, d := range v.vms {
			d.paused = false
		}
	})
}

// end stops every VM.
func (v *village) end(t *testing.T, cancel func()) {
	v.heal()
	cancel()
	assert.NilError(t, v.group.Wait())
}

// gone waits until VM d is not paused.
func (d *dweller) gone() {
	for {
		d.village.mu.Lock()
		paused := d.paused
		d.village.mu.Unlock()
		if !paused {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Send implements fleet.Transport.
func (d *dweller) Send(to netip.AddrPort, p *member.Packet) error {
	for _, other := range d.village.vms {
		if other.self.Address != to {
			continue
		}
		for range 2 { // now and then a packet comes twice
			wait, arrives := d.village.delay()
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
func (d *dweller) Run(ctx context.Context, take func(member.Packet)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-d.inbox:
			d.gone()
			take(p)
		}
	}
}

// reach waits for the store as it is just now.
func (d *dweller) reach() error {
	d.gone()
	d.village.mu.Lock()
	down, slow := d.village.down, d.village.slow
	d.village.mu.Unlock()
	time.Sleep(slow)
	if down {
		return &store.Error{Fault: store.Down, Err: errors.New("down")}
	}
	return nil
}

// List implements Reader.
func (d *dweller) List(_ context.Context, prefix string, after uint64) ([]store.Item, uint64, error) {
	if err := d.reach(); err != nil {
		return nil, 0, err
	}
	items, rev := d.village.table.List(prefix, after, time.Now())
	return d.items(items), rev, nil
}

// Watch implements Reader.
func (d *dweller) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	if err := d.reach(); err != nil {
		return nil, 0, err
	}
	items, rev := d.village.table.Watch(prefix, after, wait, ctx.Done())
	if err := d.reach(); err != nil {
		return nil, 0, err // the reply is lost
	}
	return d.items(items), rev, nil
}

func (d *dweller) items(list []table.Item) []store.Item {
	out := make([]store.Item, 0, len(list))
	for _, it := range list {
		out = append(out, store.Item{Path: it.Path, Revision: it.Revision, Value: it.Value})
	}
	return out
}

// Pull implements Puller.
func (d *dweller) Pull(_ context.Context, from member.Member, after uint64) ([]config.Document, uint64, error) {
	d.village.set(func() { d.village.pulls++ })
	wait, arrives := d.village.delay()
	time.Sleep(wait)
	if !arrives {
		return nil, 0, errCut
	}
	for _, other := range d.village.vms {
		if other.self.Name == from.Name {
			other.gone()
			docs, upTo := other.follower.Newer(after)
			time.Sleep(wait)
			return docs, upTo, nil
		}
	}
	return nil, 0, errCut
}

// write has an operator accept document n of a path.
func (v *village) write(t *testing.T, path, body string) uint64 {
	value := Value{Body: []byte(body)}
	data, err := value.Encode()
	assert.NilError(t, err)
	now := time.Now()
	it, _ := v.table.Get(Prefix+path, now)
	rev, ok := v.table.Put(Prefix+path, data, it.Revision, 0, now)
	assert.Assert(t, ok)
	return rev
}

const systemBody = `{"classes":[{"name":"a","rank":0}],"models":[]}`

func (v *village) workspace(t *testing.T, name, n int) uint64 {
	body := fmt.Sprintf(`{"caller-keys":[%q],"services":[],"limits":{"concurrency":%d}}`, strings.Repeat("ab", 32), n+1)
	return v.write(t, fmt.Sprintf("/workspaces/w%d", name), body)
}

// through writes document n of a workspace through a VM, which hears of it at
// once.
func (v *village) through(t *testing.T, d *dweller, name, n int) uint64 {
	rev := v.workspace(t, name, n)
	it, _ := v.table.Get(fmt.Sprintf("%s/workspaces/w%d", Prefix, name), time.Now())
	doc, err := Decode(store.Item{Path: it.Path, Revision: it.Revision, Value: it.Value})
	assert.NilError(t, err)
	d.follower.Accepted(doc)
	return rev
}

// behind returns the first VM that is not at the revision.
func (v *village) behind(rev uint64) string {
	for _, d := range v.vms {
		if got := d.follower.Revision(); got != rev {
			return fmt.Sprintf("%s is at %d in place of %d", d.self.Name, got, rev)
		}
	}
	return ""
}

// whole fails unless each VM holds every document up to its revision.
func (v *village) whole(t *testing.T) {
	items, _ := v.table.List(Prefix, 0, time.Now())
	for _, d := range v.vms {
		check.Invariants(t, d.invars)
		snap := d.book.Load()
		for _, it := range items {
			if it.Revision <= snap.Revision {
				assert.Equal(t, snap.Documents[strings.TrimPrefix(it.Path, Prefix)].Version, it.Revision, "%s on %s", it.Path, d.self.Name)
			}
		}
	}
}

// TestSpread writes settings while packets are lost, late and doubled, the
// store is down or slow, and VMs are paused. No VM ever goes back or lacks a
// document below its revision; once all is well, the last write is in force
// everywhere in time.
func TestSpread(t *testing.T) {
	check.Checks(t, 60)
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			v := newVillage(ctx, 5, rapid.Uint64().Draw(rt, "seed"))
			defer v.end(t, cancel)
			last := v.write(t, config.SystemPath, systemBody)
			for n := range rapid.IntRange(1, 20).Draw(rt, "steps") {
				d := v.vms[rapid.IntRange(0, 4).Draw(rt, "vm")]
				on := rapid.Bool().Draw(rt, "on")
				switch rapid.SampledFrom([]string{"write", "through", "through", "loss", "down", "slow", "pause"}).Draw(rt, "what") {
				case "write":
					last = v.workspace(t, rapid.IntRange(0, 2).Draw(rt, "workspace"), n)
				case "through":
					last = v.through(t, d, rapid.IntRange(0, 2).Draw(rt, "workspace"), n)
				case "loss":
					v.set(func() { v.loss = map[bool]float64{true: 0.4}[on] })
				case "down":
					v.set(func() { v.down = on })
				case "slow":
					v.set(func() { v.slow = map[bool]time.Duration{true: 700 * time.Millisecond}[on] })
				case "pause":
					v.set(func() { d.paused = on })
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
				v.whole(t)
			}
			v.heal()
			time.Sleep(retryLimit + 3*time.Second)
			assert.Equal(t, v.behind(last), "")
			v.whole(t)
			last = v.workspace(t, 0, 99)
			time.Sleep(3 * time.Second)
			assert.Equal(t, v.behind(last), "", "in force 3 s after a write, with all well")
		})
	})
}

// TestStoreDownJustAfterTheWrite has two VMs write, and the store go down before
// anyone could read what they wrote.
func TestStoreDownJustAfterTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		v := newVillage(ctx, 7, 1)
		defer v.end(t, cancel)
		v.write(t, config.SystemPath, systemBody)
		time.Sleep(5 * time.Second)
		v.set(func() { v.down = true })
		v.through(t, v.vms[3], 0, 1)
		v.through(t, v.vms[4], 1, 1)
		last := v.through(t, v.vms[4], 0, 2)
		time.Sleep(3 * time.Second)
		for _, d := range v.vms {
			docs := d.book.Load().Documents
			assert.Equal(t, docs["/workspaces/w0"].Version, last, d.self.Name)
			assert.Equal(t, docs["/workspaces/w1"].Version, last-1, d.self.Name)
		}
		pulls := v.pulled()
		time.Sleep(3 * time.Second)
		assert.Equal(t, v.pulled(), pulls, "all have all, and still ask")
		v.set(func() { v.down = false })
		time.Sleep(retryLimit + time.Second)
		assert.Equal(t, v.behind(last), "")
		v.whole(t)
	})
}
