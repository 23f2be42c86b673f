package burn

import "time"

const slotsPerWindow = 20

// Windows holds the windows of a report, shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Count holds the number of events and how many of them were bad.
type Count struct {
	Bad   uint64
	Total uint64
}

func (c *Count) add(o Count) {
	c.Bad += o.Bad
	c.Total += o.Total
}

// ring counts the events of a sliding window in a ring buffer of time slots.
type ring struct {
	counts [slotsPerWindow]Count
	slot   int64 // number of the latest slot since the epoch
}

func (r *ring) add(c Count, now time.Time, window time.Duration) {
	r.advance(now, window)
	r.counts[r.slot%slotsPerWindow].add(c)
}

// advance moves the ring to the slot of now and clears the slots that have begun
// since the latest one.
func (r *ring) advance(now time.Time, window time.Duration) {
	n := now.UnixNano() / int64(window/slotsPerWindow)
	if n-r.slot >= slotsPerWindow {
		r.counts = [slotsPerWindow]Count{}
		r.slot = n
	}
	for r.slot < n {
		r.slot++
		r.counts[r.slot%slotsPerWindow] = Count{}
	}
}

func (r *ring) sum(now time.Time, window time.Duration) Count {
	r.advance(now, window)
	var c Count
	for _, s := range r.counts {
		c.add(s)
	}
	return c
}

// windowCounts counts the events of one objective in each window.
type windowCounts [len(Windows)]ring

func (s *windowCounts) add(c Count, now time.Time) {
	if c.Total == 0 {
		return
	}
	for i, w := range Windows {
		s[i].add(c, now, w)
	}
}
