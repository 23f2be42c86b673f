package keeper

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/peer/store"
	"umberladder/internal/state/term"
)

// take writes this VM's name as the shard's holder and starts a term. The
// term's start is read from the store's clock after the write, so it is not
// before the end of any earlier holder's term.
func (k *Keeper) take(ctx context.Context, shard int) {
	if !k.turns[shard].take(ctx) {
		return
	}
	defer k.turns[shard].end()
	if !k.due(shard) {
		return // it was handed to this VM meanwhile
	}
	k.mu.Lock()
	lease := k.lease
	k.retry[shard] = time.Now().Add(takeRetry)
	k.doubt[shard] = true
	k.mu.Unlock()
	rev, err := k.write(ctx, shard, lease, 0)
	if trace.IsAlreadyExists(err) {
		k.clear(shard)
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
	if k.lease != lease || k.leaving {
		return
	}
	delete(k.doubt, shard)
	k.held[shard] = &holding{shard: term.New(l.Now), revision: rev}
}

// settle finds out, for a shard whose taking was begun and whose home is
// another VM by now, whether this VM's name was left in the store, and frees
// it.
func (k *Keeper) settle(ctx context.Context, shard int) {
	if !k.turns[shard].take(ctx) {
		return
	}
	defer k.turns[shard].end()
	if k.holds(shard) || !k.doubts(shard) {
		return // it was handed to this VM meanwhile
	}
	k.mu.Lock()
	lease := k.lease
	k.mu.Unlock()
	rev, err := k.mine(ctx, shard, k.mark(lease))
	if err != nil && !trace.IsAlreadyExists(err) && !store.Is(err, store.Missing) {
		return // not known yet
	}
	k.clear(shard)
	if err == nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.freeing[shard] = rev
	}
}

// clear notes that it is known whether the store names this VM as the shard's
// holder.
func (k *Keeper) clear(shard int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.doubt, shard)
}

// mark begins every value that names this VM, under its lease, as a holder.
func (k *Keeper) mark(lease uint64) string {
	return fmt.Sprintf("%s/%d/", k.vm, lease)
}

// write names this VM as the holder in place of the value of revision from, 0
// for none, and returns the new revision. It finds out whether a write took
// effect whose reply was lost. A free shard may bear any value of this VM's,
// which can only be left from such a write; one that is handed on must bear
// the value that replaced the revision handed.
func (k *Keeper) write(ctx context.Context, shard int, lease, from uint64) (uint64, error) {
	value := k.mark(lease)
	if from != 0 {
		value += strconv.FormatUint(from, 10) + "/"
	}
	rev, err := k.store.Put(ctx, shardPath(shard), []byte(value), from, lease)
	if store.Is(err, store.Conflict) || store.Is(err, store.Unknown) {
		return k.mine(ctx, shard, value)
	}
	return rev, trace.Wrap(err)
}

// mine reads whether the shard's value begins as given, and its revision.
func (k *Keeper) mine(ctx context.Context, shard int, value string) (uint64, error) {
	it, err := k.store.Get(ctx, shardPath(shard))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if !strings.HasPrefix(string(it.Value), value) {
		return 0, trace.AlreadyExists("shard %d is held by %s", shard, it.Value)
	}
	return it.Revision, nil
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
