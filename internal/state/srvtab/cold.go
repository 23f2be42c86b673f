package srvtab

import (
	"time"

	"umberladder/internal/core/ident"
)

// coldSkew is the difference between two reports of the end of a cold period up to which
// they are the same: entries are read with varying delays.
const coldSkew = 600 * time.Millisecond

// recordCold records that a server is cold for some more time. It reports whether that was
// not known before. The caller holds the lock.
func (t *Table) recordCold(s *Server, remaining time.Duration, now time.Time) bool {
	until := now.Add(remaining)
	if remaining <= 0 || !until.After(s.coldUntil) {
		return false
	}
	c := *s
	c.coldUntil = until
	t.servers.Set(&c)
	return until.Sub(s.coldUntil) > coldSkew
}

// MarkCold records that a server has reported that it is cold for some more time.
func (t *Table) MarkCold(id ident.Server, remaining time.Duration, now time.Time) {
	if remaining <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.server(id); s != nil && t.recordCold(s, remaining, now) {
		t.publish()
	}
}

// IsCold reports whether a server is cold, or may be. coldTime is how long the servers of
// its service are cold after a start. Those of an evacuated domain may have started again
// unnoticed, so they count as cold for that time after the end of the evacuation.
func (v *View) IsCold(s *Server, coldTime time.Duration, now time.Time) bool {
	if known := v.Server(s.ID); known != nil && now.Before(known.coldUntil) {
		return true
	}
	returned, ok := v.returnedAt[s.Domain]
	return ok && now.Sub(returned) < coldTime
}
