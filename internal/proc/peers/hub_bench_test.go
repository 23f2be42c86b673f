package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/wire"
	"umberladder/internal/policy/retry"
	"umberladder/internal/proc/conf"
	"umberladder/internal/state/hubs"
)

// hub is a node that other VMs report to, without a connection to any.
type hub struct {
	*delegate
	now time.Time
}

func vmName(n int) ident.VM { return ident.VM(fmt.Sprint("edge-", n)) }

// newHub returns a hub with the given number of VMs that report to it.
func newHub(vms int) *hub {
	cfg := &conf.Edge{Name: "hub", Peers: netip.MustParseAddrPort("10.0.0.1:1"), Cores: 8, LinkBitsPerSecond: 1e9}
	cfg.RetryBudget.Window = 10 * time.Second
	h := &hub{delegate: &delegate{node: New(cfg, Deps{}, &errgroup.Group{}, zap.NewNop())}, now: time.Now()}
	for n := range vms {
		h.report(n)
	}
	return h
}

// report handles a report of the nth VM and encodes the response.
func (h *hub) report(n int) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
	m := &wire.Message{VM: vmName(n), Instance: 1, Capacity: 12, ServersRevKnown: true, Attempts: map[ident.Service]retry.Attempts{"s": {First: 3}}}
	h.HandleReport(m, addr, h.now)
	r := &wire.Message{VM: "hub", Reply: h.VersionReply(1), Hub: &wire.HubResponse{Candidates: h.node.Hubs.LiveCandidates(h.now)}}
	r.Hub.CandidateDigest = hubs.Digest(r.Hub.Candidates)
	h.FillResponse(r, m.VM, h.now)
	r.EncodeParts(60 << 10)
}

// BenchmarkHub handles reports of VMs that each report twice a second.
func BenchmarkHub(b *testing.B) {
	for _, vms := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			h := newHub(vms)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				h.now = h.now.Add(hubs.ReportInterval / time.Duration(vms))
				h.report(n % vms)
			}
		})
	}
}
