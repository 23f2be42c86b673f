package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

const (
	// announceTime is how long a change is announced to other VMs: several of their
	// messages may be lost.
	announceTime = 3 * time.Second
	// expireEvery is the least time between two looks for what is too old.
	expireEvery = time.Second
	// skew bounds how much later a moment seems to be for each VM that passes it on.
	skew = time.Second
	// suspectCrashes is from how many crashes on all VMs have to know a request, so
	// that whichever completes it clears it.
	suspectCrashes = 2
	// maxRequests bounds the requests that evidence is kept against, and maxAnnounced
	// those in one message.
	maxRequests  = 1024
	maxAnnounced = 100
	// completedSlots is the number of requests that are remembered as completed, and
	// completedTime for how long one counts as sound after it completed.
	completedSlots = 1024
	completedTime  = 10 * time.Second
)

// Finding is what is known of one request.
type Finding struct {
	Request     call.Fingerprint
	Crashes     map[ident.Server]time.Time // when servers crashed that had begun to run it
	Cleared     time.Time                  // when it last completed; zero: it is not known to
	Quarantined time.Time                  // when it was quarantined; zero: it was not
}

// held reports whether the request is quarantined by what is known of it.
func (f *Finding) held() bool { return f.Quarantined.After(f.Cleared) }

// forget drops what is not newer than a moment.
func (f *Finding) forget(oldest time.Time) {
	maps.DeleteFunc(f.Crashes, func(_ ident.Server, at time.Time) bool { return !at.After(oldest) })
	if !f.Cleared.After(oldest) {
		f.Cleared = time.Time{}
	}
	if !f.Quarantined.After(oldest) {
		f.Quarantined = time.Time{}
	}
}

// empty reports whether nothing is known of the request.
func (f *Finding) empty() bool {
	return len(f.Crashes) == 0 && f.Cleared.IsZero() && f.Quarantined.IsZero()
}

// record is a finding and its spread.
type record struct {
	Finding
	changed time.Time
	stored  time.Time // when the store was last seen to hold the quarantine, or it was written there
}

// Config is what varies between deployments.
type Config struct {
	Crashes int           // servers that crash under a request until it is quarantined
	Time    time.Duration // for which it is, and for which evidence is kept
}

// Change is a change of verdicts.
type Change struct {
	Quarantined []call.Fingerprint
	Released    []call.Fingerprint
}

// Empty reports whether no verdict changed.
func (c Change) Empty() bool { return len(c.Quarantined)+len(c.Released) == 0 }

// Book holds what one VM knows. It is safe for use by several goroutines.
type Book struct {
	cfg      Config
	onChange func(c Change)

	completed [completedSlots]completion
	held      atomic.Pointer[map[call.Fingerprint]time.Time] // quarantined requests, and until when

	mu         sync.Mutex
	requests   map[call.Fingerprint]*record
	attributed map[ident.Server]struct{} // servers whose crashes quarantined requests explain
	hubs       map[ident.VM]hub          // by their answers
	reporters  map[ident.VM]uint64       // digests of the verdicts of VMs that report to this one
	all        time.Time                 // until when everything is announced
	expired    time.Time                 // when what is too old was last forgotten
}

// New makes a book without evidence. It calls onChange, without locks, after evidence of
// this VM's own and after a change of verdicts; others have to learn both.
func New(cfg Config, onChange func(c Change)) *Book {
	b := &Book{
		cfg: cfg, onChange: onChange,
		requests:   make(map[call.Fingerprint]*record),
		attributed: make(map[ident.Server]struct{}),
		hubs:       make(map[ident.VM]hub),
		reporters:  make(map[ident.VM]uint64),
	}
	b.held.Store(&map[call.Fingerprint]time.Time{})
	return b
}

// Until returns the moment until which a request is quarantined, and false if it is not.
func (b *Book) Until(f call.Fingerprint, now time.Time) (time.Time, bool) {
	until, ok := (*b.held.Load())[f]
	return until, ok && now.Before(until)
}

// Len returns how many requests are quarantined.
func (b *Book) Len(now time.Time) int {
	n := 0
	for _, until := range *b.held.Load() {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// completion is the last request of a slot that completed at this VM. Its members are
// not written as one: a reader that meets two writers may miss a completion.
type completion struct {
	request atomic.Uint64
	at      atomic.Int64 // in Unix nanoseconds
}

// recentlyCompleted reports whether the request has completed here recently.
func (b *Book) recentlyCompleted(f call.Fingerprint, now time.Time) bool {
	c := &b.completed[f%completedSlots]
	return c.request.Load() == uint64(f) && now.UnixNano()-c.at.Load() < int64(completedTime)
}

// Completed notes that a server ran the request to its end.
func (b *Book) Completed(f call.Fingerprint, now time.Time) {
	c := &b.completed[f%completedSlots]
	c.request.Store(uint64(f))
	c.at.Store(now.UnixNano())
	b.mu.Lock()
	if r := b.requests[f]; r == nil || now.Sub(r.Cleared) < skew {
		b.mu.Unlock()
		return
	}
	b.take(&Finding{Request: f, Cleared: now}, now)
	change := b.evaluate(now)
	b.mu.Unlock()
	b.onChange(change)
}

// Crashed notes that a server crashed which had begun to run the request. It returns how
// many did that nothing else explains. A request that has completed here recently has
// met the server's end by chance.
func (b *Book) Crashed(f call.Fingerprint, server ident.Server, now time.Time) int {
	if b.recentlyCompleted(f, now) {
		return 0
	}
	b.mu.Lock()
	b.take(&Finding{Request: f, Crashes: map[ident.Server]time.Time{server: now}}, now)
	c := b.evaluate(now)
	n := 0
	if r := b.requests[f]; r != nil {
		n = b.count(r)
	}
	b.mu.Unlock()
	b.onChange(c)
	return n
}

// Merge takes what another VM knows, which it may alter, and returns how that changes
// verdicts.
func (b *Book) Merge(list []Finding, now time.Time) Change {
	if len(list) == 0 {
		return Change{}
	}
	b.mu.Lock()
	// What is about to expire is not taken: VMs that pass it on would keep it alive.
	oldest := now.Add(announceTime - b.cfg.Time)
	changed := false
	for i := range list {
		f := &list[i]
		f.forget(oldest)
		changed = !f.empty() && b.take(f, now) || changed
	}
	var c Change
	if changed {
		c = b.evaluate(now)
	}
	b.mu.Unlock()
	if !c.Empty() {
		b.onChange(c)
	}
	return c
}

// take merges one finding, and reports whether anything of it is new.
func (b *Book) take(f *Finding, now time.Time) bool {
	r := b.requests[f.Request]
	if r == nil {
		b.makeRoom()
		r = &record{Finding: Finding{Request: f.Request, Crashes: make(map[ident.Server]time.Time)}}
		b.requests[f.Request] = r
	}
	if !r.merge(f) {
		return false
	}
	r.changed = now
	return true
}

// merge takes what is new of a finding, and reports whether anything is.
func (r *record) merge(f *Finding) bool {
	changed := false
	if f.Cleared.Sub(r.Cleared) > skew {
		r.Cleared, changed = f.Cleared, true
	}
	for s, at := range f.Crashes {
		if _, known := r.Crashes[s]; !known && at.After(r.Cleared) {
			r.Crashes[s], changed = at, true
		}
	}
	maps.DeleteFunc(r.Crashes, func(_ ident.Server, at time.Time) bool { return !at.After(r.Cleared) })
	if f.Quarantined.After(r.Cleared) && !r.held() {
		r.Quarantined, changed = f.Quarantined, true
	}
	return changed
}

// evaluate quarantines requests, those with the most crashes first: these explain the same
// crashes under others. It returns how the verdicts change.
func (b *Book) evaluate(now time.Time) Change {
	b.expire(now)
	b.attribute()
	for {
		var worst *record
		for _, r := range b.requests {
			if !r.held() && b.count(r) >= b.cfg.Crashes && (worst == nil || b.before(r, worst)) {
				worst = r
			}
		}
		if worst == nil {
			return b.publish(now)
		}
		worst.Quarantined, worst.changed = now, now
		b.attribute()
	}
}

// attribute collects the servers whose crashes are explained.
func (b *Book) attribute() {
	clear(b.attributed)
	for _, r := range b.requests {
		if !r.held() {
			continue
		}
		for s := range r.Crashes {
			b.attributed[s] = struct{}{}
		}
	}
}

// before orders requests by their crashes; the fingerprint decides among equals, so that
// VMs agree.
func (b *Book) before(r, o *record) bool {
	return cmp.Or(cmp.Compare(b.count(o), b.count(r)), cmp.Compare(r.Request, o.Request)) < 0
}

// count returns the crashes under a request that no quarantined one explains.
func (b *Book) count(r *record) int {
	if r.held() || len(b.attributed) == 0 {
		return len(r.Crashes)
	}
	n := 0
	for s := range r.Crashes {
		if _, ok := b.attributed[s]; !ok {
			n++
		}
	}
	return n
}

// publish brings the quarantined requests up to date.
func (b *Book) publish(now time.Time) Change {
	var c Change
	old, held := *b.held.Load(), make(map[call.Fingerprint]time.Time)
	for f, r := range b.requests {
		if until := r.Quarantined.Add(b.cfg.Time); r.held() && now.Before(until) {
			held[f] = until
			if _, ok := old[f]; !ok {
				c.Quarantined = append(c.Quarantined, f)
			}
		}
	}
	for f := range old {
		if _, ok := held[f]; !ok {
			c.Released = append(c.Released, f)
		}
	}
	if !maps.EqualFunc(held, old, time.Time.Equal) {
		b.held.Store(&held)
	}
	return c
}

// expire forgets what is too old, at times.
func (b *Book) expire(now time.Time) {
	if now.Sub(b.expired) < expireEvery {
		return
	}
	b.expired = now
	oldest := now.Add(-b.cfg.Time)
	for f, r := range b.requests {
		if r.forget(oldest); r.empty() {
			delete(b.requests, f)
		}
	}
}

// makeRoom forgets the oldest evidence if there is too much.
func (b *Book) makeRoom() {
	if len(b.requests) < maxRequests {
		return
	}
	var oldest *record
	for _, r := range b.requests {
		if !r.held() && (oldest == nil || r.changed.Before(oldest.changed)) {
			oldest = r
		}
	}
	if oldest != nil {
		delete(b.requests, oldest.Request)
	}
}

// sorted returns the records that fit, the newest first.
func (b *Book) sorted(fit func(r *record) bool) []Finding {
	var list []*record
	for _, r := range b.requests {
		if fit(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y *record) int {
		return cmp.Or(y.changed.Compare(x.changed), cmp.Compare(x.Request, y.Request))
	})
	out := make([]Finding, 0, min(len(list), maxAnnounced))
	for _, r := range list[:min(len(list), maxAnnounced)] {
		f := r.Finding
		f.Crashes = maps.Clone(f.Crashes)
		out = append(out, f)
	}
	return out
}
