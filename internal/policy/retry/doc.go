// Package retry decides whether, where and when failed operations are retried. It
// provides retry budgets in proportion to traffic, a circuit breaker with a slow start
// after recovery, and exponential backoff with jitter, so that VMs do not retry in
// lockstep.
package retry
