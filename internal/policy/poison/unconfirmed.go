package poison

import (
	"time"

	"umberladder/internal/core/ident"
)

const (
	// unconfirmedPeriod is how long a response that broke off may become evidence of a
	// crash. The entry of a server that has crashed is removed within that time.
	unconfirmedPeriod = 8 * time.Second
	// sameCrashPeriod is the maximum time between the ends of a server's responses in one
	// crash.
	sameCrashPeriod = time.Second
	// maxUnconfirmed bounds the number of servers with unconfirmed crashes, and the number
	// of responses of each.
	maxUnconfirmed = 64
)

// unconfirmed is a response that broke off at its beginning, at a server that may have crashed.
type unconfirmed struct {
	suspects []Suspect
	at       time.Time
}

// RecordUnconfirmed records that a response to a request with these suspects broke off at its
// beginning, but not whether its server has crashed. It becomes evidence once the crash is
// known from another response or through ConfirmEnded.
func (d *Detector) RecordUnconfirmed(list []Suspect, server ident.Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.unconfirmed[server]
	if len(known) >= maxUnconfirmed || known == nil && len(d.unconfirmed) >= maxUnconfirmed {
		return
	}
	d.unconfirmed[server] = append(known, unconfirmed{suspects: list, at: now})
	for _, r := range d.records {
		if at, ok := r.Crashes[server]; ok && d.confirmSameCrash(server, at, now) {
			return
		}
	}
}

// ConfirmEnded turns unconfirmed crashes of servers that have ended without notice into
// evidence.
func (d *Detector) ConfirmEnded(ended func(ident.Server) bool, now time.Time) {
	d.mu.Lock()
	changed := false
	for s := range d.unconfirmed {
		if ended(s) {
			changed = d.confirm(s, now) || changed
		}
	}
	if !changed {
		d.mu.Unlock()
		return
	}
	c := d.evaluate(now)
	d.mu.Unlock()
	d.onChange(c)
}

// confirmSameCrash turns the unconfirmed crash of a server into evidence if it is the one that
// is known to have happened at the time at. It reports whether it did.
func (d *Detector) confirmSameCrash(server ident.Server, at, now time.Time) bool {
	list := d.unconfirmed[server]
	return len(list) > 0 && list[0].at.Sub(at).Abs() <= sameCrashPeriod && d.confirm(server, now)
}

// confirm turns the unconfirmed crashes of a server into evidence and reports whether there are
// any.
func (d *Detector) confirm(server ident.Server, now time.Time) bool {
	list := d.unconfirmed[server]
	delete(d.unconfirmed, server)
	for _, u := range list {
		d.addCrash(u.suspects, server, u.at, now)
	}
	return len(list) > 0
}

func (d *Detector) expireUnconfirmed(now time.Time) {
	for s, list := range d.unconfirmed {
		if now.Sub(list[len(list)-1].at) > unconfirmedPeriod {
			delete(d.unconfirmed, s)
		}
	}
}
