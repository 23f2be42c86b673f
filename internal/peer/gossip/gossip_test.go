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
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/coord"
	"umberladder/internal/state/delta"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/hubreg"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/srvtab"
	_ "umberladder/internal/test/check" // fixes the seed
)

const (
	// linkBytesPerSecond is the rate of a VM's link, and latency the delay of a datagram
	// in addition to its transmission time.
	linkBytesPerSecond = 20_000_000 / 8
	latency            = time.Millisecond
	// headerSize is the size of the IP and UDP headers of a datagram, in bytes.
	headerSize = 28
	// maxSpreadTime is how long it may take until all VMs know what one VM has read from
	// the store. It is half of the 2 s within which calls to a retired server must end.
	maxSpreadTime = time.Second
	// maxAgreeTime is how long it may take until all VMs agree on the hubs after VMs have
	// started or shut down in order. It is the time within which calls to a retired
	// server must end.
	maxAgreeTime = 2 * time.Second
	// domains is the number of failure domains of a fleet.
	domains = 3
	// maxControlRate is the maximum control-plane traffic of a VM, in bytes per second.
	maxControlRate = 3000
)

// network simulates a network that delays datagrams and drops some, and the store.
type network struct {
	mu          sync.Mutex
	rng         *rand.Rand
	loss        float64
	nodes       map[netip.AddrPort]*node
	partitioned func(a, b *node) bool // nil: all VMs reach one another
	registered  map[ident.VM]netip.AddrPort
	quarantined []poison.Quarantine // quarantined requests in the store
	storeDown   bool                // no VM reaches the store
	seeds       []netip.AddrPort
	calls       int          // to the store: fresh reads, and writes
	listReads   atomic.Int64 // complete lists of servers read from the store or another VM
	// registry holds the servers' entries; nil if the VMs do not follow servers.
	registry *registry
}

type datagram struct {
	data []byte
	from netip.AddrPort
}

// node is a VM and its socket. It implements udpConn, Delegate and hubreg.Registry.
type node struct {
	net              *network
	self             hubs.Candidate
	hubs             *hubs.Tracker
	gossip           *Agent
	registrar        *hubreg.Registrar
	poison           *poison.Detector
	table            *srvtab.Table          // nil if the VM does not follow servers
	servers          *follow.ServerFollower // nil if the VM does not follow servers
	updates          *delta.Sender
	packer           *wire.Packer
	boot             uint64
	stop             context.CancelFunc
	inbox            chan datagram
	outbox           chan delivery
	done             chan struct{}
	linkFree         time.Time // when its link has sent all datagrams written so far
	version          atomic.Uint64
	sent             atomic.Int64
	bytes            atomic.Int64
	received         atomic.Int64
	storeUnreachable atomic.Bool
	changed          chan struct{}
	down             bool
	frozen           atomic.Pointer[chan struct{}] // closed when the VM resumes; nil: it is not frozen
	group            *errgroup.Group               // goroutines of the current instance of the VM's process
}

// freeze suspends the VM until thaw is called.
func (v *node) freeze() (thaw func()) {
	ch := make(chan struct{})
	v.frozen.Store(&ch)
	return func() {
		v.frozen.Store(nil)
		close(ch)
	}
}

// waitWhileFrozen blocks while the VM is frozen.
func (v *node) waitWhileFrozen() {
	if ch := v.frozen.Load(); ch != nil {
		<-*ch
	}
}

// ReadFromUDPAddrPort implements udpConn.
func (v *node) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case d := <-v.inbox:
		v.waitWhileFrozen()
		v.received.Add(int64(len(d.data) + headerSize))
		return copy(b, d.data), d.from, nil
	case <-v.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort implements udpConn.
func (v *node) WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error) {
	v.waitWhileFrozen()
	n := v.net
	n.mu.Lock()
	defer n.mu.Unlock()
	v.sent.Add(1)
	v.bytes.Add(int64(len(b) + headerSize))
	to := n.nodes[addr]
	if to == nil || n.rng.Float64() < n.loss || n.partitioned != nil && n.partitioned(v, to) {
		return len(b), nil
	}
	now := time.Now()
	if v.linkFree.Before(now) {
		v.linkFree = now
	}
	v.linkFree = v.linkFree.Add(time.Duration(len(b)+headerSize) * time.Second / linkBytesPerSecond)
	v.outbox <- delivery{datagram: datagram{data: slices.Clone(b), from: v.self.Addr}, to: to.inbox, at: v.linkFree.Add(latency)}
	return len(b), nil
}

// delivery is a datagram in transit.
type delivery struct {
	datagram datagram
	to       chan<- datagram
	at       time.Time // time of arrival
}

// deliver delivers the VM's datagrams in the order in which they were sent, until ctx
// ends.
func (v *node) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-v.outbox:
			retry.Sleep(ctx, time.Until(d.at))
			select {
			case d.to <- d.datagram:
			default: // the receiver's buffer is full
			}
		}
	}
}

// Close implements udpConn.
func (v *node) Close() error {
	close(v.done)
	return nil
}

// localLoads are the loads that each VM reports.
var localLoads = map[ident.Server]alloc.Load{
	"i-0123456789@1700000000000": {Calls: 1, Tokens: 3300, Backlog: 2000},
	"i-9876543210@1700000000000": {Calls: 2, Tokens: 6600},
}

func (v *node) FillReport(m *wire.Message, now time.Time) {
	m.Loads = localLoads
	m.Attempts = map[ident.Service]retry.Attempts{"engines": {First: 12}, "plain": {First: 8, Retries: 1}}
	m.Findings = v.poison.Report(now)
	v.fillCommon(m, now)
}

func (v *node) FillUpdate(m *wire.Message, hub ident.VM, now time.Time) {
	if m.Store.Watching && v.servers != nil && hub != "" {
		m.ServerUpdate, _ = v.updates.Missing(hub, now)
		v.packUpdate(m)
	}
}

// packUpdate encodes the update of the servers in a message.
func (v *node) packUpdate(m *wire.Message) {
	if m.ServerUpdate != nil {
		m.PackedUpdate, _ = v.packer.Update(m.ServerUpdate)
	}
}

// receiveServers applies the server changes in another VM's message. With forward,
// servers reported as retired are announced to other VMs.
func (v *node) receiveServers(m *wire.Message, forward bool, now time.Time) {
	if v.servers == nil {
		return
	}
	v.updates.Record(m.VM, m.ServersRev, now)
	if u := m.ServerUpdate; u != nil {
		known := v.servers.Revision()
		if m.Hub != nil && m.Reply == nil && known != 0 && u.Base > known {
			v.gossip.ReportNow()
		} else {
			v.servers.ApplyUpdate(*u, now)
		}
		if u.More {
			v.gossip.ReportNow()
		}
	}
	v.table.ApplyRetired(m.Retired, forward)
	if v.table.ApplyEvacuations(m.Evacuations) {
		v.announce()
	}
}

func (v *node) fillCommon(m *wire.Message, now time.Time) {
	m.QuarantineDigest = v.poison.Digest(now)
	m.SettingsVersion, m.Capacity, m.Domain = v.version.Load(), v.hubs.Self().Capacity, v.self.Domain
	m.Store = hubs.StoreStatus{Watching: v.hubs.ShouldWatch(now), Age: 300 * time.Millisecond}
	if v.storeUnreachable.Load() {
		m.Store.Age = time.Minute
	}
	if v.servers != nil {
		m.Retired = v.table.RetiredToAnnounce(now)
		m.Evacuations = v.table.Evacuations()
		m.Store.Age = v.servers.Age()
		m.ServersRev, m.ServersRevKnown = v.servers.Revision(), true
	}
}

func (v *node) FillResponse(m *wire.Message, to ident.VM, now time.Time) {
	m.Hub.Known, m.Hub.Reporting = 100, 100
	m.Hub.PeerAttempts = map[ident.Service]retry.Attempts{"engines": {First: 1700}, "plain": {First: 2200, Retries: 120}}
	m.Findings = v.poison.Response(to, now)
	v.fillCommon(m, now)
	switch {
	case v.servers == nil:
	case m.Reply != nil:
		m.ServerUpdate, _ = v.updates.Missing(to, now)
	default:
		m.ServerUpdate, _ = v.updates.New(to, now)
	}
	v.packUpdate(m)
}

func (v *node) processReport(m *wire.Message, from netip.AddrPort) hubs.Report {
	if m.SettingsVersion > v.version.Load() {
		v.version.Store(m.SettingsVersion)
	}
	return hubs.Report{Candidate: hubs.Candidate{VM: m.VM, Addr: from, Capacity: m.Capacity, Domain: m.Domain}, StoreStatus: m.Store}
}

func (v *node) HandleReport(m *wire.Message, from netip.AddrPort, now time.Time) {
	v.hubs.HandleReport(v.processReport(m, from), now)
	v.poison.HandleReport(m.VM, m.QuarantineDigest)
	v.poison.Merge(m.Findings, now)
	v.receiveServers(m, true, now)
}

func (v *node) HandleResponse(m *wire.Message, from netip.AddrPort, now time.Time) {
	if v.hubs.HandleResponse(v.processReport(m, from), m.Hub.Candidates, m.Hub.CandidateDigest, now) {
		v.gossip.ReportNow()
	}
	v.poison.HandleResponse(m.VM, m.Instance, m.QuarantineDigest, now)
	v.poison.Merge(m.Findings, now)
	v.receiveServers(m, false, now)
}

// onQuarantineChange reports the VM's own findings at once. A hub also announces its
// quarantine decisions.
func (v *node) onQuarantineChange(c poison.Change) {
	v.gossip.ReportNow()
	if c.Empty() || !v.hubs.IsHub(time.Now()) {
		return
	}
	v.registrar.Wake()
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

func (v *node) Clock() uint64 { return 1 }
func (v *node) VersionReply(requestTime uint64) *wire.VersionReply {
	return &wire.VersionReply{RequestTime: requestTime, Version: v.version.Load()}
}
func (v *node) HandlePlacementRequest(coord.Request, func(coord.Response)) {}
func (v *node) HandlePlacementResponse(coord.Response)                     {}
func (v *node) HandleOrigins([]origin.Record)                              {}
func (v *node) AnswerOriginQuery(origin.Query) origin.Answer               { return origin.Answer{} }
func (v *node) HandleOriginAnswer(origin.Answer)                           {}
func (v *node) StateChanged() <-chan struct{}                              { return v.changed }
func (v *node) LoadsChanged() <-chan struct{}                              { return nil }
func (v *node) Coordinators() []netip.AddrPort                             { return nil }
func (v *node) Renew(context.Context, hubreg.Lease) error                  { return nil }

func (v *node) Register(_ context.Context, vm ident.VM, addr netip.AddrPort, _ time.Duration) (hubreg.Lease, error) {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.net.calls += 2
	v.net.registered[vm] = addr
	return 1, nil
}

// Quarantine implements hubreg.Registry.
func (v *node) Quarantine(_ context.Context, q poison.Quarantine) error {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	if v.storeUnreachable.Load() || v.net.storeDown {
		return fmt.Errorf("store unreachable")
	}
	v.net.calls += 2
	v.net.quarantined = append(v.net.quarantined, q)
	return nil
}

// Read implements hubreg.Registry. It counts only fresh reads: others may return data that
// is 1 s old, and cost the store nothing.
func (v *node) Read(_ context.Context, fresh bool) (hubreg.Records, error) {
	v.waitWhileFrozen()
	time.Sleep(4 * time.Millisecond)
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	if v.storeUnreachable.Load() || v.net.storeDown {
		return hubreg.Records{}, fmt.Errorf("store unreachable")
	}
	if fresh {
		v.net.calls++
	}
	out := make(map[ident.VM]netip.AddrPort, len(v.net.registered))
	for name, addr := range v.net.registered {
		out[name] = addr
	}
	return hubreg.Records{VMs: out, Quarantined: slices.Clone(v.net.quarantined)}, nil
}

// fleet is a set of VMs on a network.
type fleet struct {
	*network
	all []*node
	ctx context.Context
}

// runFleet starts the given number of VMs within 0.3 s and calls f. One VM in 16 has a
// higher capacity than the others.
func runFleet(t *testing.T, vms int, loss float64, f func(t *testing.T, f *fleet)) {
	t.Helper()
	runFleetWithServers(t, vms, loss, nil, f)
}

// runFleetWithServers is like runFleet, with VMs that follow the servers in r.
func runFleetWithServers(t *testing.T, vms int, loss float64, r *registry, f func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := &network{rng: rand.New(rand.NewPCG(7, 0)), loss: loss, nodes: make(map[netip.AddrPort]*node), registered: make(map[ident.VM]netip.AddrPort), registry: r}
		if r != nil {
			r.net = n
		}
		fl := &fleet{network: n, ctx: ctx}
		for i := range vms {
			c := hubs.Candidate{VM: ident.VM(fmt.Sprintf("edge-%d", i)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7201), Capacity: 12}
			if i%16 == 0 {
				c.Capacity = 14
			}
			c.Domain = domainOf(c.VM)
			fl.all = append(fl.all, &node{net: n, self: c})
			fl.start(fl.all[i], n.startDelay())
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

// domainOf returns the failure domain of a VM. It depends on the hash by which candidates
// of the same capacity are ordered, so that the first ones are in the same domain.
func domainOf(vm ident.VM) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprint(xxhash.Sum64String(string(vm)) / (math.MaxUint64 / domains)))
}

// startDelay returns a random delay of a VM's start.
func (n *network) startDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(n.rng.IntN(300)) * time.Millisecond
}

// storeCalls returns the number of calls to the store that are charged in full.
func (n *network) storeCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// start starts a VM that knows no other VMs but the seeds.
func (f *fleet) start(v *node, after time.Duration) {
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	v.inbox, v.outbox, v.done, v.changed = make(chan datagram, 1000), make(chan delivery, 10_000), make(chan struct{}), make(chan struct{}, 1)
	f.mu.Unlock()
	v.hubs, v.stop, v.down = hubs.New(v.self, f.seeds, time.Now().Add(after)), stop, false
	v.version.Store(0)
	v.boot++
	v.gossip = newAgent(v, v.self.VM, v.boot, v, v.hubs, zap.NewNop())
	v.poison = poison.New(poison.Config{CrashLimit: 3, Duration: 10 * time.Minute}, v.onQuarantineChange)
	v.registrar = hubreg.New(v.self, time.Now().Add(after), v.hubs, v, v.poison, v.gossip.ReportNow, zap.NewNop())
	registrar := v.registrar
	if f.registry != nil {
		v.initServers(f.registry)
	}
	f.mu.Lock()
	f.nodes[v.self.Addr] = v
	f.mu.Unlock()
	loops := []func(context.Context){registrar.Run, v.gossip.RunSender, v.gossip.RunReceiver, v.deliver}
	if f.registry != nil {
		loops = append(loops, v.servers.Run, v.servers.Expire)
	}
	v.group = &errgroup.Group{}
	for _, run := range loops {
		v.group.Go(func() error {
			retry.Sleep(ctx, after)
			run(ctx)
			return nil
		})
	}
}

// kill stops a VM without notice to the others.
func (f *fleet) kill(v *node) {
	if v.down {
		return
	}
	v.down = true
	f.mu.Lock()
	delete(f.nodes, v.self.Addr)
	f.mu.Unlock()
	v.stop()
	_ = v.group.Wait() // its goroutines return no errors
}

func (f *fleet) up() []*node {
	return slices.DeleteFunc(slices.Clone(f.all), func(v *node) bool { return v.down })
}

// hubsOf returns the VMs that v considers to be hubs.
func hubsOf(v *node) []ident.VM {
	var out []ident.VM
	for _, r := range v.hubs.CoordinatorOrder("s", hubs.Count, time.Now()) {
		out = append(out, r.VM)
	}
	return out
}

// assertAgreed fails the test unless all VMs agree on the hubs, and two VMs watch the
// store.
func (f *fleet) assertAgreed(t *testing.T, what string) {
	t.Helper()
	list := f.up()
	for _, v := range list {
		assert.DeepEqual(t, hubsOf(v), hubsOf(list[0]))
	}
	assert.Equal(t, len(hubsOf(list[0])), hubs.Count, what)
	watching := 0
	for _, v := range list {
		if v.hubs.ShouldWatch(time.Now()) {
			watching++
		}
	}
	assert.Equal(t, watching, 2, what)
}

// measureSpread sets the settings version of a VM that watches the store, and returns
// how long it takes until all VMs know the version.
func (f *fleet) measureSpread(t *testing.T, version uint64) time.Duration {
	t.Helper()
	start := time.Now()
	for _, v := range f.up() {
		if v.hubs.ShouldWatch(start) {
			v.version.Store(version)
			v.changed <- struct{}{}
			break
		}
	}
	for _, v := range f.up() {
		for v.version.Load() != version && time.Since(start) < maxSpreadTime {
			time.Sleep(5 * time.Millisecond)
		}
		assert.Equal(t, v.version.Load(), version, "at %s", v.self.VM)
	}
	return time.Since(start)
}

// TestFleet guards against VMs that do not find one another, or do not agree on the hubs
// after failures. Some hundred VMs have links of 20 Mbit/s and lose 4% of all datagrams.
func TestFleet(t *testing.T) {
	const loss = 0.04
	for name, selectLost := range map[string]func(f *fleet) func(v *node) bool{
		"all hubs are lost": func(f *fleet) func(*node) bool {
			list := hubsOf(f.all[0])
			return func(v *node) bool { return slices.Contains(list, v.self.VM) }
		},
		"two thirds are lost": func(*fleet) func(*node) bool {
			n := 0
			return func(*node) bool { n++; return n%3 != 0 }
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, vms, loss, func(t *testing.T, f *fleet) {
				time.Sleep(4 * time.Second)
				f.assertAgreed(t, "at the start")
				assert.Assert(t, f.storeCalls() <= 2*vms, "%d calls to the store", f.storeCalls())
				lost := selectLost(f)
				var killed []*node
				for _, v := range f.all {
					if lost(v) {
						f.kill(v)
						killed = append(killed, v)
					}
				}
				time.Sleep(2*hubs.PeerTimeout + hubs.ReportInterval)
				f.assertAgreed(t, name)
				f.measureSpread(t, 1)
				for _, v := range killed {
					f.start(v, 0)
				}
				time.Sleep(maxAgreeTime)
				f.assertAgreed(t, "after the restart")
				f.measureSpread(t, 2)
			})
		})
	}
	t.Run("all lose power and start again", func(t *testing.T) {
		runFleet(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			before := f.storeCalls()
			for _, v := range f.all {
				f.kill(v)
			}
			time.Sleep(time.Second)
			for _, v := range f.all {
				f.start(v, f.startDelay())
			}
			time.Sleep(maxAgreeTime)
			f.assertAgreed(t, "after the start")
			calls := f.storeCalls() - before
			assert.Assert(t, calls <= vms/4, "%d calls to the store", calls)
		})
	})
	t.Run("VMs that start while the store is unreachable find the others by their seeds", func(t *testing.T) {
		runFleet(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			f.mu.Lock()
			f.storeDown = true
			f.mu.Unlock()
			f.seeds = []netip.AddrPort{f.all[5].self.Addr, f.all[7].self.Addr, f.all[9].self.Addr}
			f.kill(f.all[5]) // one seed is out of date
			for _, v := range f.all[vms/3 : 2*vms/3] {
				f.kill(v)
			}
			time.Sleep(hubs.ReportInterval)
			for _, v := range f.all[vms/3 : 2*vms/3] {
				f.start(v, 0)
			}
			time.Sleep(time.Second)
			for _, v := range f.up() {
				assert.Assert(t, v.hubs.LivePeers(time.Now()) > 0, "%s has no live peers a second after the start", v.self.VM)
			}
			time.Sleep(maxAgreeTime - time.Second)
			f.assertAgreed(t, "after the start")
		})
	})
	t.Run("a third is partitioned from the others", func(t *testing.T) {
		runFleet(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			side := make(map[ident.VM]bool)
			for i, v := range f.all {
				side[v.self.VM] = i%3 == 0
			}
			f.mu.Lock()
			f.partitioned = func(a, b *node) bool { return side[a.self.VM] != side[b.self.VM] }
			f.mu.Unlock()
			time.Sleep(8 * time.Second)
			watching := 0
			for _, v := range f.all {
				if v.hubs.ShouldWatch(time.Now()) {
					watching++
				}
			}
			assert.Assert(t, watching <= 2*hubs.Count, "%d VMs watch the store", watching)
			f.mu.Lock()
			f.partitioned = nil
			f.mu.Unlock()
			time.Sleep(5 * time.Second)
			f.assertAgreed(t, "after the partition")
		})
	})
	t.Run("the hubs cannot reach the store", func(t *testing.T) {
		runFleet(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			list := hubsOf(f.all[0])
			for _, v := range f.all {
				v.storeUnreachable.Store(slices.Contains(list, v.self.VM))
			}
			time.Sleep(6 * time.Second)
			watching := 0
			for _, v := range f.all {
				if !v.storeUnreachable.Load() && v.hubs.ShouldWatch(time.Now()) {
					watching++
				}
			}
			assert.Assert(t, watching > 0, "VMs that reach the store must watch it")
			assert.DeepEqual(t, hubsOf(f.all[0]), list)
		})
	})
	t.Run("a failure domain is lost", func(t *testing.T) {
		runFleet(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			first := hubsOf(f.all[0])[0]
			i := slices.IndexFunc(f.all, func(v *node) bool { return v.self.VM == first })
			lost := f.all[i].self.Domain
			for _, v := range f.all {
				if v.self.Domain == lost {
					f.kill(v)
				}
			}
			time.Sleep(hubs.PeerTimeout)
			for _, v := range f.up() {
				assert.Assert(t, v.hubs.LivePeers(time.Now()) > 0, "%s has no live hub", v.self.VM)
			}
			time.Sleep(hubs.PeerTimeout + hubs.ReportInterval)
			f.assertAgreed(t, "after the loss")
			f.measureSpread(t, 1)
		})
	})
	t.Run("a hub shuts down", func(t *testing.T) {
		runFleet(t, vms, loss, func(t *testing.T, f *fleet) {
			time.Sleep(4 * time.Second)
			name := hubsOf(f.all[0])[0]
			i := slices.IndexFunc(f.all, func(v *node) bool { return v.self.VM == name })
			f.all[i].hubs.StepDown()
			time.Sleep(maxAgreeTime)
			f.assertAgreed(t, "after the shutdown")
			assert.Assert(t, !slices.Contains(hubsOf(f.all[0]), name))
		})
	})
}

// TestCost checks that the traffic of a VM that is not a hub does not grow with the
// number of VMs and stays within maxControlRate, and that of a hub within a quarter of
// its link.
func TestCost(t *testing.T) {
	const duration = 10 * time.Second
	for _, vms := range sizes {
		runFleet(t, vms, 0, func(t *testing.T, f *fleet) {
			time.Sleep(5 * time.Second)
			list := hubsOf(f.all[0])
			for _, v := range f.all {
				v.sent.Store(0)
				v.bytes.Store(0)
				v.received.Store(0)
			}
			time.Sleep(duration)
			maxRate, maxHubRate := int64(0), int64(0)
			for _, v := range f.all {
				rate := (v.bytes.Load() + v.received.Load()) / int64(duration/time.Second)
				if slices.Contains(list, v.self.VM) {
					maxHubRate = max(maxHubRate, rate)
					continue
				}
				maxRate = max(maxRate, rate)
				assert.Assert(t, v.sent.Load() <= (hubs.Count+1)*int64(duration/hubs.ReportInterval), "%d messages", v.sent.Load())
			}
			assert.Assert(t, maxRate <= maxControlRate, "%d B/s", maxRate)
			assert.Assert(t, maxHubRate <= linkBytesPerSecond/4, "%d B/s at a hub", maxHubRate)
			t.Logf("%d VMs: %d B/s at a VM, %d at a hub, all VMs updated after %s", vms, maxRate, maxHubRate, f.measureSpread(t, 1))
		})
	}
}
