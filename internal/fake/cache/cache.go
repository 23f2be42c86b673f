// Package cache implements the prefix cache of a fake engine: a bounded LRU
// cache whose event list has gaps.
package cache

import "slices"

const (
	// maxEvents is the maximum number of events kept.
	maxEvents = 256
	// lostEventInterval is the distance between lost events: every seventh event
	// is dropped from the list.
	lostEventInterval = 7
)

// Event reports that a prompt prefix was used, which puts it into the cache, or
// that it was evicted.
type Event struct {
	Seq     uint64
	Prefix  uint64
	Evicted bool
}

// Cache holds the hashes of prompt prefixes. It is not safe for concurrent use.
type Cache struct {
	size     int
	prefixes []uint64 // least recently used first
	seq      uint64   // number of events so far, including lost ones
	events   []Event
}

// New returns an empty cache with a capacity of size prefixes.
func New(size int) *Cache { return &Cache{size: size} }

// Use puts a prefix into the cache, or marks it as most recently used, and
// reports whether it was already cached.
func (c *Cache) Use(prefix uint64) bool {
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	}
	c.prefixes = append(c.prefixes, prefix)
	c.recordEvent(prefix, false)
	if len(c.prefixes) > c.size {
		c.recordEvent(c.prefixes[0], true)
		c.prefixes = c.prefixes[1:]
	}
	return i >= 0
}

// recordEvent adds an event to the list. Every event whose sequence number is a
// multiple of lostEventInterval is lost and leaves a gap in the numbers.
func (c *Cache) recordEvent(prefix uint64, evicted bool) {
	c.seq++
	if c.seq%lostEventInterval == 0 {
		return
	}
	c.events = append(c.events, Event{Seq: c.seq, Prefix: prefix, Evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// LastSeq returns the sequence number of the newest event.
func (c *Cache) LastSeq() uint64 { return c.seq }

// Events returns the events with sequence numbers greater than after and at
// most upTo.
func (c *Cache) Events(after, upTo uint64) []Event {
	var out []Event
	for _, ev := range c.events {
		if ev.Seq > after && ev.Seq <= upTo {
			out = append(out, ev)
		}
	}
	return out
}
