package store

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is one value. A deleted value has no Value and keeps its revision.
type Item struct {
	Path     string
	Revision uint64
	Value    []byte
	Deleted  bool
	lease    uint64
}

// Table holds the values and leases. Revisions rise by one with each write.
type Table struct {
	mu       sync.Mutex
	items    map[string]Item
	leases   map[uint64]*lease
	revision uint64
	nextID   uint64
	changed  chan struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		items:   map[string]Item{},
		leases:  map[uint64]*lease{},
		changed: make(chan struct{}),
	}
}

// Get returns the value at path.
func (t *Table) Get(path string, now time.Time) (Item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	it, ok := t.items[path]
	return it, ok && !it.Deleted
}

// List returns the values under prefix changed after the revision, deleted
// ones too, and the table's revision.
func (t *Table) List(prefix string, after uint64, now time.Time) ([]Item, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.list(prefix, after), t.revision
}

func (t *Table) list(prefix string, after uint64) []Item {
	var out []Item
	for _, it := range t.items {
		if it.Revision > after && strings.HasPrefix(it.Path, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Watch is List, but waits on until there is something to return, the stop
// channel closes, or the wait is over.
func (t *Table) Watch(prefix string, after uint64, wait time.Duration, stop <-chan struct{}) ([]Item, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		t.expire(time.Now())
		items, rev, changed := t.list(prefix, after), t.revision, t.changed
		t.mu.Unlock()
		if len(items) > 0 {
			return items, rev
		}
		select {
		case <-changed:
		case <-stop:
			return nil, rev
		case <-timer.C:
			return nil, rev
		}
	}
}

// Put writes the value at path if its revision still is want (0: absent) and
// returns the new revision. A value with a lease goes when the lease does.
func (t *Table) Put(path string, value []byte, want, leaseID uint64, now time.Time) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.matches(path, want) {
		return 0, false
	}
	if leaseID != 0 && t.leases[leaseID] == nil {
		return 0, false
	}
	t.write(Item{Path: path, Value: value, lease: leaseID})
	return t.revision, true
}

// Delete removes the value at path if its revision still is want.
func (t *Table) Delete(path string, want uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.matches(path, want) {
		return false
	}
	t.write(Item{Path: path, Deleted: true})
	return true
}

func (t *Table) matches(path string, want uint64) bool {
	it, ok := t.items[path]
	if !ok || it.Deleted {
		return want == 0
	}
	return it.Revision == want
}

func (t *Table) write(it Item) {
	t.revision++
	it.Revision = t.revision
	t.items[it.Path] = it
	close(t.changed)
	t.changed = make(chan struct{})
}

// Grant makes a lease.
func (t *Table) Grant(ttl time.Duration, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	t.leases[t.nextID] = &lease{ttl: ttl, expires: now.Add(ttl)}
	return t.nextID
}

// Renew prolongs a lease; false if it has lapsed.
func (t *Table) Renew(id uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	l := t.leases[id]
	if l == nil {
		return false
	}
	l.expires = now.Add(l.ttl)
	return true
}

// Revoke ends a lease and deletes its values.
func (t *Table) Revoke(id uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.leases[id]; l != nil {
		l.expires = now
	}
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	for id, l := range t.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(t.leases, id)
		for path, it := range t.items {
			if it.lease == id && !it.Deleted {
				t.write(Item{Path: path, Deleted: true})
			}
		}
	}
}
