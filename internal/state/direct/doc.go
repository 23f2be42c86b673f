// Package direct claims idempotency keys by a write to the platform's
// key-value service each. It serves keys that say nothing of their age, which
// package claim can't keep in memory.
package direct
