package edge

import (
	"context"
	"net"
	"net/netip"

	"umberladder/internal/peer/httpc"
	"umberladder/internal/policy/hold"
	"umberladder/internal/route/path"
)

// boundedDialer opens connections as far as there are descriptors.
type boundedDialer struct {
	path.Dialer
	held *hold.Pool
}

// Dial implements path.Dialer. Its error is hold.ErrExhausted if there are no descriptors.
func (d boundedDialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return httpc.DialBounded(d.held, func() (net.Conn, error) { return d.Dialer.Dial(ctx, addr) })
}
