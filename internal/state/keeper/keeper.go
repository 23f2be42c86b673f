// Package keeper holds this VM's shards of idempotency keys: it takes them
// under a lease of the platform's key-value service, renews it, hands shards on
// to the VMs that become their homes, and decides on the keys of those it
// holds.
//
// Of one shard, the store's value names at most one holder at a time. A shard
// that is being handed on is off the table: this VM decides on none of its keys
// any more, whatever becomes of the handover.
package keeper

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

// Shards is into how many shards the keys fall.
const Shards = 64

const (
	shardPrefix = "/claims/shards/"
	homePrefix  = "claim-shard/"
	keepEvery   = 500 * time.Millisecond
	// takeRetry is the wait after a shard was found held by another.
	takeRetry = 2 * time.Second
	// aloneAfter is when a VM that knows no other takes itself to be alone.
	aloneAfter = time.Second
)

// Store is what the keeper needs of the platform's key-value service.
type Store interface {
	Get(ctx context.Context, path string) (store.Item, error)
	Put(ctx context.Context, path string, value []byte, want, lease uint64) (uint64, error)
	Delete(ctx context.Context, path string, want uint64) error
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
	Renew(ctx context.Context, id uint64) (store.Lease, error)
	Revoke(ctx context.Context, id uint64) error
}

// Fleet tells the membership.
type Fleet interface {
	View() *fleet.View
}

// Hander hands a shard's term to its next holder, and reports whether that
// took it.
type Hander interface {
	Handover(ctx context.Context, to member.Member, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error)
}

// Keeper holds this VM's shards. It is safe for use by several goroutines.
type Keeper struct {
	vm    ident.VM
	ttl   time.Duration
	store Store
	fleet Fleet
	hand  Hander
	log   *zap.Logger

	mu      sync.Mutex
	lease   uint64
	until   lapse
	held    map[int]*holding
	handing map[int]*holding // shards off the table, until their next holder has them
	retry   map[int]time.Time
	freeing map[int]uint64 // shards given up, with the revision of this VM's name
	doubt   map[int]bool   // shards whose taking was begun and not seen to its end
	leaving bool

	// turns let the taking, the accepting and the settling of one shard follow
	// one another. A turn is taken before mu.
	turns [Shards]turn
}

// turn is a lock whose wait can be given up.
type turn chan struct{}

func (t turn) take(ctx context.Context) bool {
	select {
	case t <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t turn) end() { <-t }

type holding struct {
	shard    *term.Shard
	revision uint64    // of the store's value that names this VM
	handed   uint64    // the revision that the holder before gave with the shard, or 0
	until    time.Time // if it is being handed on, when this VM gives that up
}

// lapse is when a lease may have ended, by the monotonic and by the wall
// clock. The first stands still while a VM is suspended, the second does not;
// the lease holds only by both.
type lapse struct {
	at time.Time
}

func (l lapse) holds(now time.Time) bool {
	return now.Before(l.at) && now.Round(0).Before(l.at.Round(0))
}

// New makes a keeper whose leases last ttl.
func New(vm ident.VM, ttl time.Duration, s Store, f Fleet, h Hander, log *zap.Logger) *Keeper {
	k := &Keeper{
		vm:      vm,
		ttl:     ttl,
		store:   s,
		fleet:   f,
		hand:    h,
		log:     log,
		held:    map[int]*holding{},
		handing: map[int]*holding{},
		retry:   map[int]time.Time{},
		freeing: map[int]uint64{},
		doubt:   map[int]bool{},
	}
	for i := range k.turns {
		k.turns[i] = make(turn, 1)
	}
	return k
}

// HomeOf returns the VM that should hold a shard.
func HomeOf(shard int, live []member.Member) (member.Member, bool) {
	return member.Home(homePrefix+strconv.Itoa(shard), live)
}

// Run takes, renews and hands on shards until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	start := time.Now()
	t := time.NewTicker(keepEvery)
	defer t.Stop()
	for {
		// Until it knows others, a VM would take every shard for its own.
		if len(k.fleet.View().Live) > 1 || time.Since(start) > aloneAfter {
			k.round(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (k *Keeper) round(ctx context.Context) {
	if err := k.renew(ctx); err != nil {
		k.log.Debug("the claim lease is not renewed", zap.Error(err))
		return
	}
	k.free(ctx)
	live := k.fleet.View().Live
	for shard := range Shards {
		home, ok := HomeOf(shard, live)
		if !ok {
			return
		}
		switch mine := home.Name == k.vm; {
		case mine && k.due(shard):
			k.take(ctx, shard)
		case !mine && k.holds(shard):
			k.pass(shard, time.Now().Add(handTime))
		case !mine && k.doubts(shard):
			k.settle(ctx, shard)
		}
	}
	k.handOn(ctx)
}

// renew keeps the lease once a third of it has passed. A lease that lapsed
// takes every shard with it.
func (k *Keeper) renew(ctx context.Context) error {
	k.mu.Lock()
	lease, until := k.lease, k.until
	k.mu.Unlock()
	asked := time.Now()
	if lease != 0 && until.holds(asked.Add(k.ttl*2/3)) {
		return nil
	}
	if lease != 0 {
		_, err := k.store.Renew(ctx, lease)
		if err == nil {
			k.setLease(lease, asked)
			return nil
		}
		if !store.Is(err, store.Missing) {
			k.dropLapsed(asked)
			return trace.Wrap(err)
		}
		k.drop()
	}
	l, err := k.store.Grant(ctx, k.ttl)
	if err != nil {
		return trace.Wrap(err)
	}
	k.setLease(l.ID, asked)
	return nil
}

// setLease notes a lease as good from the time it was asked for, which is
// before the store granted it.
func (k *Keeper) setLease(id uint64, asked time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = id
	k.until = lapse{at: asked.Add(k.ttl - term.Margin)}
}

func (k *Keeper) dropLapsed(now time.Time) {
	k.mu.Lock()
	lapsed := !k.until.holds(now)
	k.mu.Unlock()
	if lapsed {
		k.drop()
	}
}

func (k *Keeper) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = 0
	clear(k.held)
	clear(k.handing)
	clear(k.retry)
	clear(k.freeing)
	clear(k.doubt)
}

func (k *Keeper) due(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[shard] == nil && !k.givesUp(shard) && !k.leaving && !time.Now().Before(k.retry[shard])
}

// givesUp reports whether the store may still name this VM for a shard whose term
// it has ended. The caller holds mu.
func (k *Keeper) givesUp(shard int) bool {
	_, freeing := k.freeing[shard]
	return freeing || k.handing[shard] != nil
}

func (k *Keeper) holds(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[shard] != nil
}

func (k *Keeper) doubts(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doubt[shard]
}

func shardPath(shard int) string { return fmt.Sprintf("%s%02d", shardPrefix, shard) }

// Claim decides on a key of a shard this VM holds.
func (k *Keeper) Claim(shard int, key string, minted time.Time, sum [32]byte, r ident.Request) (term.Verdict, *proto.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	h := k.held[shard]
	if h == nil || !k.until.holds(now) {
		return term.NotHolder, nil
	}
	return h.shard.Claim(key, minted, sum, r, now)
}

// Finish notes the end of a request whose key this VM holds.
func (k *Keeper) Finish(shard int, key string, r ident.Request, ran bool, answer *proto.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range []*holding{k.held[shard], k.handing[shard]} {
		if h != nil {
			h.shard.Finish(key, r, ran, answer)
		}
	}
}

// Settled reports whether every shard whose home this VM is has started its
// term here, so that a key minted now is not turned away.
func (k *Keeper) Settled() bool {
	live := k.fleet.View().Live
	k.mu.Lock()
	defer k.mu.Unlock()
	for s := range Shards {
		home, ok := HomeOf(s, live)
		if !ok || home.Name != k.vm {
			continue
		}
		if h := k.held[s]; h == nil || !h.shard.Begun(time.Now()) {
			return false
		}
	}
	return true
}

// Held returns how many shards this VM holds, and the claims in them.
func (k *Keeper) Held() (shards, claims int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.held {
		claims += h.shard.Len()
	}
	return len(k.held), claims
}
