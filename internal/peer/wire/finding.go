package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
)

// Field numbers of a finding and of a crash in it.
const (
	findingRequest     = 1
	findingCrash       = 2
	findingCleared     = 3
	findingQuarantined = 4

	crashServer = 1
	crashAge    = 2
)

// Moments are sent as ages in milliseconds, since VMs' clocks differ. Zero stands for
// no moment, so that ages begin with one.
func ageOf(at, now time.Time) uint64 { return uint64(max(now.Sub(at).Milliseconds(), 0)) + 1 }

func momentOf(age uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(age-1, maxAge)) * time.Millisecond)
}

// maxAge is the oldest moment that is taken, in milliseconds.
const maxAge = uint64(24 * time.Hour / time.Millisecond)

func (s *State) appendFindings(b []byte, now time.Time) []byte {
	if s.Verdicts != 0 {
		b = appendNumber(b, fieldVerdict, s.Verdicts)
	}
	for i := range s.Findings {
		b = appendBytes(b, fieldFinding, encodeFinding(&s.Findings[i], now))
	}
	return b
}

func encodeFinding(f *poison.Finding, now time.Time) []byte {
	b := appendNumber(nil, findingRequest, uint64(f.Request))
	for s, at := range f.Crashes {
		c := appendString(nil, crashServer, string(s))
		b = appendBytes(b, findingCrash, appendNumber(c, crashAge, ageOf(at, now)))
	}
	if !f.Cleared.IsZero() {
		b = appendNumber(b, findingCleared, ageOf(f.Cleared, now))
	}
	if !f.Quarantined.IsZero() {
		b = appendNumber(b, findingQuarantined, ageOf(f.Quarantined, now))
	}
	return b
}

func decodeFinding(b []byte, now time.Time) (poison.Finding, error) {
	f := poison.Finding{Crashes: make(map[ident.Server]time.Time)}
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		switch {
		case n == findingRequest:
			f.Request = call.Fingerprint(v)
		case n == findingCrash:
			s, at, err := decodeCrash(text, now)
			if err != nil {
				return err
			}
			f.Crashes[s] = at
		case n == findingCleared && v > 0:
			f.Cleared = momentOf(v, now)
		case n == findingQuarantined && v > 0:
			f.Quarantined = momentOf(v, now)
		}
		return nil
	})
	return f, err
}

func decodeCrash(b []byte, now time.Time) (ident.Server, time.Time, error) {
	var s ident.Server
	at := now
	err := fields(b, func(n protowire.Number, text []byte, v uint64) error {
		switch {
		case n == crashServer:
			s = ident.Server(text)
		case n == crashAge && v > 0:
			at = momentOf(v, now)
		}
		return nil
	})
	return s, at, err
}
