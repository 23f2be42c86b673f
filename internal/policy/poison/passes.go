package poison

import (
	"time"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
)

const (
	// passSlots is the number of slots for suspects that pass on this VM.
	passSlots = 512
	// maxVotes bounds how many passes of other suspects a slot's own suspect outlasts.
	maxVotes = 16
	// passPeriod is how long a pass before the first crash counts in favour of a suspect.
	passPeriod = time.Minute
)

// pass is a response that got past its beginning.
type pass struct {
	server ident.Server
	at     time.Time
}

// passSlot holds the last passes of one suspect, at different servers.
type passSlot struct {
	suspect call.Fingerprint
	votes   int
	passes  [maxCredit]pass
}

// passLog holds the last passes on this VM, also of suspects without evidence against them.
// Suspects that share a slot compete for it, and the most frequent one keeps it: most requests
// are unique, and must not displace the parts that many share.
type passLog [passSlots]passSlot

func (l *passLog) add(s call.Fingerprint, server ident.Server, now time.Time) {
	slot := &l[s%passSlots]
	if slot.suspect != s {
		if slot.votes--; slot.votes > 0 {
			return
		}
		*slot = passSlot{suspect: s}
	}
	slot.votes = min(slot.votes+1, maxVotes)
	oldest := 0
	for i := range slot.passes {
		if slot.passes[i].server == server {
			oldest = i
			break
		}
		if slot.passes[i].at.Before(slot.passes[oldest].at) {
			oldest = i
		}
	}
	slot.passes[oldest] = pass{server: server, at: now}
}

// recent returns the passes of a suspect within passPeriod.
func (l *passLog) recent(s call.Fingerprint, now time.Time) []pass {
	slot := &l[s%passSlots]
	if slot.suspect != s {
		return nil
	}
	var out []pass
	for _, p := range slot.passes {
		if !p.at.IsZero() && now.Sub(p.at) < passPeriod {
			out = append(out, p)
		}
	}
	return out
}
