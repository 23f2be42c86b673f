package hubs

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/retry"
)

const (
	// leaseTTL is how long a hub's name outlives it. VMs that start after the loss of
	// all others find them at the same addresses.
	leaseTTL = 2 * time.Minute
	// renewEvery leaves three renewals to fail before the lease ends.
	renewEvery = 30 * time.Second
	// readEvery is how often the names are read: by the answer a VM knows that the
	// store is in reach.
	readEvery = 3 * time.Second
	// firstRead is the pause between readings while nobody is heard.
	firstRead = 300 * time.Millisecond
	// retryName is the pause after a failed call.
	retryName = 1200 * time.Millisecond
	// touchTime is how long after an answer a VM counts as reaching the store: a
	// reading and one more try.
	touchTime = readEvery + retryName + 300*time.Millisecond
	// staleTime is how old the names may be that are read.
	staleTime = 8 * time.Second
	// callTime bounds one call to the store.
	callTime = time.Second
	// firstDelay spreads VMs that start together, and capacityDelay lets those of
	// less capacity begin later: a few that come first write their names, and the
	// others find them.
	firstDelay    = 400 * time.Millisecond
	capacityDelay = 100 * time.Millisecond
	// noDelay is the capacity from which a VM need not wait.
	noDelay Capacity = 16
)

// ErrLapsed says that a lease has ended.
var ErrLapsed = errors.New("hubs: the lease has ended")

// Lease identifies a lease in the store.
type Lease uint64

// Registry is where the hubs' names are kept.
type Registry interface {
	// Announce writes this VM's name and address under a new lease.
	Announce(ctx context.Context, vm ident.VM, addr netip.AddrPort, ttl time.Duration) (Lease, error)
	// Renew prolongs a lease; ErrLapsed says that it has ended.
	Renew(ctx context.Context, l Lease) error
	// VMs returns the addresses of the VMs that have announced themselves. They
	// may be seconds old, unless they have to be fresh.
	VMs(ctx context.Context, fresh bool) (map[ident.VM]netip.AddrPort, error)
}

// Names reads the names in the store, and keeps this VM's there while it is a hub.
type Names struct {
	hubs  *Hubs
	reg   Registry
	found func()
	log   *zap.Logger
	lease Lease // zero: there is none
	until time.Time
	wrote time.Time // when the name was written
}

// NewNames makes the keeper of a VM's name. It calls found once it has read names
// while no other VM is heard.
func NewNames(h *Hubs, reg Registry, found func(), log *zap.Logger) *Names {
	return &Names{hubs: h, reg: reg, found: found, log: log}
}

// Touch reports whether the store itself has answered this VM lately.
func (h *Hubs) Touch(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.store) < touchTime
}

// Run keeps and reads names until ctx ends.
func (n *Names) Run(ctx context.Context) {
	open := time.Now().Add(delay(n.hubs.own.Capacity))
	for ctx.Err() == nil {
		err := n.step(ctx, open)
		if err != nil {
			n.log.Info("names of VMs not kept or read in the store", zap.Error(err))
		}
		retry.Pause(ctx, n.pause(err, time.Now()))
	}
}

// delay returns how long a VM that starts waits before it writes its name.
func delay(c Capacity) time.Duration {
	return time.Duration(noDelay-min(c, noDelay))*capacityDelay + rand.N(firstDelay)
}

func (n *Names) pause(err error, now time.Time) time.Duration {
	switch {
	case err != nil:
		return retryName
	case n.hubs.Heard(now) == 0 && now.Sub(n.hubs.start) < touchTime:
		return firstRead
	default:
		return readEvery
	}
}

// step reads the names once, and writes this VM's if it has to be found by others.
func (n *Names) step(ctx context.Context, open time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	names, err := n.read(ctx, false)
	if err != nil {
		return err
	}
	now := time.Now()
	if _, there := names[n.hubs.own.VM]; !there && now.Sub(n.wrote) > staleTime {
		n.lease = 0 // the store has lost it
	}
	if n.lease != 0 {
		return n.renew(ctx, now)
	}
	if now.Before(open) || !n.hubs.Hub(now) {
		return nil
	}
	if n.hubs.Heard(now) == 0 {
		// Those that began to look at the same time may have written theirs.
		if names, err = n.read(ctx, true); err != nil || n.enough(names, time.Now()) {
			return err
		}
		n.hubs.Alone(now)
	}
	n.lease, err = n.reg.Announce(ctx, n.hubs.own.VM, n.hubs.own.Addr, leaseTTL)
	n.until, n.wrote = now.Add(renewEvery), now
	return err
}

func (n *Names) read(ctx context.Context, fresh bool) (map[ident.VM]netip.AddrPort, error) {
	names, err := n.reg.VMs(ctx, fresh)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n.hubs.Listed(names, now)
	if n.hubs.Heard(now) == 0 {
		n.found()
	}
	return names, nil
}

// enough reports whether as many others as there are hubs can be found.
func (n *Names) enough(names map[ident.VM]netip.AddrPort, now time.Time) bool {
	n.hubs.mu.Lock()
	defer n.hubs.mu.Unlock()
	left := 0
	for name := range names {
		if name != n.hubs.own.VM && !n.hubs.vms[name].silent(now) {
			left++
		}
	}
	return left >= Count
}

// renew prolongs the lease, or lets it end once others are the hubs.
func (n *Names) renew(ctx context.Context, now time.Time) error {
	if now.Before(n.until) {
		return nil
	}
	if !n.hubs.Hub(now) {
		n.lease = 0
		return nil
	}
	err := n.reg.Renew(ctx, n.lease)
	if errors.Is(err, ErrLapsed) {
		n.lease = 0
	}
	if err == nil {
		n.until = now.Add(renewEvery)
	}
	return err
}
