package shards

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

// acquire writes this VM's name as the shard's holder and starts a term. The
// term's start is read from the store's clock after the write, so it is not
// before the end of any earlier holder's term.
func (m *Manager) acquire(ctx context.Context, shard int) {
	if !m.locks[shard].lock(ctx) {
		return
	}
	defer m.locks[shard].unlock()
	if !m.shouldAcquire(shard) {
		return // the shard was handed over to this VM in the meantime
	}
	m.mu.Lock()
	lease := m.lease
	m.retryAt[shard] = time.Now().Add(acquireRetry)
	m.uncertain[shard] = true
	m.mu.Unlock()
	rev, err := m.writeHolder(ctx, shard, lease, 0)
	if trace.IsAlreadyExists(err) {
		m.clearUncertain(shard)
	}
	if err != nil {
		return
	}
	l, err := m.store.Renew(ctx, lease)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease || m.draining {
		return
	}
	delete(m.uncertain, shard)
	m.held[shard] = &holding{shard: term.New(l.StoreTime), revision: rev}
}

// resolve handles a shard with an unfinished acquisition whose assigned owner is now
// another VM. It reads whether the store names this VM as the holder, and if so, schedules
// the release of the shard.
func (m *Manager) resolve(ctx context.Context, shard int) {
	if !m.locks[shard].lock(ctx) {
		return
	}
	defer m.locks[shard].unlock()
	if m.isHeld(shard) || !m.isUncertain(shard) {
		return // the shard was handed over to this VM in the meantime
	}
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	rev, err := m.ownRevision(ctx, shard, m.valuePrefix(lease))
	if err != nil && !trace.IsAlreadyExists(err) && !store.Is(err, store.NotFound) {
		return // the outcome is still unknown
	}
	m.clearUncertain(shard)
	if err == nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.releasing[shard] = rev
	}
}

// clearUncertain records that it is known whether the store names this VM as the
// shard's holder.
func (m *Manager) clearUncertain(shard int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.uncertain, shard)
}

// valuePrefix returns the prefix of every stored value that names this VM as a holder
// under the given lease.
func (m *Manager) valuePrefix(lease uint64) string {
	return fmt.Sprintf("%s/%d/", m.vm, lease)
}

// writeHolder replaces the stored value of revision from (0: no value) by one that names
// this VM as the holder, and returns the new revision. If the reply to the write is
// lost or the write conflicts, it reads whether the write took effect. With from 0 any value
// of this VM counts, since only such a write can have left it. In a handover only the value
// that replaced revision from counts.
func (m *Manager) writeHolder(ctx context.Context, shard int, lease, from uint64) (uint64, error) {
	value := m.valuePrefix(lease)
	if from != 0 {
		value += strconv.FormatUint(from, 10) + "/"
	}
	rev, err := m.store.Put(ctx, shardPath(shard), []byte(value), from, lease)
	if store.Is(err, store.Conflict) || store.Is(err, store.OutcomeUnknown) {
		return m.ownRevision(ctx, shard, value)
	}
	return rev, trace.Wrap(err)
}

// ownRevision returns the revision of the shard's stored value if the value has the given
// prefix, and an error otherwise.
func (m *Manager) ownRevision(ctx context.Context, shard int, prefix string) (uint64, error) {
	it, err := m.store.Get(ctx, shardPath(shard))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if !strings.HasPrefix(string(it.Value), prefix) {
		return 0, trace.AlreadyExists("shard %d is held by %s", shard, it.Value)
	}
	return it.Revision, nil
}

// releaseAll deletes the stored values of the shards that this VM releases. A value that
// another holder has replaced already needs no deletion.
func (m *Manager) releaseAll(ctx context.Context) {
	m.mu.Lock()
	pending := maps.Clone(m.releasing)
	m.mu.Unlock()
	for shard, rev := range pending {
		err := m.store.Delete(ctx, shardPath(shard), rev)
		if err != nil && !store.Is(err, store.Conflict) && !store.Is(err, store.NotFound) {
			return
		}
		m.mu.Lock()
		delete(m.releasing, shard)
		m.mu.Unlock()
	}
}
