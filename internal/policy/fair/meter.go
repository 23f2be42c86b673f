package fair

import (
	"math"
	"time"
)

const (
	// meterWindow is the time constant of the moving average of grants.
	meterWindow = time.Second
	// meterTTL is how long a caller counts after its last request or grant.
	meterTTL = 2 * time.Second
	// expireInterval is how often callers that no longer count are dropped. Their number may be
	// maxFlows.
	expireInterval = time.Second
)

// Meter measures what callers were granted in the last second or so, relative to one another.
// It is not safe for concurrent use.
type Meter[K comparable] struct {
	callers     map[K]*caller
	total       average
	totalWeight float64
	expiredAt   time.Time
}

// caller is what is known of one caller.
type caller struct {
	granted average
	weight  float64
	seen    time.Time
}

// average is an exponential moving average.
type average struct {
	value float64
	at    time.Time
}

// add adds an amount at a time. Times may be out of order, since callers read the clock before they
// wait for a lock.
func (a *average) add(v float64, now time.Time) {
	if now.Before(a.at) {
		earlier := average{value: v, at: now}
		a.value += earlier.valueAt(a.at)
		return
	}
	a.value, a.at = a.valueAt(now)+v, now
}

func (a *average) valueAt(now time.Time) float64 {
	if a.value == 0 {
		return 0
	}
	return a.value * math.Exp(-max(0, now.Sub(a.at).Seconds())/meterWindow.Seconds())
}

// NewMeter returns a Meter of nothing.
func NewMeter[K comparable]() *Meter[K] { return &Meter[K]{callers: make(map[K]*caller)} }

// Demand records that a caller with a given weight has made a request.
func (m *Meter[K]) Demand(key K, weight float64, now time.Time) {
	m.expire(now)
	c := m.callers[key]
	if c == nil {
		if len(m.callers) >= maxFlows {
			return
		}
		c = &caller{}
		m.callers[key] = c
	}
	m.totalWeight += weight - c.weight
	c.weight, c.seen = weight, now
}

// Grant records that a caller was granted an amount.
func (m *Meter[K]) Grant(key K, amount float64, now time.Time) {
	m.total.add(amount, now)
	if c := m.callers[key]; c != nil {
		c.granted.add(amount, now)
		c.seen = now
	}
}

// Share returns the share of what was granted to all that a caller got.
func (m *Meter[K]) Share(key K, now time.Time) float64 {
	c, now := m.callers[key], m.notBeforeGrants(now)
	total := m.total.valueAt(now)
	if c == nil || total <= 0 {
		return 0
	}
	return min(c.granted.valueAt(now)/total, 1)
}

// notBeforeGrants returns a time, or that of the latest grant if it is later. Averages are not
// decayed backwards, and those of different times must not be mixed.
func (m *Meter[K]) notBeforeGrants(now time.Time) time.Time {
	if now.Before(m.total.at) {
		return m.total.at
	}
	return now
}

// Entitled returns the share that a caller is due by the weights of those that have made
// requests recently.
func (m *Meter[K]) Entitled(key K) float64 {
	c := m.callers[key]
	if c == nil || m.totalWeight <= 0 {
		return 0
	}
	return c.weight / m.totalWeight
}

// IsOver reports whether a caller got more than its share while there were others.
func (m *Meter[K]) IsOver(key K, now time.Time) bool {
	return len(m.callers) > 1 && m.callers[key] != nil && m.Share(key, now) > m.Entitled(key)
}

// expire drops callers that have made no requests for meterTTL.
func (m *Meter[K]) expire(now time.Time) {
	if now.Sub(m.expiredAt) < expireInterval {
		return
	}
	m.expiredAt, m.totalWeight = now, 0
	for key, c := range m.callers {
		if now.Sub(c.seen) > meterTTL {
			delete(m.callers, key)
			continue
		}
		m.totalWeight += c.weight
	}
}
