package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/ident"
)

// Stream identifies a stream by a hash of the attempt of its client that brought the first event.
type Stream uint64

// StreamOf returns the stream whose first event an attempt brought. It returns zero, which stands
// for an unknown one, if the attempt is empty.
func StreamOf(attempt ident.Request) Stream {
	if attempt == "" {
		return 0
	}
	return Stream(xxhash.Sum64String(string(attempt)))
}

// Record says which version of the software began a stream.
type Record struct {
	Stream  Stream
	Service ident.Service
	Version ident.Version
	TTL     time.Duration // for how long the client may still take the stream up
}

const (
	// purgeInterval is the least time between two searches for expired records.
	purgeInterval = time.Second
	// maxRecords bounds the records that a VM keeps, to some 10 MB. Beyond it, no new ones are
	// kept until others expire.
	maxRecords = 1 << 16
)

// records holds records until they expire. It is safe for concurrent use.
type records struct {
	mu       sync.Mutex
	list     map[Stream]stored
	purgedAt time.Time
}

// stored is a record that is kept.
type stored struct {
	Record
	expires time.Time
	sent    bool // other VMs have it, or sent it
}

func newRecords() *records { return &records{list: make(map[Stream]stored)} }

// put keeps a record, in place of an earlier one of the same stream. It ignores records of unknown
// streams, which are not one stream.
func (r *records) put(rec Record, sent bool, now time.Time) {
	if rec.Stream == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purge(now)
	if _, ok := r.list[rec.Stream]; !ok && len(r.list) >= maxRecords {
		return
	}
	r.list[rec.Stream] = stored{Record: rec, expires: now.Add(rec.TTL), sent: sent}
}

// get returns the record of a stream.
func (r *records) get(id Stream, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.list[id]
	return s.Record, ok && now.Before(s.expires)
}

func (r *records) remove(id Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.list, id)
}

func (r *records) len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list)
}

// takeUnsent returns the records for which chosen returns true and that no other VM has, and
// marks them as sent. Their TTLs are what remains of them. chosen gets the service of a stream and
// the time since it began or was last taken up.
func (r *records) takeUnsent(chosen func(s ident.Service, age time.Duration) bool, now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for id, s := range r.list {
		if s.sent || !now.Before(s.expires) || !chosen(s.Service, now.Sub(s.expires.Add(-s.TTL))) {
			continue
		}
		s.sent = true
		r.list[id] = s
		rec := s.Record
		rec.TTL = s.expires.Sub(now)
		out = append(out, rec)
	}
	return out
}

// purge drops expired records, at intervals.
func (r *records) purge(now time.Time) {
	if now.Sub(r.purgedAt) < purgeInterval {
		return
	}
	r.purgedAt = now
	for id, s := range r.list {
		if !now.Before(s.expires) {
			delete(r.list, id)
		}
	}
}
