// Package cache is the prefix cache of a stand-in engine: bounded, least
// recently used first out, with events that tell of it with gaps.
package cache

import "slices"

const (
	// eventsKept bounds the events remembered.
	eventsKept = 256
	// eventGap is how many events pass between two that are lost.
	eventGap = 7
)

// Event says that a prompt's prefix came into the cache or left it.
type Event struct {
	Seq    uint64
	Prefix uint64
	Gone   bool
}

// Cache holds the hashes of prefixes. It is not safe for use by several
// goroutines.
type Cache struct {
	size   int
	held   []uint64 // the least recently used first
	seq    uint64   // events so far, lost ones too
	events []Event
}

// New returns an empty cache of size prefixes.
func New(size int) *Cache { return &Cache{size: size} }

// Use brings a prefix into the cache and reports whether it was there.
func (c *Cache) Use(prefix uint64) bool {
	i := slices.Index(c.held, prefix)
	if i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
	}
	c.held = append(c.held, prefix)
	c.note(prefix, false)
	if len(c.held) > c.size {
		c.note(c.held[0], true)
		c.held = c.held[1:]
	}
	return i >= 0
}

// note records an event; now and then one is lost, and its number is missing
// from the list.
func (c *Cache) note(prefix uint64, gone bool) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, Event{Seq: c.seq, Prefix: prefix, Gone: gone})
	if len(c.events) > eventsKept {
		c.events = c.events[1:]
	}
}

// Seq returns the number of the newest event.
func (c *Cache) Seq() uint64 { return c.seq }

// Events returns the events after one number and up to another.
func (c *Cache) Events(after, upTo uint64) []Event {
	var out []Event
	for _, ev := range c.events {
		if ev.Seq > after && ev.Seq <= upTo {
			out = append(out, ev)
		}
	}
	return out
}
