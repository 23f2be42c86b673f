package hubreg

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
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

// fakeRegistry is a Registry in memory that can be unreachable or have expired leases.
type fakeRegistry struct {
	mu          sync.Mutex
	unreachable bool
	expired     bool
	writesFail  bool // registrations can't be written, though leases are granted
	registered  map[ident.VM]netip.AddrPort
	quarantined []poison.Quarantine
	writes      int
	freshReads  int
}

// noQuarantine is a Quarantine without any quarantined requests.
type noQuarantine struct{}

func (noQuarantine) MergeStored([]poison.Quarantine, time.Time)                           {}
func (noQuarantine) Unstored(time.Duration, time.Duration, time.Time) []poison.Quarantine { return nil }

var errUnreachable = errors.New("unreachable")

func (r *fakeRegistry) Register(_ context.Context, vm ident.VM, a netip.AddrPort, _ time.Duration) (Lease, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	if r.writesFail {
		return Lease(r.writes), errUnreachable
	}
	r.registered[vm] = a
	return Lease(r.writes), nil
}

func (r *fakeRegistry) Renew(context.Context, Lease) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expired {
		return ErrLeaseExpired
	}
	return nil
}

func (r *fakeRegistry) Quarantine(_ context.Context, e poison.Quarantine) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writesFail {
		return errUnreachable
	}
	r.quarantined = append(r.quarantined, e)
	return nil
}

func (r *fakeRegistry) Read(_ context.Context, fresh bool) (Records, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		return Records{}, errUnreachable
	}
	if fresh {
		r.freshReads++
	}
	return Records{VMs: maps.Clone(r.registered), Quarantined: slices.Clone(r.quarantined)}, nil
}

// change calls f, which changes the registry, with its lock held.
func (r *fakeRegistry) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// writeCount returns how often registrations were written.
func (r *fakeRegistry) writeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes
}

func TestRegistrar(t *testing.T) {
	run := func(t *testing.T, r *fakeRegistry, f func(tracker *hubs.Tracker)) {
		synctest.Test(t, func(t *testing.T) {
			if r.registered == nil {
				r.registered = make(map[ident.VM]netip.AddrPort)
			}
			tracker := hubs.New(candidate(1), nil, time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			var g errgroup.Group
			g.Go(func() error {
				New(candidate(1), time.Now(), tracker, r, noQuarantine{}, func() {}, zap.NewNop()).Run(ctx)
				return nil
			})
			f(tracker)
			cancel()
			assert.NilError(t, g.Wait())
		})
	}
	t.Run("a VM that finds no others registers", func(t *testing.T) {
		r := &fakeRegistry{}
		run(t, r, func(tracker *hubs.Tracker) {
			time.Sleep(hubs.DiscoveryTimeout)
			assert.Equal(t, r.writeCount(), 1)
			assert.Assert(t, tracker.ShouldWatch(time.Now()))
			r.change(func() { r.registered, r.expired = make(map[ident.VM]netip.AddrPort), true })
			time.Sleep(maxStaleness + readInterval + retryPause)
			assert.Equal(t, r.writeCount(), 2, "a registration that the store has lost is written again")
		})
	})
	t.Run("a registration that failed is retried soon", func(t *testing.T) {
		r := &fakeRegistry{writesFail: true}
		run(t, r, func(*hubs.Tracker) {
			time.Sleep(hubs.DiscoveryTimeout)
			r.change(func() { r.writesFail = false })
			time.Sleep(readInterval)
			records, err := r.Read(t.Context(), false)
			assert.NilError(t, err)
			assert.Equal(t, len(records.VMs), 1)
		})
	})
	t.Run("a VM that finds enough others does not register", func(t *testing.T) {
		r := &fakeRegistry{registered: make(map[ident.VM]netip.AddrPort)}
		for n := range hubs.Count {
			r.registered[candidate(10+n).VM] = candidate(10 + n).Addr
		}
		run(t, r, func(*hubs.Tracker) {
			time.Sleep(hubs.DiscoveryTimeout)
			assert.Equal(t, r.writeCount(), 0)
		})
	})
	t.Run("a VM knows whether the store is reachable", func(t *testing.T) {
		r := &fakeRegistry{}
		run(t, r, func(tracker *hubs.Tracker) {
			time.Sleep(time.Second)
			for range 20 {
				time.Sleep(time.Second)
				assert.Assert(t, tracker.StoreRespondedWithin(ReachableTime, time.Now()))
			}
			r.change(func() { r.unreachable = true })
			time.Sleep(ReachableTime + time.Second)
			assert.Assert(t, !tracker.StoreRespondedWithin(ReachableTime, time.Now()))
			r.change(func() { r.unreachable = false })
			time.Sleep(readInterval + time.Millisecond)
			assert.Assert(t, tracker.StoreRespondedWithin(ReachableTime, time.Now()))
		})
	})
}

// TestContactLost guards against VMs that find each other only seconds after the hubs and their
// standbys were lost at once. A VM that loses contact with all others reads the registrations
// often, but not for long.
func TestContactLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegistry{registered: make(map[ident.VM]netip.AddrPort)}
		tracker := hubs.New(candidate(1), nil, time.Now())
		ctx, cancel := context.WithCancel(t.Context())
		var g errgroup.Group
		var reads atomic.Int64
		g.Go(func() error {
			New(candidate(1), time.Now(), tracker, r, noQuarantine{}, func() { reads.Add(1) }, zap.NewNop()).Run(ctx)
			return nil
		})
		for range 100 { // 20 s in contact
			tracker.HandleReport(hubs.Report{Candidate: candidate(2)}, time.Now())
			time.Sleep(200 * time.Millisecond)
		}
		reads.Store(0)
		time.Sleep(hubs.PeerTimeout + 3*isolatedReadInterval)
		assert.Assert(t, reads.Load() >= 2, "%d reads", reads.Load())
		time.Sleep(ReachableTime)
		reads.Store(0)
		time.Sleep(10 * readInterval)
		assert.Assert(t, reads.Load() <= 11, "%d reads", reads.Load())
		cancel()
		assert.NilError(t, g.Wait())
	})
}
