package pool

import (
	"time"

	"umberladder/internal/state/config"
)

const (
	// minMeasureTime is how long a queue must have been non-empty before its
	// throughput is used for predictions.
	minMeasureTime = 2 * time.Second
	// halvingAge is the measuring time after which the time and the count are
	// halved, so that recent placements count more.
	halvingAge = 10 * time.Second
)

// throughput measures how fast a queue empties while it is not empty.
type throughput struct {
	since  time.Time // zero: the queue is empty
	placed float64   // waiters placed since then
	// lastRetryAt is the latest retry time given to a refused client, by rank.
	lastRetryAt [config.MaxRank + 1]time.Time
}

func (t *throughput) start(now time.Time) {
	if t.since.IsZero() {
		*t = throughput{since: now}
	}
}

func (t *throughput) reset() { *t = throughput{} }

func (t *throughput) record(now time.Time) {
	t.placed++
	if age := now.Sub(t.since); age > halvingAge {
		t.since = now.Add(-age / 2)
		t.placed /= 2
	}
}

// scheduleRetry returns the retry delay of a refused client of a rank that could
// be served after wait. Retry times are spaced by the time in which the queue
// places one waiter, so that clients refused together do not return together.
func (t *throughput) scheduleRetry(rank int, wait time.Duration, now time.Time) time.Duration {
	at := now.Add(wait)
	if perWaiter, ok := t.predictWait(0, now); ok && t.lastRetryAt[rank].Add(perWaiter).After(at) {
		at = t.lastRetryAt[rank].Add(perWaiter)
	}
	t.lastRetryAt[rank] = at
	return at.Sub(now)
}

// predictWait returns how long a waiter behind ahead others would wait, or false
// if that is not known yet.
func (t *throughput) predictWait(ahead int, now time.Time) (time.Duration, bool) {
	if t.since.IsZero() {
		return 0, false
	}
	age := now.Sub(t.since)
	if age < minMeasureTime {
		return 0, false
	}
	rate := (t.placed + 1) / age.Seconds()
	return time.Duration(float64(ahead+1) / rate * float64(time.Second)), true
}
