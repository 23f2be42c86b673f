package keeper

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
	"umberladder/internal/policy/retry"
	"umberladder/internal/state/member"
	"umberladder/internal/state/term"
)

const (
	// handTime is how long a VM tries to hand a shard on before it frees it.
	// The next holder may have to wait for its budget of store calls.
	handTime = 3 * time.Second
	// handTry bounds one attempt.
	handTry = time.Second
	// handPause is the wait before a VM that leaves tries again.
	handPause = 100 * time.Millisecond
)

// pass takes a shard off the table, to be handed on until the given time. From
// this moment this VM lets none of its keys run again in this term.
func (k *Keeper) pass(shard int, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.held[shard]
	if h == nil {
		return
	}
	delete(k.held, shard)
	h.until = until
	k.handing[shard] = h
}

// handOn tries once to hand on each shard that is off the table, and frees
// those whose time is over. A VM that does not take one is not asked to take
// more in this round.
func (k *Keeper) handOn(ctx context.Context) {
	k.mu.Lock()
	todo := maps.Clone(k.handing)
	k.mu.Unlock()
	if len(todo) == 0 {
		return
	}
	others := k.others()
	refused := map[ident.VM]bool{}
	for shard, h := range todo {
		to, ok := HomeOf(shard, others)
		taken := ok && !refused[to.Name] && k.offer(ctx, to, shard, h)
		refused[to.Name] = !taken
		k.end(shard, h, taken)
	}
}

// offer tries to hand a shard to a VM. An attempt whose reply was lost is made
// again: the next holder knows the revision at which it took the shard.
func (k *Keeper) offer(ctx context.Context, to member.Member, shard int, h *holding) bool {
	k.mu.Lock()
	start, claims := h.shard.Export()
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handTry)
	defer cancel()
	taken, err := k.hand.Handover(ctx, to, shard, h.revision, start, claims)
	return err == nil && taken
}

func (k *Keeper) end(shard int, h *holding, taken bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	late := !time.Now().Before(h.until)
	if k.handing[shard] != h || !taken && !late {
		return
	}
	delete(k.handing, shard)
	if !taken {
		k.freeing[shard] = h.revision
	}
}

// Accept takes a shard that its holder hands on: the holder's value in the
// store is replaced at the very revision that the holder wrote, so nobody
// held the shard in between. It is true too for a shard that was taken at that
// revision before.
func (k *Keeper) Accept(ctx context.Context, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error) {
	if shard < 0 || shard >= Shards {
		return false, trace.BadParameter("there is no shard %d", shard)
	}
	if !k.turns[shard].take(ctx) {
		return false, trace.Wrap(ctx.Err())
	}
	defer k.turns[shard].end()
	k.mu.Lock()
	lease, leaving, h := k.lease, k.leaving, k.held[shard]
	if lease == 0 || leaving || h != nil || k.givesUp(shard) {
		k.mu.Unlock()
		return h != nil && h.handed == revision, nil
	}
	k.doubt[shard] = true
	k.mu.Unlock()
	rev, err := k.write(ctx, shard, lease, revision)
	if err != nil {
		return false, trace.Wrap(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease != lease {
		return false, nil
	}
	delete(k.doubt, shard)
	k.held[shard] = &holding{shard: term.Import(start, claims), revision: rev, handed: revision}
	return true, nil
}

// Leave hands every shard on and takes no more.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	shards := slices.Sorted(maps.Keys(k.held))
	lease := k.lease
	k.mu.Unlock()
	until := time.Now().Add(handTime)
	for _, s := range shards {
		k.pass(s, until)
	}
	for k.handOn(ctx); k.hands() && ctx.Err() == nil; k.handOn(ctx) {
		retry.Pause(ctx, handPause)
	}
	if lease != 0 {
		_ = k.store.Revoke(ctx, lease)
	}
}

// hands reports whether a shard is being handed on.
func (k *Keeper) hands() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.handing) > 0 && len(k.others()) > 0
}

// others returns the live VMs but this one.
func (k *Keeper) others() []member.Member {
	return slices.DeleteFunc(slices.Clone(k.fleet.View().Live), func(m member.Member) bool {
		return m.Name == k.vm
	})
}
