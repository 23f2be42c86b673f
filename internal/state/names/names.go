package names

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
	"umberladder/internal/state/hubs"
)

const (
	// leaseTTL is how long a hub's name outlives it. VMs that start after the loss of
	// all others find them at the same addresses.
	leaseTTL = 2 * time.Minute
	// renewEvery leaves three renewals to fail before the lease ends.
	renewEvery = 30 * time.Second
	// readEvery is how often the names are read: by the answer a VM knows that the
	// store is in reach.
	readEvery = 4 * time.Second
	// firstRead is the pause between readings while nobody is heard.
	firstRead = 300 * time.Millisecond
	// retryName is the pause after a failed call. Where the store turns a VM away, the
	// next ones are as far apart as other readings.
	retryName = 1200 * time.Millisecond
	// TouchTime is how long after an answer a VM counts as reaching the store: a
	// reading and one more try.
	TouchTime = readEvery + retryName + 300*time.Millisecond
	// staleTime is how old the names may be that are read.
	staleTime = 8 * time.Second
	// standbyTime is how long the first hub may take to write what all hubs know.
	standbyTime = 10 * time.Second
	// callTime bounds one call to the store.
	callTime = time.Second
	// firstDelay spreads VMs that start together, and capacityDelay lets those of
	// less capacity begin later: a few that come first write their names, and the
	// others find them.
	firstDelay    = 400 * time.Millisecond
	capacityDelay = 100 * time.Millisecond
	// noDelay is the capacity from which a VM need not wait.
	noDelay hubs.Capacity = 16
)

// ErrLapsed says that a lease has ended.
var ErrLapsed = errors.New("names: the lease has ended")

// Lease identifies a lease in the store.
type Lease uint64

// Registry is where the hubs' names are kept.
type Registry interface {
	// Announce writes this VM's name and address under a new lease.
	Announce(ctx context.Context, vm ident.VM, addr netip.AddrPort, ttl time.Duration) (Lease, error)
	// Renew prolongs a lease; ErrLapsed says that it has ended.
	Renew(ctx context.Context, l Lease) error
	// Read returns what VMs have written. It may be seconds old, unless it has to be
	// fresh.
	Read(ctx context.Context, fresh bool) (Records, error)
	// Quarantine writes that a request is quarantined.
	Quarantine(ctx context.Context, e poison.Entry) error
}

// Records are what VMs have written to the store.
type Records struct {
	VMs         map[ident.VM]netip.AddrPort // addresses of those that have announced themselves
	Quarantined []poison.Entry
}

// Quarantine holds the quarantined requests, which the store keeps for the case that all
// VMs are lost.
type Quarantine interface {
	// Stored takes those that the store holds.
	Stored(list []poison.Entry, now time.Time)
	// Unstored returns those that were quarantined longer than age ago and that the
	// store has not been known to hold for a time.
	Unstored(age, unseen time.Duration, now time.Time) []poison.Entry
}

// Keeper reads the names in the store, and keeps this VM's there while it is a hub.
type Keeper struct {
	own   hubs.Candidate
	start time.Time
	hubs  *hubs.Hubs
	reg   Registry
	held  Quarantine
	wake  chan struct{}
	found func()
	log   *zap.Logger
	lease Lease // zero: there is none
	until time.Time
	wrote time.Time // when the name was written
	fails int       // calls that failed in a row
}

// New makes the keeper of a VM's name, which starts at a moment. It calls found once
// it has read names while no other VM is heard.
func New(own hubs.Candidate, start time.Time, h *hubs.Hubs, reg Registry, held Quarantine, found func(), log *zap.Logger) *Keeper {
	return &Keeper{own: own, start: start, hubs: h, reg: reg, held: held, wake: make(chan struct{}, 1), found: found, log: log}
}

// Wake has a hub write at once what it has to.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run keeps and reads names until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	open := time.Now().Add(delay(k.own.Capacity))
	for ctx.Err() == nil {
		err := k.step(ctx, open)
		k.fails++
		if err == nil {
			k.fails = 0
		} else {
			k.log.Info("names of VMs not kept or read in the store", zap.Error(err))
		}
		k.rest(ctx, k.pause(err, time.Now()))
	}
}

// rest waits until the next step. Hubs alone are woken before it, and not while the
// store fails.
func (k *Keeper) rest(ctx context.Context, d time.Duration) {
	wake := k.wake
	if k.fails > 0 || !k.hubs.Hub(time.Now()) {
		wake = nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// delay returns how long a VM that starts waits before it writes its name.
func delay(c hubs.Capacity) time.Duration {
	return time.Duration(noDelay-min(c, noDelay))*capacityDelay + rand.N(firstDelay)
}

func (k *Keeper) pause(err error, now time.Time) time.Duration {
	switch {
	case err != nil && k.fails == 1:
		return retryName
	case k.hubs.Heard(now) == 0 && now.Sub(k.start) < TouchTime:
		return firstRead
	default:
		return readEvery
	}
}

// step reads the names once, and writes this VM's if it has to be found by others.
func (k *Keeper) step(ctx context.Context, open time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	names, err := k.read(ctx, false)
	if err != nil {
		return err
	}
	if err := k.quarantine(ctx, time.Now()); err != nil {
		return err
	}
	now := time.Now()
	if _, there := names[k.own.VM]; !there && now.Sub(k.wrote) > staleTime {
		k.lease = 0 // the store has lost it
	}
	if k.lease != 0 {
		return k.renew(ctx, now)
	}
	if now.Before(open) || !k.hubs.Hub(now) {
		return nil
	}
	if k.hubs.Heard(now) == 0 {
		// Those that began to look at the same time may have written theirs.
		if names, err = k.read(ctx, true); err != nil || k.hubs.CountResponding(names, time.Now()) >= hubs.Count {
			return err
		}
		k.hubs.EndDiscovery(now)
	}
	lease, err := k.reg.Announce(ctx, k.own.VM, k.own.Addr, leaseTTL)
	if err != nil {
		return err
	}
	k.lease, k.until, k.wrote = lease, now.Add(renewEvery), now
	return nil
}

func (k *Keeper) read(ctx context.Context, fresh bool) (map[ident.VM]netip.AddrPort, error) {
	records, err := k.reg.Read(ctx, fresh)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	k.hubs.SetRegistered(records.VMs, now)
	k.held.Stored(records.Quarantined, now)
	if k.hubs.Heard(now) == 0 {
		k.found()
	}
	return records.VMs, nil
}

// quarantine writes the requests that the store does not hold. The VM that asks the
// store before all others does so at once, other hubs once it has had the time.
func (k *Keeper) quarantine(ctx context.Context, now time.Time) error {
	if !k.hubs.Hub(now) {
		return nil
	}
	age := standbyTime
	if k.hubs.Lead(now) {
		age = 0
	}
	for _, e := range k.held.Unstored(age, staleTime, now) {
		if err := k.reg.Quarantine(ctx, e); err != nil {
			return err
		}
		k.held.Stored([]poison.Entry{e}, now)
	}
	return nil
}

// renew prolongs the lease, or lets it end once others are the hubs.
func (k *Keeper) renew(ctx context.Context, now time.Time) error {
	if now.Before(k.until) {
		return nil
	}
	if !k.hubs.Hub(now) {
		k.lease = 0
		return nil
	}
	err := k.reg.Renew(ctx, k.lease)
	if errors.Is(err, ErrLapsed) {
		k.lease = 0
	}
	if err == nil {
		k.until = now.Add(renewEvery)
	}
	return err
}
