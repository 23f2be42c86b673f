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
	// skippedEvents is the number of events at the start that are not measured. They include
	// those that an engine or a proxy holds back while the connection is new.
	skippedEvents = 4
	// togetherGap is the time within which events count as read together. Engines that the
	// meter has to tell apart take longer for an event.
	togetherGap = 500 * time.Microsecond
	// maxIgnored is how long events may be ignored without a break before the meter restarts.
	// The usual time between events is then wrong, or the engine has become much slower.
	maxIgnored = time.Second
	// implausibleFactor is the fraction of the median group below which a group is ignored. No
	// engine speeds up that much within a few seconds, but delayed events may arrive that fast.
	implausibleFactor = 0.25
)

// Meter measures the time per token of one stream at one engine. The zero value is ready for use.
type Meter struct {
	groups       []time.Duration // time per event of the latest groups, the oldest first
	skipped      int             // events at the start that were not measured
	groupStart   time.Time       // when the event before the group's first arrived
	groupSize    int             // events in the current group
	lastAt       time.Time       // when the latest event arrived
	usualGap     time.Duration   // moving average of the time per event; zero: there was no gap yet
	inBurst      bool            // events are ignored, because they were delayed
	ignoredSince time.Time       // since when events are ignored without a break; zero: they are not
}

// Observe records that events arrived together at a time. It reports whether a group is complete,
// after which PerToken may return another value. A group is complete when the next event arrives,
// as it includes all events that are read together with its last one.
func (m *Meter) Observe(events int, now time.Time) bool {
	if events <= 0 {
		return false
	}
	if m.skipped < skippedEvents {
		m.skipped += events
		m.lastAt, m.groupStart = now, now
		return false
	}
	sinceLast := now.Sub(m.lastAt)
	if sinceLast < togetherGap && !m.inBurst {
		// Events that are read together with the last one before a group belong to no group.
		if m.groupSize > 0 {
			m.groupSize += events
		}
		return false
	}
	complete := m.completeGroup()
	gap := sinceLast / time.Duration(events)
	m.lastAt = now
	if m.isDelayed(gap) {
		m.ignore(now)
		return complete
	}
	m.ignoredSince = time.Time{}
	if m.usualGap == 0 {
		m.usualGap = gap
	}
	m.usualGap += time.Duration(gapDecay * float64(gap-m.usualGap))
	m.groupSize += events
	return complete
}

// completeGroup adds the current group to the latest groups if it has enough events, and reports
// whether it had.
func (m *Meter) completeGroup() bool {
	if m.groupSize < groupEvents {
		return false
	}
	if len(m.groups) == keptGroups {
		m.groups = m.groups[:copy(m.groups, m.groups[1:])]
	}
	m.groups = append(m.groups, m.lastAt.Sub(m.groupStart)/time.Duration(m.groupSize))
	m.groupStart, m.groupSize = m.lastAt, 0
	return true
}

// ignore starts another group after an event that was delayed. It restarts the measurement if
// events have been ignored for maxIgnored.
func (m *Meter) ignore(now time.Time) {
	m.groupStart, m.groupSize = now, 0
	switch {
	case m.ignoredSince.IsZero():
		m.ignoredSince = now
	case now.Sub(m.ignoredSince) >= maxIgnored:
		*m = Meter{}
	}
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
	sorted := slices.Sorted(slices.Values(m.groups))
	median := float64(sorted[len(sorted)/2])
	i := slices.IndexFunc(sorted, func(d time.Duration) bool { return float64(d) >= implausibleFactor*median })
	return sorted[i] / time.Duration(eventTokens)
}
