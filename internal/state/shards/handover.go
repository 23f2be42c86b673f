package shards

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
	// handoverTimeout is how long a VM tries to hand over a shard before it releases
	// the shard. The next holder may have to wait for its budget of store calls.
	handoverTimeout = 3 * time.Second
	// handoverAttemptTimeout bounds one attempt.
	handoverAttemptTimeout = time.Second
	// handoverRetryDelay is the delay between attempts of a VM that is shutting down.
	handoverRetryDelay = 100 * time.Millisecond
)

// startHandover ends this VM's term on a shard and schedules its handover, which is
// abandoned at the given time. From now on this VM accepts no claims on the shard's keys
// in this term.
func (m *Manager) startHandover(shard int, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.held[shard]
	if h == nil {
		return
	}
	delete(m.held, shard)
	h.deadline = until
	m.handingOver[shard] = h
}

// handOverPending tries once to hand over each shard in handingOver, and releases
// those whose deadline has passed. A VM that does not accept a shard is offered no
// more shards in this round.
func (m *Manager) handOverPending(ctx context.Context) {
	m.mu.Lock()
	pending := maps.Clone(m.handingOver)
	m.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	others := m.others()
	refused := map[ident.VM]bool{}
	for shard, h := range pending {
		to, ok := AssignedOwner(shard, others)
		accepted := ok && !refused[to.Name] && m.offer(ctx, to, shard, h)
		refused[to.Name] = !accepted
		m.finishHandover(shard, h, accepted)
	}
}

// offer tries to hand over a shard to a VM. An attempt whose reply was lost can be
// retried, because the next holder records the revision at which it accepted the shard.
func (m *Manager) offer(ctx context.Context, to member.Member, shard int, h *holding) bool {
	m.mu.Lock()
	start, claims := h.shard.Export()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handoverAttemptTimeout)
	defer cancel()
	accepted, err := m.client.Handover(ctx, to, shard, h.revision, start, claims)
	return err == nil && accepted
}

func (m *Manager) finishHandover(shard int, h *holding, accepted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	expired := !time.Now().Before(h.deadline)
	if m.handingOver[shard] != h || !accepted && !expired {
		return
	}
	delete(m.handingOver, shard)
	if !accepted {
		m.releasing[shard] = h.revision
	}
}

// Accept accepts a shard from its holder. It replaces the holder's value in the store
// by a compare-and-swap on the revision that the holder wrote, so no other VM held the
// shard in between. It also returns true if the shard was accepted at that revision
// before.
func (m *Manager) Accept(ctx context.Context, shard int, revision uint64, start time.Time, claims []*proto.Claim) (bool, error) {
	if shard < 0 || shard >= Count {
		return false, trace.BadParameter("there is no shard %d", shard)
	}
	if !m.locks[shard].lock(ctx) {
		return false, trace.Wrap(ctx.Err())
	}
	defer m.locks[shard].unlock()
	m.mu.Lock()
	lease, draining, h := m.lease, m.draining, m.held[shard]
	if lease == 0 || draining || h != nil || m.isReleasing(shard) {
		m.mu.Unlock()
		return h != nil && h.fromRevision == revision, nil
	}
	m.uncertain[shard] = true
	m.mu.Unlock()
	rev, err := m.writeHolder(ctx, shard, lease, revision)
	if err != nil {
		return false, trace.Wrap(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease {
		return false, nil
	}
	delete(m.uncertain, shard)
	m.held[shard] = &holding{shard: term.Import(start, claims), revision: rev, fromRevision: revision}
	return true, nil
}

// HandOverAll hands over every shard, acquires no more, and revokes the lease.
func (m *Manager) HandOverAll(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	shards := slices.Sorted(maps.Keys(m.held))
	lease := m.lease
	m.mu.Unlock()
	until := time.Now().Add(handoverTimeout)
	for _, s := range shards {
		m.startHandover(s, until)
	}
	for m.handOverPending(ctx); m.hasPending() && ctx.Err() == nil; m.handOverPending(ctx) {
		retry.Sleep(ctx, handoverRetryDelay)
	}
	if lease != 0 {
		_ = m.store.Revoke(ctx, lease)
	}
}

// hasPending reports whether a handover is pending and there is a VM to hand over to.
func (m *Manager) hasPending() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.handingOver) > 0 && len(m.others()) > 0
}

// others returns the live VMs except this one.
func (m *Manager) others() []member.Member {
	return slices.DeleteFunc(slices.Clone(m.fleet.View().Live), func(peer member.Member) bool {
		return peer.Name == m.vm
	})
}
