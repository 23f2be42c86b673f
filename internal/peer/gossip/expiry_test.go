package gossip

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/uptime"
	"umberladder/internal/peer/wire"
	"umberladder/internal/state/delta"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/srvtab"
)

const (
	// serverCount is the number of servers registered in the store.
	serverCount = 60
	// heartbeat is the interval at which a server writes its entry.
	heartbeat = 1200 * time.Millisecond
	// lateDelay is how much longer the outage lasts for some VMs.
	lateDelay = 700 * time.Millisecond
	// storeLatency is the minimum latency of a call to the store.
	storeLatency = 4 * time.Millisecond
)

var errUnavailable = errors.New("store unavailable")

// registry is an in-memory store of server entries with a change log.
type registry struct {
	net *network

	mu      sync.Mutex
	rev     follow.Revision
	entries map[ident.Server]srvtab.Entry
	log     []follow.Change
	changed chan struct{}
}

func newRegistry() *registry {
	return &registry{rev: 1, entries: make(map[ident.Server]srvtab.Entry)}
}

func serverEntry(n int) srvtab.Entry {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 8000)
	return srvtab.Entry{ID: ident.Server(fmt.Sprintf("i-%d@1700000000000", n)), Service: "engines", Addr: addr, Slots: 1}
}

func (r *registry) record(c follow.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev++
	c.Rev = r.rev
	if c.Gone {
		delete(r.entries, c.Entry.ID)
		c.Entry = srvtab.Entry{ID: ident.NewServer(c.Entry.ID.Name(), time.Time{})}
	} else {
		r.entries[c.Entry.ID] = c.Entry
	}
	r.log = append(r.log, c)
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

func (r *registry) put(e srvtab.Entry)    { r.record(follow.Change{Entry: e}) }
func (r *registry) remove(e srvtab.Entry) { r.record(follow.Change{Entry: e, Gone: true}) }

// registryClient is a VM's connection to the registry. It implements
// follow.ServerSource.
type registryClient struct {
	*registry
	vm *node
}

// call simulates a call to the store. It fails while the VM cannot reach the store.
func (c registryClient) call() error {
	time.Sleep(storeLatency)
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.net.storeDown || c.vm.storeUnreachable.Load() {
		return errUnavailable
	}
	return nil
}

// Servers implements follow.ServerSource.
func (c registryClient) Servers(context.Context) ([]srvtab.Entry, follow.Revision, error) {
	c.net.listReads.Add(1)
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.entries)), c.rev, nil
}

// AwaitServers implements follow.ServerSource.
func (c registryClient) AwaitServers(ctx context.Context, after follow.Revision, wait time.Duration) ([]follow.Change, follow.Revision, error) {
	if err := c.call(); err != nil {
		return nil, 0, err
	}
	for end := time.After(wait); ; {
		c.mu.Lock()
		rev, changed := c.rev, c.changed
		changes := slices.DeleteFunc(slices.Clone(c.log), func(ch follow.Change) bool { return ch.Rev <= after })
		c.mu.Unlock()
		if len(changes) > 0 {
			return changes, rev, c.call()
		}
		select {
		case <-changed:
		case <-end:
			return nil, rev, c.call()
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// initServers creates the VM's server table and the follower that updates it.
func (v *node) initServers(r *registry) {
	clock := func() uptime.Instant { return uptime.Instant(time.Now().UnixNano()) }
	v.table = srvtab.NewTable(v.announce)
	v.servers = follow.NewServerFollower(registryClient{registry: r, vm: v}, v.table, heartbeat, clock,
		func() bool { return !v.hubs.ShouldWatch(time.Now()) },
		func() bool { return v.hubs.ProbesStore(time.Now()) },
		func() bool { return v.hubs.LeadsWatch(time.Now()) },
		v.announce, v.fetchFromHub, zap.NewNop())
	v.updates, v.packer = delta.NewSender(v.servers), wire.NewPacker()
}

// announce makes a hub, or a VM that watches the store, send its state to all VMs now.
func (v *node) announce() {
	if now := time.Now(); !v.hubs.ShouldWatch(now) && !v.hubs.IsHub(now) {
		return
	}
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// fetchFromHub returns the full server list of the first hub that has one.
func (v *node) fetchFromHub(context.Context) (follow.Update, error) {
	v.net.listReads.Add(1)
	for _, addr := range v.hubs.HubAddrs(time.Now()) {
		v.net.mu.Lock()
		hub := v.net.nodes[addr]
		v.net.mu.Unlock()
		if hub == nil || hub.servers == nil {
			continue
		}
		if update, ok := hub.servers.Snapshot(); ok {
			return update, nil
		}
	}
	return follow.Update{}, follow.ErrNoPeer
}

// minUsable returns the smallest number of usable servers at any running VM.
func (f *fleet) minUsable() int {
	least := serverCount
	for _, v := range f.up() {
		least = min(least, len(v.table.View().ServersOf("engines")))
	}
	return least
}

// outage makes the store unavailable for the given duration, in which the entries of all
// servers expire. For the VMs in late it lasts lateDelay longer. Once the store has
// recovered, the first writers servers write their entries again within one heartbeat.
func (f *fleet) outage(r *registry, duration time.Duration, writers int, late []ident.VM) {
	f.setStoreDown(true, late)
	time.Sleep(duration)
	for n := range serverCount {
		r.remove(serverEntry(n))
	}
	f.setStoreDown(false, nil)
	for n := range writers {
		time.Sleep(heartbeat / serverCount)
		r.put(serverEntry(n))
		if time.Duration(n)*heartbeat/serverCount > lateDelay {
			f.setStoreDown(false, late)
		}
	}
	time.Sleep(heartbeat * time.Duration(serverCount-writers) / serverCount)
}

// setStoreDown sets whether the store is unavailable, both in general and for the VMs in
// vms.
func (f *fleet) setStoreDown(down bool, vms []ident.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = down
	for _, v := range f.all {
		if slices.Contains(vms, v.self.VM) {
			v.storeUnreachable.Store(down)
		}
	}
}

// TestLapses guards against VMs dropping live servers whose entries expire during a store
// outage. The store is unavailable for 4.5 s to 80 VMs that lose 4% of their datagrams.
// Every server that writes its entry again must stay usable at every VM throughout. The
// time before the outage determines when VMs that are not hubs read the store after it.
func TestLapses(t *testing.T) {
	for name, tc := range map[string]struct {
		before time.Duration            // time from the start to the outage
		late   func(v *node) []ident.VM // VMs that reach the store last
	}{
		"all VMs reach the store at once":  {before: 4 * time.Second, late: func(*node) []ident.VM { return nil }},
		"hubs reach the store last, 4.6 s": {before: 4600 * time.Millisecond, late: hubsOf},
		"hubs reach the store last, 5 s":   {before: 5 * time.Second, late: hubsOf},
		"hubs reach the store last, 5.4 s": {before: 5400 * time.Millisecond, late: hubsOf},
	} {
		t.Run(name, func(t *testing.T) { testEntryExpiry(t, tc.before, tc.late) })
	}
}

func testEntryExpiry(t *testing.T, before time.Duration, late func(v *node) []ident.VM) {
	const outage = 4500 * time.Millisecond
	r := newRegistry()
	runFleetWithServers(t, min(vms, 80), 0.04, r, func(t *testing.T, f *fleet) {
		for n := range serverCount {
			r.put(serverEntry(n))
		}
		time.Sleep(before)
		assert.Equal(t, f.minUsable(), serverCount, "before the outage")
		f.outage(r, outage, serverCount-1, late(f.all[0]))
		for range 20 {
			assert.Assert(t, f.minUsable() >= serverCount-1, "%d of %d servers are usable", f.minUsable(), serverCount)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * hubs.ReportInterval)
		assert.Equal(t, f.minUsable(), serverCount-1, "the server that did not write its entry again is removed")
		r.remove(serverEntry(0))
		time.Sleep(maxSpreadTime)
		assert.Equal(t, f.minUsable(), serverCount-2, "a removal outside an outage takes effect at once")
	})
}
