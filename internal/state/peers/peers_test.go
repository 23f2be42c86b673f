package peers

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

// registry is a store of names that may be away.
type registry struct{ away atomic.Bool }

var errAway = errors.New("away")

func (r *registry) Announce(context.Context, ident.VM, netip.AddrPort, time.Duration) (Lease, error) {
	return 1, r.Renew(context.Background(), 1)
}

func (r *registry) Renew(context.Context, Lease) error {
	if r.away.Load() {
		return errAway
	}
	return nil
}

func (r *registry) VMs(context.Context) (map[ident.VM]netip.AddrPort, error) {
	return nil, r.Renew(context.Background(), 1)
}

func TestTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &registry{}
		p := New("vm", netip.AddrPort{}, r, zap.NewNop())
		assert.Assert(t, !p.Touch(time.Now()), "the store has not answered yet")
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		g.Go(func() error {
			p.Announce(ctx)
			return nil
		})
		for range 20 {
			time.Sleep(time.Second)
			assert.Assert(t, p.Touch(time.Now()))
		}
		r.away.Store(true)
		time.Sleep(touchTime + time.Second)
		assert.Assert(t, !p.Touch(time.Now()))
		r.away.Store(false)
		time.Sleep(retryName + time.Millisecond)
		assert.Assert(t, p.Touch(time.Now()))
		cancel()
		assert.NilError(t, g.Wait())
	})
}

func TestMeet(t *testing.T) {
	own, a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")
	p := New("vm", own, &registry{}, zap.NewNop())
	for _, addr := range []netip.AddrPort{a, own, a, b} {
		p.Meet(addr)
	}
	assert.DeepEqual(t, p.Others(), []netip.AddrPort{a, b}, cmpopts.EquateComparable(netip.AddrPort{}))
	p.read(t.Context())
	assert.Equal(t, len(p.Others()), 0, "the list replaces what was heard")
}
