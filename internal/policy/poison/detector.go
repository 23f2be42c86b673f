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
	// announcePeriod is how long a change is announced to other VMs. It spans several
	// messages, because some may be lost.
	announcePeriod = 3 * time.Second
	// expireInterval is the minimum time between two removals of expired evidence.
	expireInterval = time.Second
	// timestampTolerance bounds by how much a timestamp becomes later with each VM that
	// relays it. Messages carry ages, which do not include the network latency.
	timestampTolerance = time.Second
	// minSharedCrashes is the minimum number of crashes for which a hub sends the evidence
	// against a request to all VMs, so that any VM that completes the request clears it.
	minSharedCrashes = 2
	// maxRequests bounds the number of requests with stored evidence, and maxAnnounced the
	// number of requests in one message.
	maxRequests  = 1024
	maxAnnounced = 100
	// completedSlots is the number of slots for recently completed requests. For
	// completedPeriod after a request has completed, crashes are not evidence against it.
	completedSlots  = 1024
	completedPeriod = 10 * time.Second
)

// Finding holds the evidence against one request and its quarantine.
type Finding struct {
	Request     call.Fingerprint
	Crashes     map[ident.Server]time.Time // by server: when it crashed shortly after starting to run the request
	Cleared     time.Time                  // when the request last completed; zero: not known to have completed
	Quarantined time.Time                  // when the request was quarantined; zero: it was not
}

// quarantined reports whether the request was quarantined after it last completed.
func (f *Finding) quarantined() bool { return f.Quarantined.After(f.Cleared) }

// expire drops everything that is not later than oldest.
func (f *Finding) expire(oldest time.Time) {
	maps.DeleteFunc(f.Crashes, func(_ ident.Server, at time.Time) bool { return !at.After(oldest) })
	if !f.Cleared.After(oldest) {
		f.Cleared = time.Time{}
	}
	if !f.Quarantined.After(oldest) {
		f.Quarantined = time.Time{}
	}
}

// empty reports whether the finding holds no information.
func (f *Finding) empty() bool {
	return len(f.Crashes) == 0 && f.Cleared.IsZero() && f.Quarantined.IsZero()
}

// record is a finding and the times that decide whether it is announced and stored.
type record struct {
	Finding
	changed time.Time // when the finding last changed on this VM
	stored  time.Time // when the quarantine was last seen in the store or written to it
}

// Config holds the settings of a Detector.
type Config struct {
	CrashLimit int           // number of crashed servers that quarantines a request
	Duration   time.Duration // how long a quarantine lasts and evidence is kept
}

// Change lists the requests whose quarantine started or ended.
type Change struct {
	Quarantined []call.Fingerprint
	Released    []call.Fingerprint
}

// Empty reports whether no quarantine changed.
func (c Change) Empty() bool { return len(c.Quarantined)+len(c.Released) == 0 }

// Detector holds the evidence and the quarantines that one VM knows. It is safe for
// concurrent use.
type Detector struct {
	cfg      Config
	onChange func(c Change)

	completed   [completedSlots]completion
	quarantined atomic.Pointer[map[call.Fingerprint]time.Time] // quarantined requests, and when the quarantine ends

	mu               sync.Mutex
	requests         map[call.Fingerprint]*record
	attributed       map[ident.Server]struct{} // servers whose crashes are attributed to quarantined requests
	hubs             map[ident.VM]hubResponse  // last responses
	reporters        map[ident.VM]uint64       // quarantine digests of the VMs that report to this one
	announceAllUntil time.Time                 // end of the period in which all findings are announced
	expiredAt        time.Time                 // when expired evidence was last removed
}

// New returns a detector without evidence. The detector calls onChange, without holding
// locks, after each recorded crash and completion on this VM and after a change of
// quarantines. In both cases, the findings must be reported to other VMs.
func New(cfg Config, onChange func(c Change)) *Detector {
	d := &Detector{
		cfg: cfg, onChange: onChange,
		requests:   make(map[call.Fingerprint]*record),
		attributed: make(map[ident.Server]struct{}),
		hubs:       make(map[ident.VM]hubResponse),
		reporters:  make(map[ident.VM]uint64),
	}
	d.quarantined.Store(&map[call.Fingerprint]time.Time{})
	return d
}

// QuarantinedUntil returns when a request's quarantine ends, and false if the request is not
// quarantined.
func (d *Detector) QuarantinedUntil(f call.Fingerprint, now time.Time) (time.Time, bool) {
	until, ok := (*d.quarantined.Load())[f]
	return until, ok && now.Before(until)
}

// QuarantinedCount returns the number of quarantined requests.
func (d *Detector) QuarantinedCount(now time.Time) int {
	n := 0
	for _, until := range *d.quarantined.Load() {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// completion is the last completed request of a slot on this VM. Its fields are not written
// in one atomic operation: a reader may miss a completion if two are written concurrently.
type completion struct {
	request atomic.Uint64
	at      atomic.Int64 // in Unix nanoseconds
}

// recentlyCompleted reports whether the request has completed on this VM within
// completedPeriod.
func (d *Detector) recentlyCompleted(f call.Fingerprint, now time.Time) bool {
	c := &d.completed[f%completedSlots]
	return c.request.Load() == uint64(f) && now.UnixNano()-c.at.Load() < int64(completedPeriod)
}

// RecordCompletion records that a server ran the request to completion.
func (d *Detector) RecordCompletion(f call.Fingerprint, now time.Time) {
	c := &d.completed[f%completedSlots]
	c.request.Store(uint64(f))
	c.at.Store(now.UnixNano())
	d.mu.Lock()
	if r := d.requests[f]; r == nil || now.Sub(r.Cleared) < timestampTolerance {
		d.mu.Unlock()
		return
	}
	d.apply(&Finding{Request: f, Cleared: now}, now)
	change := d.evaluate(now)
	d.mu.Unlock()
	d.onChange(change)
}

// RecordCrash records that a server crashed shortly after it had started to run the request.
// It returns the number of such servers whose crashes are not attributed to other requests.
// It ignores the crash if the request has recently completed on this VM, because the crash
// is then a coincidence.
func (d *Detector) RecordCrash(f call.Fingerprint, server ident.Server, now time.Time) int {
	if d.recentlyCompleted(f, now) {
		return 0
	}
	d.mu.Lock()
	d.apply(&Finding{Request: f, Crashes: map[ident.Server]time.Time{server: now}}, now)
	c := d.evaluate(now)
	n := 0
	if r := d.requests[f]; r != nil {
		n = d.crashCount(r)
	}
	d.mu.Unlock()
	d.onChange(c)
	return n
}

// Merge adds the findings of another VM and returns the resulting change of quarantines. It
// may modify the list.
func (d *Detector) Merge(list []Finding, now time.Time) Change {
	if len(list) == 0 {
		return Change{}
	}
	d.mu.Lock()
	// Skip what is about to expire: VMs that relay it to each other would keep it forever.
	oldest := now.Add(announcePeriod - d.cfg.Duration)
	changed := false
	for i := range list {
		f := &list[i]
		f.expire(oldest)
		changed = !f.empty() && d.apply(f, now) || changed
	}
	var c Change
	if changed {
		c = d.evaluate(now)
	}
	d.mu.Unlock()
	if !c.Empty() {
		d.onChange(c)
	}
	return c
}

// apply merges one finding and reports whether it holds new information.
func (d *Detector) apply(f *Finding, now time.Time) bool {
	r := d.requests[f.Request]
	if r == nil {
		d.evictOldest()
		r = &record{Finding: Finding{Request: f.Request, Crashes: make(map[ident.Server]time.Time)}}
		d.requests[f.Request] = r
	}
	if !r.merge(f) {
		return false
	}
	r.changed = now
	return true
}

// merge adds the new information of a finding and reports whether there is any.
func (r *record) merge(f *Finding) bool {
	changed := false
	if f.Cleared.Sub(r.Cleared) > timestampTolerance {
		r.Cleared, changed = f.Cleared, true
	}
	for s, at := range f.Crashes {
		if _, known := r.Crashes[s]; !known && at.After(r.Cleared) {
			r.Crashes[s], changed = at, true
		}
	}
	maps.DeleteFunc(r.Crashes, func(_ ident.Server, at time.Time) bool { return !at.After(r.Cleared) })
	if f.Quarantined.After(r.Cleared) && !r.quarantined() {
		r.Quarantined, changed = f.Quarantined, true
	}
	return changed
}

// evaluate quarantines the requests that have reached the crash limit, those with the most
// crashes first, because the same crashes are then no longer evidence against other
// requests. It returns the change of quarantines.
func (d *Detector) evaluate(now time.Time) Change {
	d.expire(now)
	d.attributeCrashes()
	for {
		var worst *record
		for _, r := range d.requests {
			if !r.quarantined() && d.crashCount(r) >= d.cfg.CrashLimit && (worst == nil || d.precedes(r, worst)) {
				worst = r
			}
		}
		if worst == nil {
			return d.updateQuarantined(now)
		}
		worst.Quarantined, worst.changed = now, now
		d.attributeCrashes()
	}
}

// attributeCrashes collects the servers whose crashes are attributed to quarantined
// requests.
func (d *Detector) attributeCrashes() {
	clear(d.attributed)
	for _, r := range d.requests {
		if !r.quarantined() {
			continue
		}
		for s := range r.Crashes {
			d.attributed[s] = struct{}{}
		}
	}
}

// precedes orders requests by their crash counts, highest first. Ties are broken by the
// fingerprint, so that VMs agree.
func (d *Detector) precedes(r, o *record) bool {
	return cmp.Or(cmp.Compare(d.crashCount(o), d.crashCount(r)), cmp.Compare(r.Request, o.Request)) < 0
}

// crashCount returns the number of servers that crashed while running a request, without
// crashes that are attributed to other, quarantined requests.
func (d *Detector) crashCount(r *record) int {
	if r.quarantined() || len(d.attributed) == 0 {
		return len(r.Crashes)
	}
	n := 0
	for s := range r.Crashes {
		if _, ok := d.attributed[s]; !ok {
			n++
		}
	}
	return n
}

// updateQuarantined updates the set of quarantined requests and returns its changes.
func (d *Detector) updateQuarantined(now time.Time) Change {
	var c Change
	old, quarantined := *d.quarantined.Load(), make(map[call.Fingerprint]time.Time)
	for f, r := range d.requests {
		if until := r.Quarantined.Add(d.cfg.Duration); r.quarantined() && now.Before(until) {
			quarantined[f] = until
			if _, ok := old[f]; !ok {
				c.Quarantined = append(c.Quarantined, f)
			}
		}
	}
	for f := range old {
		if _, ok := quarantined[f]; !ok {
			c.Released = append(c.Released, f)
		}
	}
	if !maps.EqualFunc(quarantined, old, time.Time.Equal) {
		d.quarantined.Store(&quarantined)
	}
	return c
}

// expire removes expired evidence, at most once per expireInterval.
func (d *Detector) expire(now time.Time) {
	if now.Sub(d.expiredAt) < expireInterval {
		return
	}
	d.expiredAt = now
	oldest := now.Add(-d.cfg.Duration)
	for f, r := range d.requests {
		if r.expire(oldest); r.empty() {
			delete(d.requests, f)
		}
	}
}

// evictOldest makes space for a new finding: if there are maxRequests, it removes the oldest
// one that is not a quarantine.
func (d *Detector) evictOldest() {
	if len(d.requests) < maxRequests {
		return
	}
	var oldest *record
	for _, r := range d.requests {
		if !r.quarantined() && (oldest == nil || r.changed.Before(oldest.changed)) {
			oldest = r
		}
	}
	if oldest != nil {
		delete(d.requests, oldest.Request)
	}
}

// sorted returns up to maxAnnounced of the findings that include selects, newest first.
func (d *Detector) sorted(include func(r *record) bool) []Finding {
	var list []*record
	for _, r := range d.requests {
		if include(r) {
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
