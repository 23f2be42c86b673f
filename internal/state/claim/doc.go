// Package claim decides, over all VMs, which calls with an idempotency key
// may run, so that each key runs at most once.
//
// A key that is a UUID of version 7 belongs to a shard. One VM at a time
// holds a shard, under a lease of the platform's key-value service, and keeps
// the claims on its keys in memory. A shard's term starts when its holder took
// it, plus a margin for clock skew. The holder lets a key run only if the key
// was minted inside its term: an older one may have run under the holder
// before, and is answered so. docs/design/03-at-most-once.md gives the
// argument. Any other key is claimed by a write to the service itself.
package claim
