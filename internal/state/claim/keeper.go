package claim

import (
	"context"
	"fmt"
	"maps"
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
)

// Shards is into how many shards the keys fall.
const Shards = 64

const (
	shardPrefix = "/claims/shards/"
	homePrefix  = "claim-shard/"
	keepEvery   = 500 * time.Millisecond
	// takeRetry is the wait after a shard was found held by another.
	takeRetry = 2 * time.Second
	handTime  = 3 * time.Second
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
	retry   map[int]time.Time
	freeing map[int]uint64 // shards given up, with the revision of this VM's name
	doubt   map[int]bool   // shards whose taking was begun and not seen to its end
	leaving bool
}

type holding struct {
	shard    *Shard
	revision uint64 // of the store's value that names this VM
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

// NewKeeper makes a keeper whose leases last ttl.
func NewKeeper(vm ident.VM, ttl time.Duration, s Store, f Fleet, h Hander, log *zap.Logger) *Keeper {
	return &Keeper{
		vm:      vm,
		ttl:     ttl,
		store:   s,
		fleet:   f,
		hand:    h,
		log:     log,
		held:    map[int]*holding{},
		retry:   map[int]time.Time{},
		freeing: map[int]uint64{},
		doubt:   map[int]bool{},
	}
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
			k.pass(ctx, shard, home)
		case !mine && k.doubts(shard):
			k.settle(ctx, shard)
		}
	}
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
	k.until = lapse{at: asked.Add(k.ttl - Margin)}
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
	clear(k.retry)
	clear(k.freeing)
	clear(k.doubt)
}

func (k *Keeper) due(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[shard] == nil && !k.leaving && !time.Now().Before(k.retry[shard])
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

// take writes this VM's name as the shard's holder and starts a term. The
// term's start is read from the store's clock after the write, so it is not
// before the end of any earlier holder's term.
func (k *Keeper) take(ctx context.Context, shard int) {
	k.mu.Lock()
	lease := k.lease
	k.retry[shard] = time.Now().Add(takeRetry)
	k.doubt[shard] = true
	k.mu.Unlock()
	rev, err := k.store.Put(ctx, shardPath(shard), k.mark(lease), 0, lease)
	if store.Is(err, store.Conflict) || store.Is(err, store.Unknown) {
		rev, err = k.mine(ctx, shard, lease)
	}
	if err != nil {
		return
	}
	l, err := k.store.Renew(ctx, lease)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease != lease || k.leaving || k.held[shard] != nil {
		return
	}
	delete(k.doubt, shard)
	k.held[shard] = &holding{shard: NewShard(l.Now), revision: rev}
}

// settle finds out, for a shard whose taking was begun and whose home is
// another VM by now, whether this VM's name was left in the store, and frees
// it.
func (k *Keeper) settle(ctx context.Context, shard int) {
	k.mu.Lock()
	lease := k.lease
	k.mu.Unlock()
	rev, err := k.mine(ctx, shard, lease)
	if err != nil && !trace.IsAlreadyExists(err) && !store.Is(err, store.Missing) {
		return // not known yet
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.doubt, shard)
	if err == nil && k.held[shard] == nil {
		k.freeing[shard] = rev
	}
}

// mark is the value that names this VM and its lease as the holder.
func (k *Keeper) mark(lease uint64) []byte {
	return []byte(fmt.Sprintf("%s/%d", k.vm, lease))
}

// mine reads whether the shard's value is one that this VM wrote under its
// present lease, though the reply was lost.
func (k *Keeper) mine(ctx context.Context, shard int, lease uint64) (uint64, error) {
	it, err := k.store.Get(ctx, shardPath(shard))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if string(it.Value) != string(k.mark(lease)) {
		return 0, trace.AlreadyExists("shard %d is held by %s", shard, it.Value)
	}
	return it.Revision, nil
}

// pass hands a shard to its home. From the moment it is taken off the table,
// this VM lets none of its keys run again in this term.
func (k *Keeper) pass(ctx context.Context, shard int, to member.Member) {
	k.mu.Lock()
	h := k.held[shard]
	delete(k.held, shard)
	k.mu.Unlock()
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handTime)
	defer cancel()
	start, claims := h.shard.Export()
	taken, err := k.hand.Handover(ctx, to, shard, h.revision, start, claims)
	if err == nil && taken {
		return
	}
	k.mu.Lock()
	k.freeing[shard] = h.revision
	k.mu.Unlock()
	k.free(ctx)
}

// free takes this VM's name off shards that it gave up. The next holder may
// have replaced it already, which ends the matter too.
func (k *Keeper) free(ctx context.Context) {
	k.mu.Lock()
	todo := maps.Clone(k.freeing)
	k.mu.Unlock()
	for shard, rev := range todo {
		err := k.store.Delete(ctx, shardPath(shard), rev)
		if err != nil && !store.Is(err, store.Conflict) && !store.Is(err, store.Missing) {
			return
		}
		k.mu.Lock()
		delete(k.freeing, shard)
		k.mu.Unlock()
	}
}

// Accept takes a shard that its holder hands on: the holder's value in the
// store is replaced at the very revision that the holder wrote, so nobody
// held the shard in between.
func (k *Keeper) Accept(ctx context.Context, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error) {
	if shard < 0 || shard >= Shards {
		return false, trace.BadParameter("there is no shard %d", shard)
	}
	k.mu.Lock()
	lease, leaving := k.lease, k.leaving
	k.mu.Unlock()
	if lease == 0 || leaving {
		return false, nil
	}
	rev, err := k.store.Put(ctx, shardPath(shard), k.mark(lease), revision, lease)
	if err != nil {
		return false, trace.Wrap(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease != lease {
		return false, nil
	}
	k.held[shard] = &holding{shard: Import(start, claims), revision: rev}
	return true, nil
}

// Leave hands every shard on and takes no more.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	shards := make([]int, 0, len(k.held))
	for s := range k.held {
		shards = append(shards, s)
	}
	lease := k.lease
	k.mu.Unlock()
	live := k.fleet.View().Live
	for _, s := range shards {
		if home, ok := HomeOf(s, live); ok && home.Name != k.vm {
			k.pass(ctx, s, home)
		}
	}
	if lease != 0 {
		_ = k.store.Revoke(ctx, lease)
	}
}

// Claim decides on a key of a shard this VM holds.
func (k *Keeper) Claim(shard int, key string, minted time.Time, sum [32]byte, r ident.Request) (Verdict, *proto.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	h := k.held[shard]
	if h == nil || !k.until.holds(now) {
		return NotHolder, nil
	}
	return h.shard.Claim(key, minted, sum, r, now)
}

// Finish notes the end of a request whose key this VM holds.
func (k *Keeper) Finish(shard int, key string, r ident.Request, ran bool, answer *proto.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.held[shard]; h != nil {
		h.shard.Finish(key, r, ran, answer)
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
		if h := k.held[s]; h == nil || time.Now().Before(h.shard.start) {
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
