package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/policy/poison"
)

// Field numbers of a finding and of a crash or pass in it.
const (
	findingSuspect     = 1
	findingCrash       = 2
	findingReleased    = 3
	findingQuarantined = 4
	findingPass        = 5
	findingDepth       = 6

	evidenceServer = 1
	evidenceAge    = 2
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
	b := appendNumber(nil, findingSuspect, uint64(f.ID))
	b = appendEvidence(b, findingCrash, f.Crashes, now)
	b = appendEvidence(b, findingPass, f.Passes, now)
	if f.Depth != 0 {
		b = appendNumber(b, findingDepth, uint64(f.Depth))
	}
	if !f.Released.IsZero() {
		b = appendNumber(b, findingReleased, encodeTime(f.Released, now))
	}
	if !f.Quarantined.IsZero() {
		b = appendNumber(b, findingQuarantined, encodeTime(f.Quarantined, now))
	}
	return b
}

func appendEvidence(b []byte, field protowire.Number, m map[ident.Server]time.Time, now time.Time) []byte {
	for s, at := range m {
		e := appendString(nil, evidenceServer, string(s))
		b = appendBytes(b, field, appendNumber(e, evidenceAge, encodeTime(at, now)))
	}
	return b
}

func decodeFinding(b []byte, now time.Time) (poison.Finding, error) {
	f := poison.Finding{Crashes: make(map[ident.Server]time.Time), Passes: make(map[ident.Server]time.Time)}
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch {
		case n == findingSuspect:
			f.ID = call.Fingerprint(v)
		case n == findingCrash:
			return decodeEvidence(f.Crashes, data, now)
		case n == findingPass:
			return decodeEvidence(f.Passes, data, now)
		case n == findingDepth:
			f.Depth = uint8(min(v, poison.WholeRequest)) //nolint:gosec // WholeRequest is the maximum of the type
		case n == findingReleased && v > 0:
			f.Released = decodeTime(v, now)
		case n == findingQuarantined && v > 0:
			f.Quarantined = decodeTime(v, now)
		}
		return nil
	})
	return f, err
}

// decodeEvidence adds a crash or a pass to m.
func decodeEvidence(m map[ident.Server]time.Time, b []byte, now time.Time) error {
	var s ident.Server
	at := now
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch {
		case n == evidenceServer:
			s = ident.Server(data)
		case n == evidenceAge && v > 0:
			at = decodeTime(v, now)
		}
		return nil
	})
	m[s] = at
	return err
}
