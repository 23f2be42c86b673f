package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

// answerTime is how long a hub's answer counts.
const answerTime = 2 * time.Second

// hub is what a hub said in its last answer.
type hub struct {
	start  uint64
	digest uint64 // of its verdicts
	at     time.Time
}

// HubAnswered notes a hub's answer: its start, and the digest of its verdicts. One that
// starts may know nothing: everything is announced again for a while.
func (b *Book) HubAnswered(vm ident.VM, start, digest uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hubs[vm].start != start {
		b.all = now.Add(announceTime)
	}
	b.hubs[vm] = hub{start: start, digest: digest, at: now}
}

// Digest identifies the verdicts; zero: no request is quarantined.
func (b *Book) Digest(now time.Time) uint64 {
	sum := uint64(0)
	for f, until := range *b.held.Load() {
		if now.Before(until) {
			sum ^= xxhash.Sum64String(f.String())
		}
	}
	return sum
}

// Report returns what this VM reports to hubs: what changed recently, and its verdicts
// if a hub has others.
func (b *Book) Report(now time.Time) []Finding {
	own := b.Digest(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	differ := false
	for _, h := range b.hubs {
		differ = differ || h.digest != own && now.Sub(h.at) < answerTime
	}
	return b.announced(now, differ, func(*record) bool { return true })
}

// mostReporters bounds the VMs whose digests are kept: more than any fleet has.
const mostReporters = 10_000

// Reported notes the digest of the verdicts of a VM that reports to this one.
func (b *Book) Reported(vm ident.VM, digest uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.reporters) >= mostReporters {
		clear(b.reporters)
	}
	b.reporters[vm] = digest
}

// Answer returns what this VM, as a hub, answers to another: its verdicts if the VM has
// others, and evidence against a request from suspectCrashes on.
func (b *Book) Answer(to ident.VM, now time.Time) []Finding {
	own := b.Digest(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.announced(now, b.reporters[to] != own, func(r *record) bool { return !r.Cleared.IsZero() || len(r.Crashes) >= suspectCrashes })
}

// announced returns what changed recently, and all verdicts if they are wanted.
func (b *Book) announced(now time.Time, verdicts bool, suspect func(r *record) bool) []Finding {
	if len(b.requests) == 0 {
		return nil
	}
	b.expire(now)
	recent := func(r *record) bool { return now.Sub(r.changed) < announceTime || now.Before(b.all) }
	return b.sorted(func(r *record) bool {
		if r.held() {
			return verdicts || recent(r)
		}
		return suspect(r) && recent(r)
	})
}

// Entry is a quarantined request as the store keeps it.
type Entry struct {
	Request call.Fingerprint
	Until   time.Time
}

// Stored takes the requests that the store holds as quarantined.
func (b *Book) Stored(list []Entry, now time.Time) {
	found := make([]Finding, 0, len(list))
	for _, e := range list {
		until := e.Until
		if latest := now.Add(b.cfg.Time); until.After(latest) {
			until = latest // written by a VM whose clock is ahead
		}
		found = append(found, Finding{Request: e.Request, Quarantined: until.Add(-b.cfg.Time)})
	}
	b.Merge(found, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		if r := b.requests[e.Request]; r != nil {
			r.stored = now
		}
	}
}

// Unstored returns the requests that were quarantined longer than age ago and that the
// store has not been known to hold for a time.
func (b *Book) Unstored(age, unseen time.Duration, now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Entry
	for f, until := range *b.held.Load() {
		r := b.requests[f]
		if r != nil && now.Before(until) && now.Sub(r.Quarantined) >= age && now.Sub(r.stored) >= unseen {
			out = append(out, Entry{Request: f, Until: until})
		}
	}
	return out
}
