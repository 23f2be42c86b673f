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
	// timestampUnit is the precision of timestamps in messages.
	timestampUnit = time.Millisecond
	// minSharedCrashes is the minimum number of crashes for which a hub sends the evidence
	// against a suspect to all VMs, so that VMs at which it passes report that.
	minSharedCrashes = 2
	// maxCredit bounds how many crashes passes make up for in advance. Servers of a rack or
	// a failure domain crash at once.
	maxCredit = 3
	// takeOverCrashes is by how many crashes the evidence against a less specific suspect
	// has to exceed that against a quarantined one.
	takeOverCrashes = 2
	// maxSuspects bounds the number of suspects with stored evidence. maxAnnounced and
	// maxAnnouncedEvidence bound the number of suspects, and of their crashes and passes, in
	// one message.
	maxSuspects          = 1024
	maxAnnounced         = 100
	maxAnnouncedEvidence = 400
)

// Config holds the settings of a Detector.
type Config struct {
	CrashLimit int           // number of crashed servers that quarantines a suspect
	Duration   time.Duration // how long a quarantine lasts and evidence is kept
}

// Verdict is a suspect that is quarantined, or was until now, and the servers whose crashes are
// evidence against it.
type Verdict struct {
	Suspect
	Servers []ident.Server
}

// Change lists the suspects whose quarantine started or ended.
type Change struct {
	Quarantined []Verdict
	Released    []Verdict
}

// Empty reports whether no quarantine changed.
func (c Change) Empty() bool { return len(c.Quarantined)+len(c.Released) == 0 }

// Detector holds the evidence and the quarantines that one VM knows. It is safe for
// concurrent use.
type Detector struct {
	cfg         Config
	maxEvidence int // per suspect, of crashes and of passes
	onChange    func(c Change)

	quarantined atomic.Pointer[map[call.Fingerprint]time.Time] // quarantined suspects, and when the quarantine ends

	mu               sync.Mutex
	records          map[call.Fingerprint]*record
	passes           passLog
	unconfirmed      map[ident.Server][]unconfirmed
	hubs             map[ident.VM]hubResponse // last responses
	reporters        map[ident.VM]uint64      // quarantine digests of the VMs that report to this one
	announceAllUntil time.Time                // end of the period in which all findings are announced
	expiredAt        time.Time                // when expired evidence was last removed
}

// New returns a detector without evidence. The detector calls onChange, without holding
// locks, after each recorded crash and pass that is new evidence, and after a change of
// quarantines. In all cases, the findings must be reported to other VMs.
func New(cfg Config, onChange func(c Change)) *Detector {
	d := &Detector{
		cfg: cfg, maxEvidence: cfg.CrashLimit + maxCredit + 2, onChange: onChange,
		records:     make(map[call.Fingerprint]*record),
		unconfirmed: make(map[ident.Server][]unconfirmed),
		hubs:        make(map[ident.VM]hubResponse),
		reporters:   make(map[ident.VM]uint64),
	}
	d.quarantined.Store(&map[call.Fingerprint]time.Time{})
	return d
}

// Quarantined returns the first of the suspects that is quarantined and when its quarantine
// ends, and false if none is.
func (d *Detector) Quarantined(list []Suspect, now time.Time) (Suspect, time.Time, bool) {
	m := *d.quarantined.Load()
	if len(m) == 0 {
		return Suspect{}, time.Time{}, false
	}
	for _, s := range list {
		if until, ok := m[s.ID]; ok && now.Before(until) {
			return s, until, true
		}
	}
	return Suspect{}, time.Time{}, false
}

// QuarantinedCount returns the number of quarantined suspects.
func (d *Detector) QuarantinedCount(now time.Time) int {
	n := 0
	for _, until := range *d.quarantined.Load() {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// RecordPass records that a server got past the beginning of its response to a request with
// these suspects.
func (d *Detector) RecordPass(list []Suspect, server ident.Server, now time.Time) {
	d.mu.Lock()
	isNew := false
	for _, s := range list {
		d.passes.add(s.ID, server, now)
		if r := d.records[s.ID]; r != nil && r.needsPass(server, r.lastCrash(), now) {
			isNew = d.addPass(r, pass{server: server, at: now}, now) || isNew
		}
	}
	if !isNew {
		d.mu.Unlock()
		return
	}
	c := d.evaluate(now)
	d.mu.Unlock()
	d.onChange(c)
}

// addPass adds a pass on this VM to a record and reports whether it is new evidence.
func (d *Detector) addPass(r *record, p pass, now time.Time) bool {
	f := Finding{Suspect: r.Suspect, Passes: map[ident.Server]time.Time{p.server: p.at}}
	if !r.merge(&f, d.maxEvidence) {
		return false
	}
	r.changed = now
	return true
}

// RecordCrash records that a server crashed when it had only just begun to respond to a
// request with these suspects. It returns the number of crashes that count against the most
// suspicious one.
func (d *Detector) RecordCrash(list []Suspect, server ident.Server, now time.Time) int {
	d.mu.Lock()
	d.addCrash(list, server, now, now)
	d.confirmSameCrash(server, now, now)
	c := d.evaluate(now)
	n := 0
	for _, s := range list {
		if r := d.records[s.ID]; r != nil {
			n = max(n, r.score(nil))
		}
	}
	d.mu.Unlock()
	d.onChange(c)
	return n
}

// addCrash adds the crash of a server to the evidence against suspects. If one of them is
// quarantined, the crash is evidence against that one only.
func (d *Detector) addCrash(list []Suspect, server ident.Server, at, now time.Time) {
	if s, _, ok := d.Quarantined(list, now); ok {
		list = []Suspect{s}
	}
	for _, s := range list {
		d.apply(&Finding{Suspect: s, Crashes: map[ident.Server]time.Time{server: at}}, now)
	}
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
	for i := range list {
		for s, at := range list[i].Crashes {
			changed = d.confirmSameCrash(s, at, now) || changed
		}
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

// apply merges one finding and reports whether it holds new information. New crashes are
// weighed against what has recently passed on this VM.
func (d *Detector) apply(f *Finding, now time.Time) bool {
	r := d.records[f.ID]
	if r == nil {
		d.evictWeakest()
		r = &record{Finding: newFinding(f.Suspect)}
		d.records[f.ID] = r
	}
	crashes := len(r.Crashes)
	if !r.merge(f, d.maxEvidence) {
		return false
	}
	r.changed = now
	if len(r.Crashes) > crashes {
		for _, p := range d.passes.recent(f.ID, now) {
			if r.needsPass(p.server, now.Add(-passPeriod), now) {
				d.addPass(r, p, now)
			}
		}
	}
	return true
}

// evaluate decides which suspects are quarantined and returns the change. A suspect that this
// VM's evidence does not convict is released, unless the VM knows of the quarantine but not of
// its grounds.
func (d *Detector) evaluate(now time.Time) Change {
	d.expire(now)
	var candidates []suspicion
	explained := make(map[ident.Server]struct{})
	for _, r := range d.records {
		switch {
		case len(r.Crashes) >= d.cfg.CrashLimit:
			candidates = append(candidates, suspicion{record: r, score: r.score(nil)})
		case r.quarantined():
			r.explain(explained)
		}
	}
	slices.SortFunc(candidates, func(x, y suspicion) int { return moreSpecific(x.Suspect, y.Suspect) })
	open := candidates[:0:0]
	for _, s := range candidates {
		switch {
		case !s.quarantined():
			open = append(open, s)
		case s.score >= d.cfg.CrashLimit && !d.isSuperseded(s, candidates):
			s.explain(explained)
		default:
			s.Released, s.changed = later(now, s.Quarantined), now
			open = append(open, s)
		}
	}
	d.convict(open, explained, now)
	return d.updateQuarantined(now)
}

// convict quarantines suspects, those with the highest scores first. Crashes that they explain
// do not count against the others.
func (d *Detector) convict(list []suspicion, explained map[ident.Server]struct{}, now time.Time) {
	for len(list) > 0 {
		worst := 0
		for i := range list {
			if list[i].score = list[i].record.score(explained); list[i].score > list[worst].score {
				worst = i
			}
		}
		s := list[worst]
		if s.score < d.cfg.CrashLimit {
			return
		}
		list = slices.Delete(list, worst, worst+1)
		s.explain(explained)
		s.Quarantined, s.changed = later(now, s.Released.Add(timestampUnit)), now
	}
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// suspicion is a record and its score.
type suspicion struct {
	*record
	score int
}

// isSuperseded reports whether another suspect explains the crashes for which s is
// quarantined: a more specific one with as much evidence against it, such as a part that always
// follows s in the prompt, or a less specific one with clearly more, such as a part of a request
// that was sent again and again before others with the same part.
func (d *Detector) isSuperseded(s suspicion, candidates []suspicion) bool {
	return slices.ContainsFunc(candidates, func(o suspicion) bool {
		if o.Depth == s.Depth || o.Depth > s.Depth && o.score < s.score || o.Depth < s.Depth && o.score < s.score+takeOverCrashes {
			return false
		}
		explained := make(map[ident.Server]struct{}, len(o.Crashes))
		o.explain(explained)
		return s.record.score(explained) < d.cfg.CrashLimit
	})
}

// explain adds the servers whose crashes the suspect explains.
func (r *record) explain(explained map[ident.Server]struct{}) {
	for s := range r.Crashes {
		explained[s] = struct{}{}
	}
}

// updateQuarantined updates the set of quarantined suspects and returns its changes.
func (d *Detector) updateQuarantined(now time.Time) Change {
	var c Change
	old, quarantined := *d.quarantined.Load(), make(map[call.Fingerprint]time.Time)
	for f, r := range d.records {
		if until := r.Quarantined.Add(d.cfg.Duration); r.quarantined() && now.Before(until) {
			quarantined[f] = until
			if _, ok := old[f]; !ok {
				c.Quarantined = append(c.Quarantined, r.verdict())
			}
		}
	}
	for f := range old {
		if _, ok := quarantined[f]; ok {
			continue
		}
		v := Verdict{Suspect: Suspect{ID: f}}
		if r := d.records[f]; r != nil {
			v = r.verdict()
		}
		c.Released = append(c.Released, v)
	}
	if !maps.EqualFunc(quarantined, old, time.Time.Equal) {
		d.quarantined.Store(&quarantined)
	}
	return c
}

func (r *record) verdict() Verdict {
	return Verdict{Suspect: r.Suspect, Servers: slices.Sorted(maps.Keys(r.Crashes))}
}

// expire removes expired evidence, at most once per expireInterval.
func (d *Detector) expire(now time.Time) {
	if now.Sub(d.expiredAt) < expireInterval {
		return
	}
	d.expiredAt = now
	oldest := now.Add(-d.cfg.Duration)
	for f, r := range d.records {
		if r.expire(oldest); r.empty() {
			delete(d.records, f)
		}
	}
	d.expireUnconfirmed(now)
}

// evictWeakest makes space for a new finding: if there are maxSuspects, it removes the quarter
// with the least evidence. Unique suspects must not displace one whose evidence grows.
func (d *Detector) evictWeakest() {
	if len(d.records) < maxSuspects {
		return
	}
	list := slices.SortedFunc(maps.Values(d.records), strongestFirst)
	for _, r := range list[maxSuspects*3/4:] {
		if !r.quarantined() {
			delete(d.records, r.ID)
		}
	}
}

// strongestFirst orders records: quarantined ones first, then by the number of crashes, then
// the newest first.
func strongestFirst(x, y *record) int {
	rank := func(r *record) int {
		if r.quarantined() {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(len(y.Crashes), len(x.Crashes)), y.changed.Compare(x.changed), cmp.Compare(x.ID, y.ID))
}

// sorted returns those of the findings that include selects, strongest first, as far as they
// fit into a message.
func (d *Detector) sorted(include func(r *record) bool) []Finding {
	var list []*record
	for _, r := range d.records {
		if include(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, strongestFirst)
	out := make([]Finding, 0, min(len(list), maxAnnounced))
	evidence := 0
	for _, r := range list[:min(len(list), maxAnnounced)] {
		if evidence += len(r.Crashes) + len(r.Passes); evidence > maxAnnouncedEvidence && len(out) > 0 {
			break
		}
		f := r.Finding
		f.Crashes, f.Passes = maps.Clone(f.Crashes), maps.Clone(f.Passes)
		out = append(out, f)
	}
	return out
}
