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
	"umberladder/internal/state/keeper"
	"umberladder/internal/state/member"
	"umberladder/internal/state/term"
)

const (
	askTries = 3
	askPause = 100 * time.Millisecond
	askTime  = 700 * time.Millisecond
)

// Asker asks the VM that holds a shard.
type Asker interface {
	Claim(ctx context.Context, to member.Member, shard int, key string, sum [32]byte, r ident.Request) (term.Verdict, *proto.Answer, error)
	Finish(ctx context.Context, to member.Member, shard int, key string, r ident.Request, ran bool, answer *proto.Answer) error
}

// Claims takes each key the way that suits it: one that tells its age through
// the holder of its shard, any other through the store.
type Claims struct {
	vm     ident.VM
	fleet  keeper.Fleet
	keeper *keeper.Keeper
	direct *direct.Claims
	asker  Asker
}

// New makes the claims of a VM.
func New(vm ident.VM, f keeper.Fleet, k *keeper.Keeper, d *direct.Claims, a Asker) *Claims {
	return &Claims{vm: vm, fleet: f, keeper: k, direct: d, asker: a}
}

// full returns the key as holders know it: keys of two workspaces never meet.
func full(w ident.Workspace, key string) string { return string(w) + "/" + key }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % keeper.Shards) }

// Claim lets the request run the key, or returns the answer of the call that
// had it before, or the refusal.
func (c *Claims) Claim(ctx context.Context, w ident.Workspace, key string, sum [32]byte, r ident.Request) (*proto.Answer, *refuse.Refusal) {
	minted, ok := ident.Minted(key)
	if !ok {
		return nil, c.direct.Claim(ctx, w, key, r)
	}
	k := full(w, key)
	why := ""
	for try := range askTries {
		if try > 0 {
			time.Sleep(askPause)
		}
		v, answer, err := c.ask(ctx, k, minted, sum, r)
		switch {
		case err != nil:
			why = trace.UserMessage(err)
		case v == term.NotHolder:
			why = "the shard's lease is just changing hands, or the store that keeps it is down"
		default:
			return judge(v, answer)
		}
	}
	return nil, direct.Down(why)
}

// ask asks the shard's home. Asking again is safe: a holder knows a request
// that it let run.
func (c *Claims) ask(ctx context.Context, key string, minted time.Time, sum [32]byte, r ident.Request) (term.Verdict, *proto.Answer, error) {
	shard := shardOf(key)
	home, ok := keeper.HomeOf(shard, c.fleet.View().Live)
	if !ok || home.Name == c.vm {
		v, answer := c.keeper.Claim(shard, key, minted, sum, r)
		return v, answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	return c.asker.Claim(ctx, home, shard, key, sum, r)
}

func judge(v term.Verdict, answer *proto.Answer) (*proto.Answer, *refuse.Refusal) {
	switch v {
	case term.Run:
		return nil, nil
	case term.Replay:
		return answer, nil
	case term.Running:
		return nil, refuse.New(refuse.InProgress, "an earlier call with this key has not ended").
			With(refuse.RanMaybe).After(direct.ComeAgain)
	case term.Mismatch:
		return nil, refuse.New(refuse.KeyReused, "this key came with another method, path, service or body")
	case term.FutureKey:
		return nil, refuse.New(refuse.BadInput, "the Idempotency-Key was minted in the future; check the caller's clock")
	default:
		return nil, refuse.New(refuse.MayHaveRun, "no VM can tell any more whether a call with this key ran").
			With(refuse.RanMaybe)
	}
}

// Finish tells the holder the end of a request that Claim let run.
func (c *Claims) Finish(ctx context.Context, w ident.Workspace, key string, r ident.Request, ran bool, answer *proto.Answer) {
	if _, ok := ident.Minted(key); !ok {
		if !ran {
			_ = c.direct.Release(ctx, w, key, r)
		}
		return
	}
	k := full(w, key)
	shard := shardOf(k)
	home, ok := keeper.HomeOf(shard, c.fleet.View().Live)
	if !ok || home.Name == c.vm {
		c.keeper.Finish(shard, k, r, ran, answer)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	// A holder that does not hear of the end answers that the call may have
	// run, which stays true.
	_ = c.asker.Finish(ctx, home, shard, k, r, ran, answer)
}
