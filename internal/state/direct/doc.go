// Package direct claims each idempotency key by a write to the platform's
// key-value service. It is used for keys without a creation time, which package
// claim can't keep in memory.
package direct
