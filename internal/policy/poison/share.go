package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

// responseTTL is how long a hub's response is valid.
const responseTTL = 2 * time.Second

// hubResponse is a hub's last response.
type hubResponse struct {
	instance uint64 // identifies the instance of the hub's process
	digest   uint64 // of its quarantines
	at       time.Time
}

// HandleResponse records a hub's response: the instance of the hub and the digest of its
// quarantines. A restarted hub may hold no findings, so all findings are announced again
// for announcePeriod.
func (d *Detector) HandleResponse(vm ident.VM, instance, digest uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hubs[vm].instance != instance {
		d.announceAllUntil = now.Add(announcePeriod)
	}
	d.hubs[vm] = hubResponse{instance: instance, digest: digest, at: now}
}

// Digest returns a hash of the set of quarantined suspects, or zero if it is empty.
func (d *Detector) Digest(now time.Time) uint64 {
	sum := uint64(0)
	for f, until := range *d.quarantined.Load() {
		if now.Before(until) {
			sum ^= xxhash.Sum64String(f.String())
		}
	}
	return sum
}

// Report returns the findings that this VM reports to hubs: the recently changed ones, and
// all quarantines if a hub's differ.
func (d *Detector) Report(now time.Time) []Finding {
	own := d.Digest(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	differs := false
	for _, h := range d.hubs {
		differs = differs || h.digest != own && now.Sub(h.at) < responseTTL
	}
	return d.announcements(now, differs, func(*record) bool { return true })
}

// maxReporters bounds the number of VMs whose digests are kept. It is higher than the number
// of VMs in any fleet.
const maxReporters = 10_000

// HandleReport records the quarantine digest of a VM that reports to this one.
func (d *Detector) HandleReport(vm ident.VM, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.reporters) >= maxReporters {
		clear(d.reporters)
	}
	d.reporters[vm] = digest
}

// Response returns the findings that this VM, as a hub, sends to another VM: all
// quarantines if the VM's differ, and the recently changed findings with at least
// minSharedCrashes crashes or a release.
func (d *Detector) Response(to ident.VM, now time.Time) []Finding {
	own := d.Digest(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announcements(now, d.reporters[to] != own, func(r *record) bool { return !r.Released.IsZero() || len(r.Crashes) >= minSharedCrashes })
}

// announcements returns the recently changed findings: quarantines, and other findings that
// share accepts. If all is set, it also returns the quarantines that have not changed
// recently.
func (d *Detector) announcements(now time.Time, all bool, share func(r *record) bool) []Finding {
	if len(d.records) == 0 {
		return nil
	}
	d.expire(now)
	recent := func(r *record) bool { return now.Sub(r.changed) < announcePeriod || now.Before(d.announceAllUntil) }
	return d.sorted(func(r *record) bool {
		if r.quarantined() {
			return all || recent(r)
		}
		return share(r) && recent(r)
	})
}

// Quarantine is a quarantined suspect as the store keeps it.
type Quarantine struct {
	Suspect call.Fingerprint
	Until   time.Time
}

// MergeStored merges the quarantines that the store holds.
func (d *Detector) MergeStored(list []Quarantine, now time.Time) {
	found := make([]Finding, 0, len(list))
	for _, e := range list {
		until := e.Until
		if latest := now.Add(d.cfg.Duration); until.After(latest) {
			until = latest // written by a VM whose clock is ahead
		}
		found = append(found, Finding{Suspect: Suspect{ID: e.Suspect}, Quarantined: until.Add(-d.cfg.Duration)})
	}
	d.Merge(found, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range list {
		if r := d.records[e.Suspect]; r != nil {
			r.stored = now
		}
	}
}

// Unstored returns the quarantines that are at least as old as age and that have not been
// seen in the store for the duration unseen.
func (d *Detector) Unstored(age, unseen time.Duration, now time.Time) []Quarantine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Quarantine
	for f, until := range *d.quarantined.Load() {
		r := d.records[f]
		if r != nil && now.Before(until) && now.Sub(r.Quarantined) >= age && now.Sub(r.stored) >= unseen {
			out = append(out, Quarantine{Suspect: f, Until: until})
		}
	}
	return out
}
