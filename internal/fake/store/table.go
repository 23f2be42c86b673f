package store

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Item is a stored value. A deleted item has no Value, and its Revision is that
// of the deletion.
type Item struct {
	Path     string
	Revision uint64
	Value    []byte
	Deleted  bool
	leaseID  uint64
}

// Table holds the values and leases. Each write increments the revision.
type Table struct {
	mu          sync.Mutex
	items       map[string]Item
	leases      map[uint64]*lease
	revision    uint64
	lastLeaseID uint64
	changed     chan struct{}
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

// Get returns the value at path, and whether it exists.
func (t *Table) Get(path string, now time.Time) (Item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	it, ok := t.items[path]
	return it, ok && !it.Deleted
}

// List returns the items under prefix that changed after the given revision,
// deleted ones included, and the table's revision.
func (t *Table) List(prefix string, after uint64, now time.Time) ([]Item, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.changedItems(prefix, after), t.revision
}

func (t *Table) changedItems(prefix string, after uint64) []Item {
	var out []Item
	for _, it := range t.items {
		if it.Revision > after && strings.HasPrefix(it.Path, prefix) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Watch is like List, but blocks until there are items to return, stop is
// closed, or wait has passed.
func (t *Table) Watch(prefix string, after uint64, wait time.Duration, stop <-chan struct{}) ([]Item, uint64) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		t.expire(time.Now())
		items, rev, changed := t.changedItems(prefix, after), t.revision, t.changed
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

// Put writes the value at path if its revision is wantRevision, where 0 means
// that the value does not exist. It returns the new revision and whether the
// value was written. A value with a lease is deleted when the lease ends.
func (t *Table) Put(path string, value []byte, wantRevision, leaseID uint64, now time.Time) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.revisionMatches(path, wantRevision) {
		return 0, false
	}
	if leaseID != 0 && t.leases[leaseID] == nil {
		return 0, false
	}
	t.write(Item{Path: path, Value: value, leaseID: leaseID})
	return t.revision, true
}

// Delete removes the value at path if its revision is wantRevision, and reports
// whether it did.
func (t *Table) Delete(path string, wantRevision uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.revisionMatches(path, wantRevision) {
		return false
	}
	t.write(Item{Path: path, Deleted: true})
	return true
}

func (t *Table) revisionMatches(path string, wantRevision uint64) bool {
	it, ok := t.items[path]
	if !ok || it.Deleted {
		return wantRevision == 0
	}
	return it.Revision == wantRevision
}

func (t *Table) write(it Item) {
	t.revision++
	it.Revision = t.revision
	t.items[it.Path] = it
	close(t.changed)
	t.changed = make(chan struct{})
}

// Grant creates a lease and returns its ID.
func (t *Table) Grant(ttl time.Duration, now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastLeaseID++
	t.leases[t.lastLeaseID] = &lease{ttl: ttl, expires: now.Add(ttl)}
	return t.lastLeaseID
}

// Renew extends a lease by its TTL. It reports false if the lease has expired.
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

// Revoke ends a lease and deletes the values attached to it.
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
			if it.leaseID == id && !it.Deleted {
				t.write(Item{Path: path, Deleted: true})
			}
		}
	}
}
