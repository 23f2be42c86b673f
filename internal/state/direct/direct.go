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
	keyPrefix = "/claims/keys/"
	// keyRetention is the minimum time for which the store remembers a key.
	keyRetention = 24 * time.Hour
	// leaseRotation is how long new keys share one lease.
	leaseRotation = time.Hour
	// RetryAfter is the delay after which a client should retry if its key can't be
	// claimed or refused now.
	RetryAfter = time.Second
)

// Store is the part of the platform's key-value service that a Claimer uses.
type Store interface {
	Get(ctx context.Context, path string) (store.Item, error)
	Put(ctx context.Context, path string, value []byte, want, lease uint64) (uint64, error)
	Delete(ctx context.Context, path string, want uint64) error
	Grant(ctx context.Context, ttl time.Duration) (store.Lease, error)
}

// Claimer claims each key by a write to the store. It is safe for concurrent use.
type Claimer struct {
	store Store

	mu      sync.Mutex
	lease   uint64
	granted time.Time
}

// New returns a Claimer that uses the store.
func New(s Store) *Claimer { return &Claimer{store: s} }

// Claim claims a key for a request. It returns a refusal if another request has claimed
// the key before, or if the store can't be used to decide that now.
func (c *Claimer) Claim(ctx context.Context, w ident.Workspace, key string, r ident.Request) *refuse.Refusal {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return Unavailable("the store that keeps the key can't be reached")
	}
	path := keyPath(w, key)
	_, err = c.store.Put(ctx, path, []byte(r), 0, lease)
	switch {
	case err == nil:
		return nil
	case store.Is(err, store.Conflict):
		return c.checkClaimant(ctx, path, r)
	case store.Is(err, store.OutcomeUnknown):
		// The write may have taken effect; only a read can show it.
		return c.checkClaimant(ctx, path, r)
	default:
		return Unavailable("the store that keeps the key can't be reached")
	}
}

// checkClaimant reads which request has claimed the key. It may be this request
// itself, if the reply to its write was lost.
func (c *Claimer) checkClaimant(ctx context.Context, path string, r ident.Request) *refuse.Refusal {
	it, err := c.store.Get(ctx, path)
	switch {
	case err == nil && string(it.Value) == string(r):
		return nil
	case err == nil:
		return refuse.New(refuse.MayHaveRun, "request %s came with this key before", it.Value).WithRan(refuse.RanMaybe)
	default:
		// Either the key was not written, or it can't be read now. In both cases this
		// request does not run, and its key may remain in the store unused.
		return Unavailable("the store that keeps the key does not answer")
	}
}

// Release deletes the key of a request that provably never ran.
func (c *Claimer) Release(ctx context.Context, w ident.Workspace, key string, r ident.Request) error {
	path := keyPath(w, key)
	it, err := c.store.Get(ctx, path)
	if err != nil {
		return trace.Wrap(err)
	}
	if string(it.Value) != string(r) {
		return nil
	}
	return trace.Wrap(c.store.Delete(ctx, path, it.Revision))
}

// currentLease returns the lease for new keys. A lease is never renewed; it expires at
// least keyRetention after the last of its keys was written.
func (c *Claimer) currentLease(ctx context.Context) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease != 0 && time.Since(c.granted) < leaseRotation {
		return c.lease, nil
	}
	l, err := c.store.Grant(ctx, keyRetention+leaseRotation)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	c.lease, c.granted = l.ID, time.Now()
	return c.lease, nil
}

func keyPath(w ident.Workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyPrefix + string(w) + "/" + hex.EncodeToString(sum[:16])
}

// Unavailable returns the refusal for a key that can't be claimed or refused now.
func Unavailable(detail string) *refuse.Refusal {
	return refuse.New(refuse.ClaimsUnavailable, "%s", detail).WithRetryAfter(RetryAfter)
}
