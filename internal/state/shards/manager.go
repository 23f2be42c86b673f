// Package shards manages the shards of idempotency keys that this VM holds. It
// acquires them under a lease of the platform's key-value service, renews the
// lease, hands shards over to the VMs that become their assigned owners, and
// decides claims on the keys of the shards that it holds.
//
// The store names at most one holder of a shard at a time. Once the handover of
// a shard starts, this VM decides no more claims on its keys, even if the
// handover fails.
package shards

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
	"umberladder/internal/peer/store"
	"umberladder/internal/state/fleet"
	"umberladder/internal/state/member"
	"umberladder/internal/state/term"
)

// Count is the number of shards that the keys are divided into.
const Count = 64

const (
	shardPrefix   = "/claims/shards/"
	ownerPrefix   = "claim-shard/"
	roundInterval = 500 * time.Millisecond
	// acquireRetry is the delay between attempts to acquire a shard, which another VM
	// may hold.
	acquireRetry = 2 * time.Second
	// discoveryTimeout is how long a VM waits to discover other VMs before it acquires
	// shards on its own.
	discoveryTimeout = time.Second
)

// Store is the part of the platform's key-value service that a Manager uses.
type Store interface {
	Get(ctx context.Context, path string) (store.Item, error)
	Put(ctx context.Context, path string, value []byte, want, lease uint64) (uint64, error)
	Delete(ctx context.Context, path string, want uint64) error
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	Renew(ctx context.Context, id uint64) (store.Lease, error)
	Revoke(ctx context.Context, id uint64) error
}

// Fleet provides the membership.
type Fleet interface {
	View() *fleet.View
}

// HandoverClient hands a shard's term over to its next holder, and reports whether
// that VM accepted it.
type HandoverClient interface {
	Handover(ctx context.Context, to member.Member, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error)
}

// Manager manages the shards that this VM holds. It is safe for concurrent use.
type Manager struct {
	vm     ident.VM
	ttl    time.Duration
	store  Store
	fleet  Fleet
	client HandoverClient
	log    *zap.Logger

	mu          sync.Mutex
	lease       uint64
	leaseEnd    expiry
	held        map[int]*holding
	handingOver map[int]*holding // shards whose term has ended here, until the next holder accepts them
	retryAt     map[int]time.Time
	releasing   map[int]uint64 // shards to release, with the revision of the value that names this VM
	uncertain   map[int]bool   // shards with an acquisition of unknown outcome
	draining    bool

	// locks serialise acquire, Accept and resolve for each shard. They are locked
	// before mu.
	locks [Count]ctxLock
}

// ctxLock is a mutex whose lock method can be cancelled by a context.
type ctxLock chan struct{}

func (l ctxLock) lock(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l ctxLock) unlock() { <-l }

// holding is the state of a shard that this VM holds or is handing over.
type holding struct {
	shard        *term.Shard
	revision     uint64    // of the stored value that names this VM
	fromRevision uint64    // revision of the previous holder's value if the shard was handed over, or 0
	deadline     time.Time // when a pending handover is abandoned
}

// expiry is the earliest time at which a lease may have expired, by the monotonic and
// by the wall clock. The monotonic clock stops while a VM is suspended and the wall
// clock does not; the lease is valid only if it is valid by both.
type expiry struct {
	at time.Time
}

func (e expiry) valid(now time.Time) bool {
	return now.Before(e.at) && now.Round(0).Before(e.at.Round(0))
}

// New returns a Manager whose leases last ttl.
func New(vm ident.VM, ttl time.Duration, s Store, f Fleet, c HandoverClient, log *zap.Logger) *Manager {
	m := &Manager{
		vm:          vm,
		ttl:         ttl,
		store:       s,
		fleet:       f,
		client:      c,
		log:         log,
		held:        map[int]*holding{},
		handingOver: map[int]*holding{},
		retryAt:     map[int]time.Time{},
		releasing:   map[int]uint64{},
		uncertain:   map[int]bool{},
	}
	for i := range m.locks {
		m.locks[i] = make(ctxLock, 1)
	}
	return m
}

// AssignedOwner returns the VM that should hold a shard, by rendezvous hashing.
func AssignedOwner(shard int, live []member.Member) (member.Member, bool) {
	return member.Owner(ownerPrefix+strconv.Itoa(shard), live)
}

// Run acquires shards, renews the lease and hands shards over until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	start := time.Now()
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		// Before it has discovered other VMs, a VM would acquire every shard.
		if len(m.fleet.View().Live) > 1 || time.Since(start) > discoveryTimeout {
			m.round(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (m *Manager) round(ctx context.Context) {
	if err := m.renew(ctx); err != nil {
		m.log.Debug("failed to renew claim lease", zap.Error(err))
		return
	}
	m.releaseAll(ctx)
	live := m.fleet.View().Live
	for shard := range Count {
		owner, ok := AssignedOwner(shard, live)
		if !ok {
			return
		}
		switch assigned := owner.Name == m.vm; {
		case assigned && m.shouldAcquire(shard):
			m.acquire(ctx, shard)
		case !assigned && m.isHeld(shard):
			m.startHandover(shard, time.Now().Add(handoverTimeout))
		case !assigned && m.isUncertain(shard):
			m.resolve(ctx, shard)
		}
	}
	m.handOverPending(ctx)
}

// renew renews the lease once a third of its duration has passed. If the lease has
// expired, this VM drops all shards.
func (m *Manager) renew(ctx context.Context) error {
	m.mu.Lock()
	lease, leaseEnd := m.lease, m.leaseEnd
	m.mu.Unlock()
	requested := time.Now()
	if lease != 0 && leaseEnd.valid(requested.Add(m.ttl*2/3)) {
		return nil
	}
	if lease != 0 {
		_, err := m.store.Renew(ctx, lease)
		if err == nil {
			m.setLease(lease, requested)
			return nil
		}
		if !store.Is(err, store.NotFound) {
			m.dropExpired(requested)
			return trace.Wrap(err)
		}
		m.dropAll()
	}
	l, err := m.store.Grant(ctx, m.ttl)
	if err != nil {
		return trace.Wrap(err)
	}
	m.setLease(l.ID, requested)
	return nil
}

// setLease records a lease. Its duration is counted from the time of the request, which
// is before the store granted it.
func (m *Manager) setLease(id uint64, requested time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = id
	m.leaseEnd = expiry{at: requested.Add(m.ttl - term.MaxClockSkew)}
}

func (m *Manager) dropExpired(now time.Time) {
	m.mu.Lock()
	expired := !m.leaseEnd.valid(now)
	m.mu.Unlock()
	if expired {
		m.dropAll()
	}
}

func (m *Manager) dropAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = 0
	clear(m.held)
	clear(m.handingOver)
	clear(m.retryAt)
	clear(m.releasing)
	clear(m.uncertain)
}

func (m *Manager) shouldAcquire(shard int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[shard] == nil && !m.isReleasing(shard) && !m.draining && !time.Now().Before(m.retryAt[shard])
}

// isReleasing reports whether the store may still name this VM as the holder of a shard
// on which it has ended its term. The caller must hold mu.
func (m *Manager) isReleasing(shard int) bool {
	_, ok := m.releasing[shard]
	return ok || m.handingOver[shard] != nil
}

func (m *Manager) isHeld(shard int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[shard] != nil
}

func (m *Manager) isUncertain(shard int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.uncertain[shard]
}

func shardPath(shard int) string { return fmt.Sprintf("%s%02d", shardPrefix, shard) }

// Claim decides whether a request may run for a key of a shard that this VM holds.
func (m *Manager) Claim(shard int, key string, created time.Time, fingerprint [32]byte, r ident.Request) (term.Decision, *proto.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	h := m.held[shard]
	if h == nil || !m.leaseEnd.valid(now) {
		return term.NotHolder, nil
	}
	return h.shard.Claim(key, created, fingerprint, r, now)
}

// Finish records the end of a request whose key is in a shard that this VM holds or
// is handing over.
func (m *Manager) Finish(shard int, key string, r ident.Request, ran bool, response *proto.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range []*holding{m.held[shard], m.handingOver[shard]} {
		if h != nil {
			h.shard.Finish(key, r, ran, response)
		}
	}
}

// Ready reports whether this VM's term has begun on every shard assigned to it, so that
// it does not refuse a key created now.
func (m *Manager) Ready() bool {
	live := m.fleet.View().Live
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range Count {
		owner, ok := AssignedOwner(s, live)
		if !ok || owner.Name != m.vm {
			continue
		}
		if h := m.held[s]; h == nil || !h.shard.Started(time.Now()) {
			return false
		}
	}
	return true
}

// Held returns the number of shards that this VM holds and the number of claims in them.
func (m *Manager) Held() (shards, claims int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.held {
		claims += h.shard.Len()
	}
	return len(m.held), claims
}
