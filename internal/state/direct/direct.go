package direct

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/store"
)

const (
	directPrefix = "/claims/keys/"
	// directKept is how long the store remembers a key at least.
	directKept = 24 * time.Hour
	// directRoll is how long new keys share one lease.
	directRoll = time.Hour
	// ComeAgain is when a caller whose key can't be decided should come back.
	ComeAgain = time.Second
)

// Store is what the claims need of the platform's key-value service.
type Store interface {
	Get(ctx context.Context, path string) (store.Item, error)
	Put(ctx context.Context, path string, value []byte, want, lease uint64) (uint64, error)
	Delete(ctx context.Context, path string, want uint64) error
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
}

// Claims claims keys by a write to the store each. It serves keys that say
// nothing of their age. It is safe for use by several goroutines.
type Claims struct {
	store Store

	mu     sync.Mutex
	lease  uint64
	opened time.Time
}

// New makes a claimer over the store.
func New(s Store) *Claims { return &Claims{store: s} }

// Claim lets the request run the key if no request has claimed it before.
func (d *Claims) Claim(ctx context.Context, w ident.Workspace, key string, r ident.Request) *refuse.Refusal {
	lease, err := d.current(ctx)
	if err != nil {
		return Down("the store that keeps the key can't be reached")
	}
	path := directPath(w, key)
	_, err = d.store.Put(ctx, path, []byte(r), 0, lease)
	switch {
	case err == nil:
		return nil
	case store.Is(err, store.Conflict):
		return d.taken(ctx, path, r)
	case store.Is(err, store.Unknown):
		// The write may have taken effect: only a read can tell.
		return d.taken(ctx, path, r)
	default:
		return Down("the store that keeps the key can't be reached")
	}
}

// taken reads who has the key: this request itself, if the reply to its write
// was lost.
func (d *Claims) taken(ctx context.Context, path string, r ident.Request) *refuse.Refusal {
	it, err := d.store.Get(ctx, path)
	switch {
	case err == nil && string(it.Value) == string(r):
		return nil
	case err == nil:
		return refuse.New(refuse.MayHaveRun, "request %s came with this key before", it.Value).With(refuse.RanMaybe)
	default:
		// Not written, or written and not to be read now: either way this
		// request is not run, and the key may be left behind unused.
		return Down("the store that keeps the key does not answer")
	}
}

// Release gives back the key of a request that provably never ran.
func (d *Claims) Release(ctx context.Context, w ident.Workspace, key string, r ident.Request) error {
	path := directPath(w, key)
	it, err := d.store.Get(ctx, path)
	if err != nil {
		return trace.Wrap(err)
	}
	if string(it.Value) != string(r) {
		return nil
	}
	return trace.Wrap(d.store.Delete(ctx, path, it.Revision))
}

// current returns the lease that new keys are written under. It is never
// renewed, so its keys go some time after the last of them.
func (d *Claims) current(ctx context.Context) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lease != 0 && time.Since(d.opened) < directRoll {
		return d.lease, nil
	}
	l, err := d.store.Grant(ctx, directKept+directRoll)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	d.lease, d.opened = l.ID, time.Now()
	return d.lease, nil
}

func directPath(w ident.Workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return directPrefix + string(w) + "/" + hex.EncodeToString(sum[:16])
}

// Down returns the refusal of a key that can't be decided now.
func Down(detail string) *refuse.Refusal {
	return refuse.New(refuse.ClaimsDown, "%s", detail).After(ComeAgain)
}
