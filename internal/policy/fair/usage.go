package fair

import "time"

// Usage is what a caller was granted recently, and what it is due.
type Usage[K comparable] struct {
	Key      K
	Share    float64 // of what was granted to all in the last second or so
	Entitled float64 // share by the weights of the callers that have made requests recently
}

// Usages returns the usage of each caller that counts, in no order. There are at most maxFlows.
func (m *Meter[K]) Usages(now time.Time) []Usage[K] {
	out := make([]Usage[K], 0, len(m.callers))
	now = m.notBeforeGrants(now)
	total := m.total.valueAt(now)
	for key, c := range m.callers {
		u := Usage[K]{Key: key}
		if total > 0 {
			u.Share = min(c.granted.valueAt(now)/total, 1)
		}
		if m.totalWeight > 0 {
			u.Entitled = c.weight / m.totalWeight
		}
		out = append(out, u)
	}
	return out
}
