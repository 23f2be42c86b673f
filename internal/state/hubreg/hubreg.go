package hubreg

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
	// leaseTTL is how long a hub's registration outlives the hub. After the loss of all
	// VMs, those that start find each other at the same addresses.
	leaseTTL = 2 * time.Minute
	// renewInterval is how often the lease is renewed. Three renewals may fail before
	// it expires.
	renewInterval = 30 * time.Second
	// readInterval is how often the registrations are read. The response also shows
	// that the store is reachable.
	readInterval = 4 * time.Second
	// isolatedReadInterval is the pause between reads in the first ReachableTime after a VM has
	// started or lost contact with all others. When the hubs and their standbys are lost at once,
	// VMs find each other only by the registrations.
	isolatedReadInterval = 300 * time.Millisecond
	// retryPause is the pause after a first failed call. If the next call fails too, as
	// when the store refuses a VM, the usual pause between reads applies.
	retryPause = 1200 * time.Millisecond
	// ReachableTime is how long after a response the store counts as reachable for a VM.
	// It covers one read and one retry.
	ReachableTime = readInterval + retryPause + 300*time.Millisecond
	// maxStaleness bounds the age of the registrations that a read returns.
	maxStaleness = 8 * time.Second
	// standbyDelay is how long the other hubs wait before they store quarantined requests
	// that the first hub that watches the store should have stored.
	standbyDelay = 10 * time.Second
	// callTimeout bounds the calls to the store of one step.
	callTimeout = time.Second
	// maxJitter bounds the random delay before a VM registers, which spreads VMs that
	// start together. delayPerCapacity is added for each step of capacity below
	// noDelayCapacity. So a few VMs of high capacity register first, and the others
	// find them.
	maxJitter        = 400 * time.Millisecond
	delayPerCapacity = 100 * time.Millisecond
	// noDelayCapacity is the capacity from which only the random delay applies.
	noDelayCapacity hubs.Capacity = 16
)

// ErrLeaseExpired is returned for a lease that has expired.
var ErrLeaseExpired = errors.New("hubreg: lease expired")

// Lease identifies a lease in the store.
type Lease uint64

// Registry stores the registrations of hubs.
type Registry interface {
	// Register writes this VM's name and address under a new lease.
	Register(ctx context.Context, vm ident.VM, addr netip.AddrPort, ttl time.Duration) (Lease, error)
	// Renew renews a lease. It returns ErrLeaseExpired if the lease has expired.
	Renew(ctx context.Context, l Lease) error
	// Read returns what VMs have written. The result may be up to maxStaleness old,
	// unless fresh is set.
	Read(ctx context.Context, fresh bool) (Records, error)
	// Quarantine stores a quarantined request.
	Quarantine(ctx context.Context, e poison.Quarantine) error
}

// Records are what VMs have written to the store.
type Records struct {
	VMs         map[ident.VM]netip.AddrPort // addresses of registered VMs
	Quarantined []poison.Quarantine
}

// Quarantine holds the quarantined requests. They are also written to the store, so that
// they survive the loss of all VMs.
type Quarantine interface {
	// MergeStored records which requests the store holds.
	MergeStored(list []poison.Quarantine, now time.Time)
	// Unstored returns the requests that were quarantined at least age ago and that have
	// not been recorded as stored within the duration unconfirmed.
	Unstored(age, unconfirmed time.Duration, now time.Time) []poison.Quarantine
}

// Registrar reads the registrations in the store, and maintains this VM's while it is a
// hub.
type Registrar struct {
	self         hubs.Candidate
	isolatedAt   time.Time // start, or when contact with all other VMs was lost
	isolated     bool
	hubs         *hubs.Tracker
	registry     Registry
	quarantined  Quarantine
	wake         chan struct{}
	onRead       func()
	log          *zap.Logger
	lease        Lease // zero if there is none
	renewAt      time.Time
	registeredAt time.Time // when the registration was written
	failures     int       // consecutive failed steps
}

// New returns the Registrar of a VM that started at startedAt. It calls onRead after each
// read of the registrations while the VM is isolated.
func New(self hubs.Candidate, startedAt time.Time, tracker *hubs.Tracker, registry Registry, quarantined Quarantine, onRead func(), log *zap.Logger) *Registrar {
	return &Registrar{self: self, isolatedAt: startedAt, isolated: true, hubs: tracker, registry: registry, quarantined: quarantined, wake: make(chan struct{}, 1), onRead: onRead, log: log}
}

// Wake makes a hub perform the next step at once, so that it stores quarantined requests.
func (r *Registrar) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run maintains and reads registrations until ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	earliest := time.Now().Add(startDelay(r.self.Capacity))
	for ctx.Err() == nil {
		err := r.step(ctx, earliest)
		r.failures++
		if err == nil {
			r.failures = 0
		} else {
			r.log.Info("names of VMs not kept or read in the store", zap.Error(err))
		}
		r.wait(ctx, r.pause(err, time.Now()))
	}
}

// wait waits for d. Wake ends the wait early on a hub, unless the last call to the store
// failed. The wait also ends early when contact with all other VMs is lost.
func (r *Registrar) wait(ctx context.Context, d time.Duration) {
	wake := r.wake
	if r.failures > 0 || !r.hubs.IsHub(time.Now()) {
		wake = nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	check := time.NewTicker(isolatedReadInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			return
		case <-t.C:
			return
		case now := <-check.C:
			if wasIsolated := r.isolated; r.checkIsolation(now) && !wasIsolated && r.failures == 0 {
				return
			}
		}
	}
}

// checkIsolation reports whether no other VM is live, and records since when.
func (r *Registrar) checkIsolation(now time.Time) bool {
	isolated := r.hubs.LivePeers(now) == 0
	if isolated && !r.isolated {
		r.isolatedAt = now
	}
	r.isolated = isolated
	return isolated
}

// startDelay returns how long a starting VM waits before it registers.
func startDelay(c hubs.Capacity) time.Duration {
	return time.Duration(noDelayCapacity-min(c, noDelayCapacity))*delayPerCapacity + rand.N(maxJitter)
}

func (r *Registrar) pause(err error, now time.Time) time.Duration {
	switch {
	case err != nil && r.failures == 1:
		return retryPause
	case r.checkIsolation(now) && now.Sub(r.isolatedAt) < ReachableTime:
		return isolatedReadInterval
	default:
		return readInterval
	}
}

// step reads the registrations once, stores quarantined requests, and registers this VM
// or renews its lease if it is a hub. A VM does not register before earliest.
func (r *Registrar) step(ctx context.Context, earliest time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	registered, err := r.read(ctx, false)
	if err != nil {
		return err
	}
	if err := r.storeQuarantined(ctx, time.Now()); err != nil {
		return err
	}
	now := time.Now()
	if _, found := registered[r.self.VM]; !found && now.Sub(r.registeredAt) > maxStaleness {
		r.lease = 0 // the store has lost the registration
	}
	if r.lease != 0 {
		return r.renew(ctx, now)
	}
	if now.Before(earliest) || !r.hubs.IsHub(now) {
		return nil
	}
	if r.hubs.LivePeers(now) == 0 {
		// VMs that started at the same time may have registered meanwhile.
		if registered, err = r.read(ctx, true); err != nil || r.hubs.CountResponding(registered, time.Now()) >= hubs.Count {
			return err
		}
		r.hubs.EndDiscovery(now)
	}
	lease, err := r.registry.Register(ctx, r.self.VM, r.self.Addr, leaseTTL)
	if err != nil {
		return err
	}
	r.lease, r.renewAt, r.registeredAt = lease, now.Add(renewInterval), now
	return nil
}

func (r *Registrar) read(ctx context.Context, fresh bool) (map[ident.VM]netip.AddrPort, error) {
	records, err := r.registry.Read(ctx, fresh)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.hubs.SetRegistered(records.VMs, now)
	r.quarantined.MergeStored(records.Quarantined, now)
	if r.hubs.LivePeers(now) == 0 {
		r.onRead()
	}
	return records.VMs, nil
}

// storeQuarantined writes the quarantined requests that the store does not hold. The first
// hub that watches the store does so at once, other hubs after standbyDelay.
func (r *Registrar) storeQuarantined(ctx context.Context, now time.Time) error {
	if !r.hubs.IsHub(now) {
		return nil
	}
	age := standbyDelay
	if r.hubs.LeadsWatch(now) {
		age = 0
	}
	for _, e := range r.quarantined.Unstored(age, maxStaleness, now) {
		if err := r.registry.Quarantine(ctx, e); err != nil {
			return err
		}
		r.quarantined.MergeStored([]poison.Quarantine{e}, now)
	}
	return nil
}

// renew renews the lease when it is due, or lets it expire if this VM is no longer a hub.
func (r *Registrar) renew(ctx context.Context, now time.Time) error {
	if now.Before(r.renewAt) {
		return nil
	}
	if !r.hubs.IsHub(now) {
		r.lease = 0
		return nil
	}
	err := r.registry.Renew(ctx, r.lease)
	if errors.Is(err, ErrLeaseExpired) {
		r.lease = 0
	}
	if err == nil {
		r.renewAt = now.Add(renewInterval)
	}
	return err
}
