package poison

import (
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

// HubAnswered notes that a hub has answered, by its start. One that starts may know nothing:
// everything is announced again for a while.
func (b *Book) HubAnswered(hub ident.VM, start uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hubs[hub] == start {
		return
	}
	b.hubs[hub] = start
	b.all = now.Add(announceTime)
}

// Report returns what this VM reports to hubs: what changed recently, and all that are
// quarantined.
func (b *Book) Report(now time.Time) []Finding {
	return b.announced(now, func(*record) bool { return true })
}

// Answer returns what this VM, as a hub, answers to those that report to it: evidence
// against a request from suspectCrashes on.
func (b *Book) Answer(now time.Time) []Finding {
	return b.announced(now, func(r *record) bool { return !r.Cleared.IsZero() || len(r.Crashes) >= suspectCrashes })
}

func (b *Book) announced(now time.Time, suspect func(r *record) bool) []Finding {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.requests) == 0 {
		return nil
	}
	b.expire(now)
	return b.sorted(func(r *record) bool {
		return r.held() || suspect(r) && (now.Sub(r.changed) < announceTime || now.Before(b.all))
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
