package peers

import (
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/timing"
	"umberladder/internal/proc/conf"
	"umberladder/internal/route/alloc"
)

func newDelegate(name ident.VM) *delegate {
	cfg := &conf.Edge{Name: name, Peers: netip.MustParseAddrPort("10.0.0.2:1"), Cores: 8, LinkBitsPerSecond: 1e9}
	cfg.RetryBudget.Window = 10 * time.Second
	return &delegate{node: New(cfg, Deps{}, &errgroup.Group{}, zap.NewNop())}
}

// exchange sends a report of a VM to a hub and the hub's message back. It returns the number of
// servers in the hub's message.
func exchange(t *testing.T, vm, hub *delegate, requestTime uint64, now time.Time) int {
	t.Helper()
	carry := func(m *wire.Message) *wire.Message {
		got, err := wire.Decode(m.Encode())
		assert.NilError(t, err)
		return got
	}
	report := &wire.Message{VM: vm.node.cfg.Name, Instance: 1, RequestTime: requestTime}
	vm.FillReport(report, now)
	if requestTime == 0 {
		report.Timings = nil
	}
	hub.HandleReport(carry(report), netip.MustParseAddrPort("10.0.0.2:1"), now)
	response := &wire.Message{VM: hub.node.cfg.Name, Instance: 1, Hub: &wire.HubResponse{}}
	if requestTime != 0 {
		response.Reply = hub.VersionReply(requestTime)
	}
	hub.FillResponse(response, report.VM, now)
	vm.HandleResponse(carry(response), netip.MustParseAddrPort("10.0.0.1:1"), now)
	return len(response.Hub.Timings)
}

// TestTimingsOfOtherVMs guards against response times that do not reach the other VMs, and
// against messages about other matters that drop or repeat them.
func TestTimingsOfOtherVMs(t *testing.T) {
	hub, a, b := newDelegate("hub"), newDelegate("a"), newDelegate("b")
	now := time.Now()
	exchange(t, a, hub, 1, now)
	exchange(t, b, hub, 1, now)
	now = now.Add(time.Minute) // the hub has joined the fleet and may watch the store
	exchange(t, a, hub, 1, now)
	for _, d := range []*delegate{hub, a, b} {
		for range 5 {
			d.node.Timings.Observe("s1", 30*time.Millisecond, now)
			d.node.Timings.Observe("s2", 300*time.Millisecond, now)
		}
	}
	defer a.node.Alloc.Reserve("s1", alloc.Load{Calls: 4}).Release()
	list := []ident.Server{"s1", "s2"}
	load := func(d *delegate) float64 { return d.node.Timings.Assess("s", list, nil, now)[1].PeerLoad }
	assert.Equal(t, load(b), 0.0)
	exchange(t, a, hub, 1, now)
	assert.Equal(t, exchange(t, b, hub, 1, now), 2)
	assert.Equal(t, load(b), 3.0, "the calls of the hub and of the other VM, not its own")
	assert.Equal(t, b.node.Timings.Assess("s", list, nil, now)[0].PeerLoad, 2.0, "half of the calls in flight at the other VM")
	exchange(t, a, hub, 1, now)
	assert.Equal(t, load(a), 3.0)
	assert.Equal(t, load(hub), 3.0)
	t.Run("messages without a reply change nothing", func(t *testing.T) {
		assert.Equal(t, exchange(t, a, hub, 0, now), 0)
		assert.Equal(t, exchange(t, b, hub, 0, now), 0)
		assert.Equal(t, load(b), 3.0)
		assert.Equal(t, load(hub), 3.0)
	})
	t.Run("figures of calls that ended long ago are dropped", func(t *testing.T) {
		now = now.Add(4 * timing.Window)
		assert.Equal(t, exchange(t, a, hub, 1, now), 0)
		assert.Equal(t, load(a), 0.0)
	})
}
