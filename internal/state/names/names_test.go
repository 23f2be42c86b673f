package names

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
	"umberladder/internal/state/hubs"
)

func candidate(n int) hubs.Candidate {
	return hubs.Candidate{VM: ident.VM(fmt.Sprint("vm-", n)), Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+n)), Capacity: 12}
}

// registry is a store of names that may be away, or lose them.
type registry struct {
	mu     sync.Mutex
	away   bool
	lost   bool
	broken bool // names can't be written, though leases are granted
	names  map[ident.VM]netip.AddrPort
	held   []poison.Entry
	writes int
	fresh  int
}

// none is a VM that knows of no requests to quarantine.
type none struct{}

func (none) Stored([]poison.Entry, time.Time)                                {}
func (none) Unstored(time.Duration, time.Duration, time.Time) []poison.Entry { return nil }

var errAway = errors.New("away")

func (r *registry) Announce(_ context.Context, vm ident.VM, a netip.AddrPort, _ time.Duration) (Lease, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	if r.broken {
		return Lease(r.writes), errAway
	}
	r.names[vm] = a
	return Lease(r.writes), nil
}

func (r *registry) Renew(context.Context, Lease) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost {
		return ErrLapsed
	}
	return nil
}

func (r *registry) Quarantine(_ context.Context, e poison.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.broken {
		return errAway
	}
	r.held = append(r.held, e)
	return nil
}

func (r *registry) Read(_ context.Context, fresh bool) (Records, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return Records{}, errAway
	}
	if fresh {
		r.fresh++
	}
	return Records{VMs: maps.Clone(r.names), Quarantined: slices.Clone(r.held)}, nil
}

// change changes what the store holds.
func (r *registry) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// wrote returns how often names were written.
func (r *registry) wrote() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes
}

func TestNames(t *testing.T) {
	run := func(t *testing.T, r *registry, f func(h *hubs.Hubs)) {
		synctest.Test(t, func(t *testing.T) {
			if r.names == nil {
				r.names = make(map[ident.VM]netip.AddrPort)
			}
			h := hubs.New(candidate(1), nil, time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			var g errgroup.Group
			g.Go(func() error {
				New(candidate(1), time.Now(), h, r, none{}, func() {}, zap.NewNop()).Run(ctx)
				return nil
			})
			f(h)
			cancel()
			assert.NilError(t, g.Wait())
		})
	}
	t.Run("a VM that finds nobody can be found", func(t *testing.T) {
		r := &registry{}
		run(t, r, func(h *hubs.Hubs) {
			time.Sleep(hubs.DiscoveryTimeout)
			assert.Equal(t, r.wrote(), 1)
			assert.Assert(t, h.Asks(time.Now()))
			r.change(func() { r.names, r.lost = make(map[ident.VM]netip.AddrPort), true })
			time.Sleep(staleTime + readEvery + retryName)
			assert.Equal(t, r.wrote(), 2, "a name that the store has lost is written again")
		})
	})
	t.Run("a name that could not be written is written soon", func(t *testing.T) {
		r := &registry{broken: true}
		run(t, r, func(*hubs.Hubs) {
			time.Sleep(hubs.DiscoveryTimeout)
			r.change(func() { r.broken = false })
			time.Sleep(readEvery)
			names, err := r.Read(t.Context(), false)
			assert.NilError(t, err)
			assert.Equal(t, len(names.VMs), 1)
		})
	})
	t.Run("one that finds enough others need not be found", func(t *testing.T) {
		r := &registry{names: make(map[ident.VM]netip.AddrPort)}
		for n := range hubs.Count {
			r.names[candidate(10+n).VM] = candidate(10 + n).Addr
		}
		run(t, r, func(*hubs.Hubs) {
			time.Sleep(hubs.DiscoveryTimeout)
			assert.Equal(t, r.wrote(), 0)
		})
	})
	t.Run("a VM knows whether the store is in reach", func(t *testing.T) {
		r := &registry{}
		run(t, r, func(h *hubs.Hubs) {
			time.Sleep(time.Second)
			for range 20 {
				time.Sleep(time.Second)
				assert.Assert(t, h.Touch(TouchTime, time.Now()))
			}
			r.change(func() { r.away = true })
			time.Sleep(TouchTime + time.Second)
			assert.Assert(t, !h.Touch(TouchTime, time.Now()))
			r.change(func() { r.away = false })
			time.Sleep(readEvery + time.Millisecond)
			assert.Assert(t, h.Touch(TouchTime, time.Now()))
		})
	})
}
