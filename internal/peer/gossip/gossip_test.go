package gossip

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/retry"
	"umberladder/internal/route/homes"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/names"
	_ "umberladder/internal/test/check" // fixes the seed
)

const (
	// linkRate is what a VM's link carries, in bytes a second, and flight the time
	// that a datagram takes beside that.
	linkRate = 20_000_000 / 8
	flight   = time.Millisecond
	// header is what IP and UDP add to a datagram, in bytes.
	header = 28
	// known is the time within which all have to know what one VM has read: half of
	// the two seconds in which a server that leaves must get no more calls.
	known = time.Second
	// agreed is the time within which all have to agree on the hubs after VMs have
	// come or left of themselves: that in which a server that leaves must get no more
	// calls.
	agreed = 2 * time.Second
	// domains is the number of failure domains of a fleet.
	domains = 3
	// controlRate is what a VM may spend for control, in bytes a second.
	controlRate = 3000
)

// network carries datagrams, late, and loses some.
type network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	loss  float64
	nodes map[netip.AddrPort]*node
	cut   func(a, b *node) bool // nil: no VMs are cut off from one another
	names map[ident.VM]netip.AddrPort
	held  []poison.Entry // quarantined requests in the store
	away  bool           // the store answers nobody
	seeds []netip.AddrPort
	calls int // to the store, fresh readings and writings
	// registry holds the servers' entries; nil if the VMs do not follow servers.
	registry *registry
}

type datagram struct {
	data []byte
	from netip.AddrPort
}

// node is a VM and its socket. It implements conn, Local and names.Registry.
type node struct {
	net      *network
	own      hubs.Candidate
	hubs     *hubs.Hubs
	gossip   *Gossip
	keeper   *names.Keeper
	poison   *poison.Book
	table    *backs.Table    // nil if the VM does not follow servers
	servers  *follow.Servers // nil if the VM does not follow servers
	boot     uint64
	stop     context.CancelFunc
	in       chan datagram
	out      chan passage
	closed   chan struct{}
	free     time.Time // when its link has carried what it was given
	version  atomic.Uint64
	sent     atomic.Int64
	bytes    atomic.Int64
	received atomic.Int64
	cutStore atomic.Bool
	dirty    chan struct{}
	down     bool
	frozen   atomic.Pointer[chan struct{}] // is closed when the VM wakes; nil: it does not stand still
	group    *errgroup.Group               // of the present start
}

// freeze has the VM stand still until thaw is called.
func (v *node) freeze() (thaw func()) {
	ch := make(chan struct{})
	v.frozen.Store(&ch)
	return func() {
		v.frozen.Store(nil)
		close(ch)
	}
}

// wake returns once the VM does not stand still.
func (v *node) wake() {
	if ch := v.frozen.Load(); ch != nil {
		<-*ch
	}
}

// ReadFromUDPAddrPort implements conn.
func (v *node) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-v.in:
		v.wake()
		v.received.Add(int64(len(d.data) + header))
		return copy(b, d.data), d.from, nil
	case <-v.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort implements conn.
func (v *node) WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error) {
	v.wake()
	n := v.net
	n.mu.Lock()
	defer n.mu.Unlock()
	v.sent.Add(1)
	v.bytes.Add(int64(len(b) + header))
	to := n.nodes[addr]
	if to == nil || n.rng.Float64() < n.loss || n.cut != nil && n.cut(v, to) {
		return len(b), nil
	}
	now := time.Now()
	if v.free.Before(now) {
		v.free = now
	}
	v.free = v.free.Add(time.Duration(len(b)+header) * time.Second / linkRate)
	v.out <- passage{d: datagram{data: slices.Clone(b), from: v.own.Addr}, to: to.in, at: v.free.Add(flight)}
	return len(b), nil
}

// passage is a datagram on its way.
type passage struct {
	d  datagram
	to chan<- datagram
	at time.Time // of its arrival
}

// carry brings what the VM sends to where it goes, in its order, until ctx ends.
func (v *node) carry(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-v.out:
			retry.Pause(ctx, time.Until(p.at))
			select {
			case p.to <- p.d:
			default: // the receiver's buffer is full
			}
		}
	}
}

// Close implements conn.
func (v *node) Close() error {
	close(v.closed)
	return nil
}

// loads is what a VM has under way.
var loads = map[ident.Server]seats.Load{
	"i-0123456789@1700000000000": {Seats: 1, Tokens: 3300, Backlog: 2000},
	"i-9876543210@1700000000000": {Seats: 2, Tokens: 6600},
}

func (v *node) Report(s *wire.State, now time.Time) {
	s.Loads = loads
	s.Sent = map[ident.Service]retry.Sent{"engines": {First: 12}, "plain": {First: 8, Again: 1}}
	s.Findings = v.poison.Report(now)
	v.tell(s, now)
	if s.Store.Asks {
		v.addNews(s, now)
	}
}

// addNews adds the VM's recent server changes to a message.
func (v *node) addNews(s *wire.State, now time.Time) {
	if v.servers == nil {
		return
	}
	if n, ok := v.servers.News(now); ok {
		s.News = &n
	}
}

// receiveServers applies the server changes in another VM's message. With pass, servers
// reported as leaving are announced to other VMs.
func (v *node) receiveServers(s *wire.State, pass bool, now time.Time) {
	if v.servers == nil {
		return
	}
	if s.News != nil {
		v.servers.Learn(*s.News, now)
	}
	v.table.Receive(s.Leaving, pass)
}

func (v *node) tell(s *wire.State, now time.Time) {
	s.Verdicts = v.poison.Digest(now)
	s.Version, s.Capacity, s.Domain = v.version.Load(), v.hubs.Own().Capacity, v.own.Domain
	s.Store = hubs.StoreStatus{Asks: v.hubs.Asks(now), Age: 300 * time.Millisecond}
	if v.cutStore.Load() {
		s.Store.Age = time.Minute
	}
	if v.servers != nil {
		s.Leaving = v.table.Leaving(now)
		s.Store.Age = v.servers.Age()
	}
}

func (v *node) Answer(s *wire.State, to ident.VM, now time.Time) {
	s.Hub.Known, s.Hub.Heard = 100, 100
	s.Hub.Rest = map[ident.Service]retry.Sent{"engines": {First: 1700}, "plain": {First: 2200, Again: 120}}
	s.Findings = v.poison.Answer(to, now)
	v.tell(s, now)
	v.addNews(s, now)
}

func (v *node) report(s *wire.State, from netip.AddrPort) hubs.Report {
	if s.Version > v.version.Load() {
		v.version.Store(s.Version)
	}
	return hubs.Report{Candidate: hubs.Candidate{VM: s.VM, Addr: from, Capacity: s.Capacity, Domain: s.Domain}, StoreStatus: s.Store}
}

func (v *node) Hear(s *wire.State, from netip.AddrPort, now time.Time) {
	v.hubs.Reported(v.report(s, from), now)
	v.poison.Reported(s.VM, s.Verdicts)
	v.poison.Merge(s.Findings, now)
	v.receiveServers(s, true, now)
}

func (v *node) Learn(s *wire.State, from netip.AddrPort, now time.Time) {
	if v.hubs.Answered(v.report(s, from), s.Hub.Names, s.Hub.Digest, now) {
		v.gossip.Beat()
	}
	v.poison.HubAnswered(s.VM, s.Boot, s.Verdicts, now)
	v.poison.Merge(s.Findings, now)
	v.receiveServers(s, false, now)
}

// judged has the VM announce its own evidence, and verdicts.
func (v *node) judged(c poison.Change) {
	v.gossip.Beat()
	if c.Empty() || !v.hubs.Hub(time.Now()) {
		return
	}
	v.keeper.Wake()
	select {
	case v.dirty <- struct{}{}:
	default:
	}
}

func (v *node) Clock() uint64                            { return 1 }
func (v *node) Reply(ask uint64) *wire.Reply             { return &wire.Reply{Ask: ask, Version: v.version.Load()} }
func (v *node) Seat(homes.Ask, func(homes.Answer))       {}
func (v *node) Seated(homes.Answer)                      {}
func (v *node) Dirty() <-chan struct{}                   { return v.dirty }
func (v *node) Moved() <-chan struct{}                   { return nil }
func (v *node) Homes() []netip.AddrPort                  { return nil }
func (v *node) Renew(context.Context, names.Lease) error { return nil }

func (v *node) Announce(_ context.Context, vm ident.VM, addr netip.AddrPort, _ time.Duration) (names.Lease, error) {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.net.calls += 2
	v.net.names[vm] = addr
	return 1, nil
}

// Quarantine implements names.Registry.
func (v *node) Quarantine(_ context.Context, e poison.Entry) error {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	if v.cutStore.Load() || v.net.away {
		return fmt.Errorf("cut off")
	}
	v.net.calls += 2
	v.net.held = append(v.net.held, e)
	return nil
}

// Read implements names.Registry. What need not be fresh is a second old here: nothing.
func (v *node) Read(_ context.Context, fresh bool) (names.Records, error) {
	v.wake()
	time.Sleep(4 * time.Millisecond)
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	if v.cutStore.Load() || v.net.away {
		return names.Records{}, fmt.Errorf("cut off")
	}
	if fresh {
		v.net.calls++
	}
	out := make(map[ident.VM]netip.AddrPort, len(v.net.names))
	for name, addr := range v.net.names {
		out[name] = addr
	}
	return names.Records{VMs: out, Quarantined: slices.Clone(v.net.held)}, nil
}

// fleet is some VMs on a network.
type fleet struct {
	*network
	all []*node
	ctx context.Context
}

// play has so many VMs start within 0.3 s, one in sixteen of much capacity.
func play(t *testing.T, vms int, loss float64, f func(t *testing.T, f *fleet)) {
	t.Helper()
	playServers(t, vms, loss, nil, f)
}

// playServers is like play, with VMs that follow the servers in r.
func playServers(t *testing.T, vms int, loss float64, r *registry, f func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &network{rng: rand.New(rand.NewPCG(7, 0)), loss: loss, nodes: make(map[netip.AddrPort]*node), names: make(map[ident.VM]netip.AddrPort), registry: r}
		if r != nil {
			r.net = n
		}
		fl := &fleet{network: n, ctx: ctx}
		for i := range vms {
			c := hubs.Candidate{VM: ident.VM(fmt.Sprintf("edge-%d", i)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7201), Capacity: 12}
			if i%16 == 0 {
				c.Capacity = 14
			}
			c.Domain = domain(c.VM)
			fl.all = append(fl.all, &node{net: n, own: c})
			fl.start(fl.all[i], n.delay())
		}
		defer func() {
			cancel()
			for _, v := range fl.all {
				fl.kill(v)
			}
		}()
		f(t, fl)
	})
}

// domain returns the failure domain of a VM: by its hash, which orders VMs of the same
// capacity, so that the first ones are neighbours.
func domain(vm ident.VM) ident.Domain {
	return ident.Domain(fmt.Sprint(xxhash.Sum64String(string(vm)) / (math.MaxUint64 / domains)))
}

// delay returns how long after others a VM starts.
func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.IntN(300)) * time.Millisecond
}

// storeCalls returns how many calls to the store were made that count whole.
func (n *network) storeCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// start starts a VM that knows nobody.
func (f *fleet) start(v *node, after time.Duration) {
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	v.in, v.out, v.closed, v.dirty = make(chan datagram, 1000), make(chan passage, 10_000), make(chan struct{}), make(chan struct{}, 1)
	f.mu.Unlock()
	v.hubs, v.stop, v.down = hubs.New(v.own, f.seeds, time.Now().Add(after)), stop, false
	v.version.Store(0)
	v.boot++
	v.gossip = over(v, v.own.VM, v.boot, v, v.hubs, zap.NewNop())
	v.poison = poison.New(poison.Config{Crashes: 3, Time: 10 * time.Minute}, v.judged)
	v.keeper = names.New(v.own, time.Now().Add(after), v.hubs, v, v.poison, v.gossip.Beat, zap.NewNop())
	keeper := v.keeper
	if f.registry != nil {
		v.initServers(f.registry)
	}
	f.mu.Lock()
	f.nodes[v.own.Addr] = v
	f.mu.Unlock()
	loops := []func(context.Context){keeper.Run, v.gossip.Send, v.gossip.Receive, v.carry}
	if f.registry != nil {
		loops = append(loops, v.servers.Run, v.servers.Expire)
	}
	v.group = &errgroup.Group{}
	for _, run := range loops {
		v.group.Go(func() error {
			retry.Pause(ctx, after)
			run(ctx)
			return nil
		})
	}
}

// kill ends a VM without a word.
func (f *fleet) kill(v *node) {
	if v.down {
		return
	}
	v.down = true
	f.mu.Lock()
	delete(f.nodes, v.own.Addr)
	f.mu.Unlock()
	v.stop()
	_ = v.group.Wait() // its goroutines return no errors
}

func (f *fleet) up() []*node {
	return slices.DeleteFunc(slices.Clone(f.all), func(v *node) bool { return v.down })
}

// hubsOf returns the VMs that a VM takes for hubs.
func hubsOf(v *node) []ident.VM {
	var out []ident.VM
	for _, r := range v.hubs.Order("s", hubs.Count, time.Now()) {
		out = append(out, r.VM)
	}
	return out
}

// agree fails the test unless all VMs agree on the hubs, and two ask the store.
func (f *fleet) agree(t *testing.T, what string) {
	t.Helper()
	list := f.up()
	for _, v := range list {
		assert.DeepEqual(t, hubsOf(v), hubsOf(list[0]))
	}
	assert.Equal(t, len(hubsOf(list[0])), hubs.Count, what)
	asks := 0
	for _, v := range list {
		if v.hubs.Asks(time.Now()) {
			asks++
		}
	}
	assert.Equal(t, asks, 2, what)
}

// spread has a VM that asks the store learn something and returns how long it takes
// until all know.
func (f *fleet) spread(t *testing.T, version uint64) time.Duration {
	t.Helper()
	start := time.Now()
	for _, v := range f.up() {
		if v.hubs.Asks(start) {
			v.version.Store(version)
			v.dirty <- struct{}{}
			break
		}
	}
	for _, v := range f.up() {
		for v.version.Load() != version && time.Since(start) < known {
			time.Sleep(5 * time.Millisecond)
		}
		assert.Equal(t, v.version.Load(), version, "at %s", v.own.VM)
	}
	return time.Since(start)
}

// TestFleet has some hundred VMs behind links of 20 Mbit/s, with 4% of all datagrams lost,
// find one another and bear losses.
func TestFleet(t *testing.T) {
	const loss = 0.04
	for name, lose := range map[string]func(f *fleet) func(v *node) bool{
		"all hubs are lost": func(f *fleet) func(*node) bool {
			list := hubsOf(f.all[0])
			return func(v *node) bool { return slices.Contains(list, v.own.VM) }
		},
		"two thirds are lost": func(*fleet) func(*node) bool {
			n := 0
			return func(*node) bool { n++; return n%3 != 0 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, vms, loss, func(t *testing.T, f *fleet) {
				time.Sleep(4 * time.Second)
				f.agree(t, "at the start")
				assert.Assert(t, f.storeCalls() <= 2*vms, "%d calls to the store", f.storeCalls())
				lost := lose(f)
				var gone []*node
				for _, v := range f.all {
					if lost(v) {
						f.kill(v)
						gone = append(gone, v)
					}
				}
				time.Sleep(2*hubs.Silence + hubs.Beat)
				f.agree(t, name)
				f.spread(t, 1)
				for _, v := range gone {
					f.start(v, 0)
				}
				time.Sleep(agreed)
				f.agree(t, "and come back")
				f.spread(t, 2)
			})
		})
	}
	t.Run("all lose power and start again", func(t *testing.T) {
		play(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			before := f.storeCalls()
			for _, v := range f.all {
				f.kill(v)
			}
			time.Sleep(time.Second)
			for _, v := range f.all {
				f.start(v, f.delay())
			}
			time.Sleep(agreed)
			f.agree(t, "after the start")
			calls := f.storeCalls() - before
			assert.Assert(t, calls <= vms/4, "%d calls to the store", calls)
		})
	})
	t.Run("VMs that start while the store is away find the others by their seeds", func(t *testing.T) {
		play(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			f.mu.Lock()
			f.away = true
			f.mu.Unlock()
			f.seeds = []netip.AddrPort{f.all[5].own.Addr, f.all[7].own.Addr, f.all[9].own.Addr}
			f.kill(f.all[5]) // one is out of date
			for _, v := range f.all[vms/3 : 2*vms/3] {
				f.kill(v)
			}
			time.Sleep(hubs.Beat)
			for _, v := range f.all[vms/3 : 2*vms/3] {
				f.start(v, 0)
			}
			time.Sleep(time.Second)
			for _, v := range f.up() {
				assert.Assert(t, v.hubs.Heard(time.Now()) > 0, "%s hears nobody a second after the start", v.own.VM)
			}
			time.Sleep(agreed - time.Second)
			f.agree(t, "after the start")
		})
	})
	t.Run("a third is cut off from the others", func(t *testing.T) {
		play(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			side := make(map[ident.VM]bool)
			for i, v := range f.all {
				side[v.own.VM] = i%3 == 0
			}
			f.mu.Lock()
			f.cut = func(a, b *node) bool { return side[a.own.VM] != side[b.own.VM] }
			f.mu.Unlock()
			time.Sleep(8 * time.Second)
			asks := 0
			for _, v := range f.all {
				if v.hubs.Asks(time.Now()) {
					asks++
				}
			}
			assert.Assert(t, asks <= 2*hubs.Count, "%d VMs ask the store", asks)
			f.mu.Lock()
			f.cut = nil
			f.mu.Unlock()
			time.Sleep(5 * time.Second)
			f.agree(t, "the cut has healed")
		})
	})
	t.Run("the store turns the hubs away", func(t *testing.T) {
		play(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			list := hubsOf(f.all[0])
			for _, v := range f.all {
				v.cutStore.Store(slices.Contains(list, v.own.VM))
			}
			time.Sleep(6 * time.Second)
			asks := 0
			for _, v := range f.all {
				if !v.cutStore.Load() && v.hubs.Asks(time.Now()) {
					asks++
				}
			}
			assert.Assert(t, asks > 0, "VMs that the store answers ask it")
			assert.DeepEqual(t, hubsOf(f.all[0]), list)
		})
	})
	t.Run("a failure domain is lost", func(t *testing.T) {
		play(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			first := hubsOf(f.all[0])[0]
			i := slices.IndexFunc(f.all, func(v *node) bool { return v.own.VM == first })
			lost := f.all[i].own.Domain
			for _, v := range f.all {
				if v.own.Domain == lost {
					f.kill(v)
				}
			}
			time.Sleep(hubs.Silence)
			for _, v := range f.up() {
				assert.Assert(t, v.hubs.Heard(time.Now()) > 0, "%s hears no hub", v.own.VM)
			}
			time.Sleep(hubs.Silence + hubs.Beat)
			f.agree(t, "after the loss")
			f.spread(t, 1)
		})
	})
	t.Run("a hub that leaves hands over", func(t *testing.T) {
		play(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			name := hubsOf(f.all[0])[0]
			i := slices.IndexFunc(f.all, func(v *node) bool { return v.own.VM == name })
			f.all[i].hubs.Leave()
			time.Sleep(agreed)
			f.agree(t, "another takes its place")
			assert.Assert(t, !slices.Contains(hubsOf(f.all[0]), name))
		})
	})
}

// TestCost checks that what a VM says and hears does not grow with the number of VMs,
// and stays within what a VM may spend for control.
func TestCost(t *testing.T) {
	const span = 10 * time.Second
	for _, vms := range sizes {
		play(t, vms, 0, func(t *testing.T, f *fleet) {
			time.Sleep(5 * time.Second)
			list := hubsOf(f.all[0])
			for _, v := range f.all {
				v.sent.Store(0)
				v.bytes.Store(0)
				v.received.Store(0)
			}
			time.Sleep(span)
			most, hub := int64(0), int64(0)
			for _, v := range f.all {
				rate := (v.bytes.Load() + v.received.Load()) / int64(span/time.Second)
				if slices.Contains(list, v.own.VM) {
					hub = max(hub, rate)
					continue
				}
				most = max(most, rate)
				assert.Assert(t, v.sent.Load() <= (hubs.Count+1)*int64(span/hubs.Beat), "%d messages", v.sent.Load())
			}
			assert.Assert(t, most <= controlRate, "%d B/s", most)
			assert.Assert(t, hub <= linkRate/4, "%d B/s at a hub", hub)
			t.Logf("%d VMs: %d B/s at a VM, %d at a hub, all know after %s", vms, most, hub, f.spread(t, 1))
		})
	}
}
