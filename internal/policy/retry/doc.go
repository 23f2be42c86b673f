// Package retry decides whether something may be tried again, where, and
// when: a budget that ties retries to live traffic, a breaker that takes a
// failing server out and lets it back slowly, and jittered delays so that no
// two VMs come back in step.
package retry
