package hubs

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// Beat is how often a VM reports though nothing changed.
	Beat = 500 * time.Millisecond
	// Count is how many hubs there are: two that ask the store, and two that take
	// their place. They share the homes of services.
	Count = 4
	// listed is how many candidates a hub names: one more for each hub's place.
	listed = 2 * Count
	// Silence is how long a VM may say nothing before it counts as gone.
	Silence = time.Second
	// seekEvery is how often a VM is reported to that has not answered.
	seekEvery = 150 * time.Millisecond
	// leastTries is how many reports a VM must have left unanswered to count as gone.
	leastTries = 4
	// early is by how much a report may be sent before its time, with others.
	early = 10 * time.Millisecond
	// retryAfter is the pause before a VM that did not answer is reported to again.
	retryAfter = 3 * time.Second
	// forget is how long a silent VM counts as one that may still be there.
	forget = 15 * time.Second
	// StartTime is how long a VM that starts looks for others before it acts by itself.
	StartTime = 1500 * time.Millisecond
	// joinTime is how long a VM that has heard the first other one waits at most until
	// it has heard of the hubs, and does not take itself for one. It stops waiting once
	// it hears all that it takes for hubs, and they are the same for settleTime.
	joinTime   = 400 * time.Millisecond
	settleTime = 80 * time.Millisecond
	// joinEvery is how often it reports meanwhile: others hear of one another, too.
	joinEvery = 80 * time.Millisecond
	// orderTime is how long the first places are taken to be unchanged, so that
	// they need not be sought for each message.
	orderTime = 50 * time.Millisecond
)

// StoreStatus is what a VM says of its way to the store.
type StoreStatus struct {
	Asks bool          // it asks the store for changes
	Age  time.Duration // of what it knows of the servers
}

// Report is what a VM says of itself to those that it reports to, and they to it.
type Report struct {
	Candidate
	StoreStatus
}

// vm is what is known of another VM.
type vm struct {
	Candidate
	heard    time.Time // its last message
	reported time.Time // its last report
	tried    time.Time // when it was last reported to
	unheard  time.Time // when it was first reported to since it was heard; zero: not yet
	tries    int       // reports to it since then
	status   StoreStatus
}

// naming is a list of candidates that a hub, or the store, has named.
type naming struct {
	at     time.Time
	digest uint64
	list   []Candidate
}

// fromStore stands for the store among those that name candidates.
const fromStore ident.VM = ""

// Hubs holds what one VM knows of the others. It is safe for use by several
// goroutines.
type Hubs struct {
	own   Candidate
	seeds []netip.AddrPort
	start time.Time

	mu      sync.Mutex
	vms     map[ident.VM]*vm
	named   map[ident.VM]naming // by who named them
	joined  time.Time           // when another VM was first heard, or none was to be looked for
	store   time.Time           // when the store last answered this VM
	first   []Candidate         // of the order
	firstAt time.Time
	rank    int       // of this VM in first; len(first): none
	changed time.Time // when another VM came to be a hub
}

// New makes the knowledge of a VM that has heard nobody, at its start. The seeds are
// addresses of VMs that it asks for others while it hears nobody.
func New(own Candidate, seeds []netip.AddrPort, start time.Time) *Hubs {
	return &Hubs{own: own, seeds: seeds, start: start, vms: make(map[ident.VM]*vm), named: make(map[ident.VM]naming)}
}

// hear takes a message of another VM.
func (h *Hubs) hear(r Report, now time.Time) *vm {
	v := h.vms[r.VM]
	if v == nil {
		v = &vm{}
		h.vms[r.VM] = v
	}
	if now.Sub(v.heard) >= Silence || v.Candidate != r.Candidate {
		h.firstAt = time.Time{}
	}
	v.Candidate, v.status = r.Candidate, r.StoreStatus
	v.heard, v.unheard, v.tries = now, time.Time{}, 0
	if h.joined.IsZero() {
		h.joined = now
	}
	return v
}

// Reported takes another VM's report.
func (h *Hubs) Reported(r Report, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hear(r, now).reported = now
}

// Answered takes a hub's answer to a report. The hub leaves out the candidates that
// it names if they are those of the digest that this VM told it. It returns whether
// this VM has to report to others than before, which it should do at once.
func (h *Hubs) Answered(r Report, list []Candidate, digest uint64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hear(r, now)
	old := h.named[r.VM]
	switch {
	case old.digest == digest:
		old.at = now
		h.named[r.VM] = old
	case len(list) > 0:
		if now.Sub(old.at) >= Silence {
			old.list = nil // the hub is new, or has come back itself
		}
		h.again(old.list, list, now)
		h.named[r.VM] = naming{at: now, digest: digest, list: list}
		h.firstAt = time.Time{}
	}
	for _, c := range h.others(now) {
		if v := h.vms[c.VM]; v == nil || v.heard.IsZero() && v.tried.IsZero() {
			return true
		}
	}
	return false
}

// again gives VMs that did not answer another chance: those that a hub names now and
// did not name before have come back.
func (h *Hubs) again(old, list []Candidate, now time.Time) {
	for _, c := range list {
		if v := h.vms[c.VM]; v.silent(now) && !slices.Contains(old, c) {
			v.unheard, v.tries = time.Time{}, 0
		}
	}
}

// Listed takes the names in the store.
func (h *Hubs) Listed(names map[ident.VM]netip.AddrPort, now time.Time) {
	list := make([]Candidate, 0, len(names))
	for name, addr := range names {
		if name != h.own.VM {
			list = append(list, Candidate{VM: name, Addr: addr})
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.store = now
	h.named[fromStore] = naming{at: now, list: list}
	h.firstAt = time.Time{}
}

// Answering returns how many of the other VMs that the store names may answer.
func (h *Hubs) Answering(names map[ident.VM]netip.AddrPort, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for name := range names {
		if name != h.own.VM && !h.vms[name].silent(now) {
			n++
		}
	}
	return n
}

// Alone has this VM act though it has heard nobody: nobody is there to be heard.
func (h *Hubs) Alone(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.joined = now.Add(-joinTime)
}

// Leave has this VM stand last in the order, so that another takes its place as a
// hub before it ends.
func (h *Hubs) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.own.Capacity = 0
	h.firstAt = time.Time{}
}

// Own returns what this VM says of itself.
func (h *Hubs) Own() Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own
}

// silent reports whether a VM does not answer.
func (v *vm) silent(now time.Time) bool {
	return v != nil && v.tries >= leastTries && now.Sub(v.unheard) >= Silence
}

// hears reports whether a VM was heard lately.
func (v *vm) hears(now time.Time) bool { return v != nil && now.Sub(v.heard) < Silence }

// order brings the first places up to date. They go to VMs that are heard, and to
// those that hubs name and that have not failed to answer. What the store names
// counts while no hub names anybody.
func (h *Hubs) order(now time.Time) []Candidate {
	if now.Sub(h.firstAt) < orderTime {
		return h.first
	}
	all := map[ident.VM]Candidate{h.own.VM: h.own}
	for name, v := range h.vms {
		if v.hears(now) {
			all[name] = v.Candidate
		}
		if now.Sub(v.heard) > forget && now.Sub(v.tried) > forget {
			delete(h.vms, name)
			delete(h.named, name)
		}
	}
	for _, c := range h.namedNow(now) {
		if _, ok := all[c.VM]; !ok && !h.vms[c.VM].silent(now) {
			all[c.VM] = c
		}
	}
	list := make([]Candidate, 0, len(all))
	for _, c := range all {
		list = append(list, c)
	}
	slices.SortFunc(list, compare)
	spread(list)
	if !slices.Equal(hubsOf(list), hubsOf(h.first)) {
		h.changed = now
	}
	h.first, h.firstAt = list[:min(len(list), listed)], now
	h.rank = slices.IndexFunc(h.first, func(c Candidate) bool { return c.VM == h.own.VM })
	if h.rank < 0 {
		h.rank = len(h.first)
	}
	return h.first
}

// hubsOf returns the hubs among the first candidates.
func hubsOf(first []Candidate) []Candidate { return first[:min(len(first), Count)] }

// namedNow returns the candidates of the namings that are as new as the newest one:
// while all hubs are lost, those that they named last take their place.
func (h *Hubs) namedNow(now time.Time) []Candidate {
	var newest time.Time
	for by, n := range h.named {
		if by != fromStore && n.at.After(newest) {
			newest = n.at
		}
	}
	if newest.IsZero() {
		return h.named[fromStore].list
	}
	var out []Candidate
	for by, n := range h.named {
		if by != fromStore && newest.Sub(n.at) < Silence {
			out = append(out, n.list...)
		}
	}
	if h.lost(out, now) {
		return h.named[fromStore].list
	}
	return out
}

// lost reports whether none of the candidates answers.
func (h *Hubs) lost(list []Candidate, now time.Time) bool {
	for _, c := range list {
		if c.VM != h.own.VM && !h.vms[c.VM].silent(now) {
			return false
		}
	}
	return true
}

// Names returns the candidates that this VM names to others: those that it hears
// itself, so that nobody names one for ever that is gone.
func (h *Hubs) Names(now time.Time) []Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Candidate
	for _, c := range h.order(now) {
		if c.VM == h.own.VM || h.vms[c.VM].hears(now) {
			out = append(out, c)
		}
	}
	return out
}

// Named returns the digest of the candidates that a hub named last.
func (h *Hubs) Named(hub ident.VM) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.named[hub].digest
}

// Targets returns the VMs to report to now: the hubs, and at times one that did not
// answer, or that nobody but the store names, to hear whether it does now. All of the
// hubs are due if something has to be told at once.
func (h *Hubs) Targets(now time.Time, all bool) []Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.others(now)
	if c, ok := h.missing(out, now); ok {
		out = append(out, c)
	}
	out = slices.DeleteFunc(out, func(c Candidate) bool { return !all && h.due(c.VM).Sub(now) > early })
	for _, c := range out {
		h.try(c, now)
	}
	if h.alone(now) {
		for _, addr := range h.seeds {
			if addr != h.own.Addr {
				out = append(out, Candidate{Addr: addr})
			}
		}
	}
	return out
}

// alone reports whether no other VM is heard.
func (h *Hubs) alone(now time.Time) bool {
	for _, v := range h.vms {
		if v.hears(now) {
			return false
		}
	}
	return true
}

// Next returns when the next report is due.
func (h *Hubs) Next(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := Beat
	if h.alone(now) {
		next = seekEvery
	}
	for _, c := range h.others(now) {
		next = min(next, h.due(c.VM).Sub(now))
	}
	return max(next, early)
}

// others returns the hubs that this VM reports to.
func (h *Hubs) others(now time.Time) []Candidate {
	first := h.order(now)
	out := make([]Candidate, 0, Count+1)
	for _, c := range hubsOf(first) {
		if c.VM != h.own.VM {
			out = append(out, c)
		}
	}
	return out
}

// due returns when a VM is to be reported to. One that has not answered soon is told
// again, so that a few lost messages do not pass for its end.
func (h *Hubs) due(name ident.VM) time.Time {
	v := h.vms[name]
	switch {
	case v == nil:
		return time.Time{}
	case !h.joined.IsZero() && v.tried.Sub(h.joined) < joinTime:
		return v.tried.Add(joinEvery)
	case !v.unheard.IsZero():
		return v.tried.Add(seekEvery)
	default:
		return v.tried.Add(Beat)
	}
}

// try notes that a VM is reported to. Reports that were given up long ago, without an
// answer, do not count.
func (h *Hubs) try(c Candidate, now time.Time) {
	v := h.vms[c.VM]
	if v == nil {
		v = &vm{Candidate: c}
		h.vms[c.VM] = v
	}
	if !v.silent(now) && now.Sub(v.tried) >= Silence {
		v.unheard, v.tries = time.Time{}, 0
	}
	v.tried = now
	v.tries++
	if v.unheard.IsZero() {
		v.unheard = now
	}
}

// missing returns a candidate that is not heard and was not tried lately. Hubs look
// for all that the store names, others for those that would be hubs.
func (h *Hubs) missing(targets []Candidate, now time.Time) (Candidate, bool) {
	var list []Candidate
	for by, n := range h.named {
		if by != fromStore || h.rank < Count {
			list = append(list, n.list...)
		}
	}
	for _, c := range list {
		v := h.vms[c.VM]
		if c.VM == h.own.VM || v.hears(now) || v != nil && now.Sub(v.tried) < retryAfter {
			continue
		}
		known := func(o Candidate) bool { return o.VM == c.VM }
		if slices.ContainsFunc(targets, known) || h.rank >= Count && !v.silent(now) {
			continue
		}
		return c, true
	}
	return Candidate{}, false
}

// Reporters returns the VMs that report to this one.
func (h *Hubs) Reporters(now time.Time) []Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Candidate
	for _, v := range h.vms {
		if now.Sub(v.reported) < Silence {
			out = append(out, v.Candidate)
		}
	}
	return out
}

// Count returns how many VMs report to this one, and how many did of late.
func (h *Hubs) Count(now time.Time) (known, heard int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.vms {
		if now.Sub(v.reported) < forget {
			known++
		}
		if now.Sub(v.reported) < Silence {
			heard++
		}
	}
	return known, heard
}

// Heard returns how many other VMs are heard.
func (h *Hubs) Heard(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, v := range h.vms {
		if v.hears(now) {
			n++
		}
	}
	return n
}

// Rank is a VM in the order of those that decide for a service.
type Rank struct {
	VM   ident.VM
	Addr netip.AddrPort // not valid: this VM
}

// Order returns the first n hubs in the order in which they decide for a service.
func (h *Hubs) Order(service ident.Service, n int, now time.Time) []Rank {
	h.mu.Lock()
	first := slices.Clone(h.order(now))
	h.mu.Unlock()
	first = hubsOf(first)
	sortForService(service, first)
	out := make([]Rank, 0, n)
	for _, c := range first[:min(len(first), n)] {
		r := Rank{VM: c.VM, Addr: c.Addr}
		if c.VM == h.own.VM {
			r.Addr = netip.AddrPort{}
		}
		out = append(out, r)
	}
	return out
}
