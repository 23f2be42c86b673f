// Package claim decides, over all VMs, which calls with an idempotency key may
// run, so that each key runs at most once.
//
// A key that is a UUID of version 7 belongs to a shard. At any time at most one VM
// holds the shard, under a lease of the platform's key-value service, and keeps the
// claims on the shard's keys in memory. The shard's term starts when the VM acquires
// the lease, plus a margin for clock skew. The VM grants a key only if the key was
// created during the term. An older key may have run under the previous lease holder,
// and a call with it is refused for that reason. docs/design/03-at-most-once.md shows that
// this is correct.
//
// Any other key is claimed by a write to the key-value service itself.
package claim
