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

// encodeTime returns a point in time as an age in milliseconds, since VMs' clocks differ.
// One is added to the age, because zero stands for no time.
func encodeTime(at, now time.Time) uint64 { return uint64(max(now.Sub(at).Milliseconds(), 0)) + 1 }

func decodeTime(age uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(age-1, maxAge)) * time.Millisecond)
}

// maxAge is the maximum age that is decoded, in milliseconds. Higher ones are reduced to
// it.
const maxAge = uint64(24 * time.Hour / time.Millisecond)

func (m *Message) appendFindings(b []byte, now time.Time) []byte {
	if m.QuarantineDigest != 0 {
		b = appendNumber(b, fieldQuarantineDigest, m.QuarantineDigest)
	}
	for i := range m.Findings {
		b = appendBytes(b, fieldFinding, encodeFinding(&m.Findings[i], now))
	}
	return b
}

func encodeFinding(f *poison.Finding, now time.Time) []byte {
	b := appendNumber(nil, findingRequest, uint64(f.Request))
	for s, at := range f.Crashes {
		c := appendString(nil, crashServer, string(s))
		b = appendBytes(b, findingCrash, appendNumber(c, crashAge, encodeTime(at, now)))
	}
	if !f.Cleared.IsZero() {
		b = appendNumber(b, findingCleared, encodeTime(f.Cleared, now))
	}
	if !f.Quarantined.IsZero() {
		b = appendNumber(b, findingQuarantined, encodeTime(f.Quarantined, now))
	}
	return b
}

func decodeFinding(b []byte, now time.Time) (poison.Finding, error) {
	f := poison.Finding{Crashes: make(map[ident.Server]time.Time)}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch {
		case n == findingRequest:
			f.Request = call.Fingerprint(v)
		case n == findingCrash:
			s, at, err := decodeCrash(data, now)
			if err != nil {
				return err
			}
			f.Crashes[s] = at
		case n == findingCleared && v > 0:
			f.Cleared = decodeTime(v, now)
		case n == findingQuarantined && v > 0:
			f.Quarantined = decodeTime(v, now)
		}
		return nil
	})
	return f, err
}

func decodeCrash(b []byte, now time.Time) (ident.Server, time.Time, error) {
	var s ident.Server
	at := now
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch {
		case n == crashServer:
			s = ident.Server(data)
		case n == crashAge && v > 0:
			at = decodeTime(v, now)
		}
		return nil
	})
	return s, at, err
}
