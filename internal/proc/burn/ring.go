package burn

import "time"

const slots = 20

// Windows lists the windows of a report, the shortest first.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Count is how many events there were, and how many of them were bad.
type Count struct {
	Bad   uint64
	Total uint64
}

func (c *Count) add(o Count) {
	c.Bad += o.Bad
	c.Total += o.Total
}

// ring counts the events of one sliding window in slots.
type ring struct {
	counts [slots]Count
	slot   int64 // number of the latest slot since the epoch
}

func (r *ring) add(c Count, now time.Time, window time.Duration) {
	r.turn(now, window)
	r.counts[r.slot%slots].add(c)
}

// turn empties the slots that went by since the latest.
func (r *ring) turn(now time.Time, window time.Duration) {
	n := now.UnixNano() / int64(window/slots)
	if n-r.slot >= slots {
		r.counts = [slots]Count{}
		r.slot = n
	}
	for r.slot < n {
		r.slot++
		r.counts[r.slot%slots] = Count{}
	}
}

func (r *ring) sum(now time.Time, window time.Duration) Count {
	r.turn(now, window)
	var c Count
	for _, s := range r.counts {
		c.add(s)
	}
	return c
}

// series counts the events of one objective in every window.
type series [len(Windows)]ring

func (s *series) add(c Count, now time.Time) {
	if c.Total == 0 {
		return
	}
	for i, w := range Windows {
		s[i].add(c, now, w)
	}
}
