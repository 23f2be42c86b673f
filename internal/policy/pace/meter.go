package pace

import (
	"slices"
	"time"
)

const (
	// groupEvents is the number of events in a group, whose time per token is one measurement.
	groupEvents = 4
	// keptGroups is how many of the latest groups a stream compares. They cover more than a
	// second, so that the fastest of them includes neither a slow period of 600 ms nor the
	// prefill of another prompt.
	keptGroups = 8
	// minGroups is the number of groups from which a stream reports its time per token. A
	// single group may have been delayed as a whole by the prefill of another prompt.
	minGroups = 2
	// stallFactor is how many times the usual time between events makes a gap a stall, after
	// which delayed events arrive in a burst and say nothing about the engine.
	stallFactor = 4
	// burstFactor is the fraction of the usual time between events below which an event after
	// a stall still belongs to the burst.
	burstFactor = 0.5
	// gapDecay is the weight of the latest gap in the usual time between events.
	gapDecay = 0.25
)

// Meter measures the time per token of one stream at one engine. The zero value is ready for use.
type Meter struct {
	groups     []time.Duration // time per event of the latest groups, the oldest first
	groupStart time.Time       // when the event before the group's first arrived
	groupSize  int             // events in the current group
	lastAt     time.Time       // when the latest event arrived
	usualGap   time.Duration   // moving average of the time per event; zero: there was no gap yet
	inBurst    bool            // events are ignored, because they were delayed
}

// Observe records that events arrived together at a time. It reports whether a group is complete,
// after which PerToken may return another value.
func (m *Meter) Observe(events int, now time.Time) bool {
	if events <= 0 {
		return false
	}
	if m.lastAt.IsZero() {
		m.lastAt, m.groupStart = now, now
		return false
	}
	gap := now.Sub(m.lastAt) / time.Duration(events)
	m.lastAt = now
	if m.isDelayed(gap) {
		m.groupStart, m.groupSize = now, 0
		return false
	}
	if m.usualGap == 0 {
		m.usualGap = gap
	}
	m.usualGap += time.Duration(gapDecay * float64(gap-m.usualGap))
	m.groupSize += events
	if m.groupSize < groupEvents {
		return false
	}
	if len(m.groups) == keptGroups {
		m.groups = m.groups[:copy(m.groups, m.groups[1:])]
	}
	m.groups = append(m.groups, now.Sub(m.groupStart)/time.Duration(m.groupSize))
	m.groupStart, m.groupSize = now, 0
	return true
}

// isDelayed reports whether an event came after a stall or in the burst that follows one.
func (m *Meter) isDelayed(gap time.Duration) bool {
	switch {
	case m.usualGap == 0:
	case gap > stallFactor*m.usualGap:
		m.inBurst = true
	case m.inBurst:
		m.inBurst = float64(gap) < burstFactor*float64(m.usualGap)
		return true
	}
	return m.inBurst
}

// PerToken returns the time per token, if events have the given number of tokens; zero: not
// measured yet.
func (m *Meter) PerToken(eventTokens int) time.Duration {
	if len(m.groups) < minGroups || eventTokens <= 0 {
		return 0
	}
	return slices.Min(m.groups) / time.Duration(eventTokens)
}
