package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/proto"
	"umberladder/internal/state/direct"
	"umberladder/internal/state/member"
	"umberladder/internal/state/shards"
	"umberladder/internal/state/term"
)

const (
	maxAttempts = 3
	retryPause  = 100 * time.Millisecond
	callTimeout = 700 * time.Millisecond
)

// HolderClient calls the VM that holds a shard.
type HolderClient interface {
	Claim(ctx context.Context, to member.Member, shard int, key string, fingerprint [32]byte, r ident.Request) (term.Decision, *proto.Answer, error)
	Finish(ctx context.Context, to member.Member, shard int, key string, r ident.Request, ran bool, response *proto.Answer) error
}

// Claimer claims idempotency keys. A key that contains its creation time is claimed at the
// VM that holds the lease on the key's shard. Any other key is claimed in the store.
type Claimer struct {
	vm      ident.VM
	fleet   shards.Fleet
	manager *shards.Manager
	direct  *direct.Claimer
	client  HolderClient
}

// New returns the Claimer of a VM.
func New(vm ident.VM, f shards.Fleet, m *shards.Manager, d *direct.Claimer, client HolderClient) *Claimer {
	return &Claimer{vm: vm, fleet: f, manager: m, direct: d, client: client}
}

// scopedKey returns the key prefixed with its workspace, so that equal keys of two
// workspaces differ.
func scopedKey(w ident.Workspace, key string) string { return string(w) + "/" + key }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shards.Count) }

// Claim claims the key for the request. It returns nil and nil if the request may run,
// the response if an earlier call with the key completed, or a refusal.
func (c *Claimer) Claim(ctx context.Context, w ident.Workspace, key string, fingerprint [32]byte, r ident.Request) (*proto.Answer, *refuse.Refusal) {
	created, ok := ident.UUIDTime(key)
	if !ok {
		return nil, c.direct.Claim(ctx, w, key, r)
	}
	scoped := scopedKey(w, key)
	reason := ""
	for attempt := range maxAttempts {
		if attempt > 0 {
			time.Sleep(retryPause)
		}
		d, response, err := c.claimOnce(ctx, scoped, created, fingerprint, r)
		switch {
		case err != nil:
			reason = trace.UserMessage(err)
		case d == term.NotHolder:
			reason = "the shard's lease is just changing hands, or the store that keeps it is down"
		default:
			return resultOf(d, response)
		}
	}
	return nil, direct.Unavailable(reason)
}

// claimOnce sends one claim to the assigned owner of the key's shard. It is safe to repeat,
// because a lease holder grants a key again to the request that already has it.
func (c *Claimer) claimOnce(ctx context.Context, key string, created time.Time, fingerprint [32]byte, r ident.Request) (term.Decision, *proto.Answer, error) {
	shard := shardOf(key)
	owner, ok := shards.AssignedOwner(shard, c.fleet.View().Live)
	if !ok || owner.Name == c.vm {
		d, response := c.manager.Claim(shard, key, created, fingerprint, r)
		return d, response, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.client.Claim(ctx, owner, shard, key, fingerprint, r)
}

func resultOf(d term.Decision, response *proto.Answer) (*proto.Answer, *refuse.Refusal) {
	switch d {
	case term.Granted:
		return nil, nil
	case term.Replay:
		return response, nil
	case term.InProgress:
		return nil, refuse.New(refuse.InProgress, "an earlier call with this key has not ended").
			WithRan(refuse.RanMaybe).WithRetryAfter(direct.RetryAfter)
	case term.Mismatch:
		return nil, refuse.New(refuse.KeyReused, "this key came with another method, path, service or body")
	case term.FutureKey:
		return nil, refuse.New(refuse.BadInput, "the Idempotency-Key was minted in the future; check the caller's clock")
	default:
		return nil, refuse.New(refuse.MayHaveRun, "no VM can tell any more whether a call with this key ran").
			WithRan(refuse.RanMaybe)
	}
}

// Finish reports to the lease holder the end of a request that Claim granted.
func (c *Claimer) Finish(ctx context.Context, w ident.Workspace, key string, r ident.Request, ran bool, response *proto.Answer) {
	if _, ok := ident.UUIDTime(key); !ok {
		if !ran {
			_ = c.direct.Release(ctx, w, key, r)
		}
		return
	}
	scoped := scopedKey(w, key)
	shard := shardOf(scoped)
	owner, ok := shards.AssignedOwner(shard, c.fleet.View().Live)
	if !ok || owner.Name == c.vm {
		c.manager.Finish(shard, scoped, r, ran, response)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// If this report is lost, later requests with the key are refused because the call
	// may have run, which remains correct.
	_ = c.client.Finish(ctx, owner, shard, scoped, r, ran, response)
}
