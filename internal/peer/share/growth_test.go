package share

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/httpc"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/srvtab"
)

// countingSource has a list of servers and counts how often it is created.
type countingSource struct {
	fakeSource
	lists atomic.Int64
}

func (s *countingSource) HasServers() bool { return true }

func (s *countingSource) Servers() (follow.Update, bool) {
	s.lists.Add(1)
	u := follow.Update{Rev: follow.Revision(s.lists.Load())}
	for n := range 1000 {
		u.Changes = append(u.Changes, follow.Change{Rev: u.Rev, Entry: srvtab.Entry{ID: ident.Server(fmt.Sprint("s", n)), Addr: netip.MustParseAddrPort("10.0.0.1:80")}})
	}
	return u, true
}

// TestListsUnderLoad guards against a hub that creates a list of all servers for each VM that
// asks for one, also if it then responds that it is busy. When many VMs start at once, the
// lists took all of its memory. The number of lists must not grow with that of the requests.
func TestListsUnderLoad(t *testing.T) {
	for _, requests := range []int{20, 200} {
		t.Run(fmt.Sprint(requests, " requests"), func(t *testing.T) {
			src := &countingSource{}
			addr := startServerFor(t, src)
			start := time.Now()
			var g errgroup.Group
			for n := range requests {
				g.Go(func() error {
					self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)}), 1)
					c := NewClient(httpc.New(netip.Addr{}, time.Second, time.Minute, 0), self)
					_, _ = c.Servers(context.Background(), addr) // most requests find the VM busy
					return nil
				})
			}
			assert.NilError(t, g.Wait())
			limit := 1 + int64(time.Since(start)/cacheTime)
			assert.Assert(t, src.lists.Load() <= limit, "%d lists", src.lists.Load())
		})
	}
}
