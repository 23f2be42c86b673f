package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/timing"
)

// Field numbers of the response times of one server. Members that are zero are left out.
const (
	timingServer     = 1
	timingResponses  = 2
	timingTime       = 3 // in microseconds
	timingRejections = 4
	timingInFlight   = 5
)

// appendTimings appends the response times of servers to a message.
func appendTimings(b []byte, field protowire.Number, timings map[ident.Server]timing.Stats) []byte {
	for id, s := range timings {
		b = appendBytes(b, field, encodeTiming(id, s))
	}
	return b
}

func encodeTiming(id ident.Server, s timing.Stats) []byte {
	b := appendString(nil, timingServer, string(id))
	for _, member := range []struct {
		field protowire.Number
		value int64
	}{
		{timingResponses, int64(s.Responses)},
		{timingTime, s.Time.Microseconds()},
		{timingRejections, int64(s.Rejections)},
		{timingInFlight, int64(s.InFlight)},
	} {
		if member.value > 0 {
			b = appendNumber(b, member.field, uint64(member.value))
		}
	}
	return b
}

// addTiming decodes the response times of one server and adds them to a map, which it
// creates if needed.
func addTiming(timings *map[ident.Server]timing.Stats, b []byte) error {
	id, s, err := decodeTiming(b)
	if *timings == nil {
		*timings = make(map[ident.Server]timing.Stats)
	}
	(*timings)[id] = s
	return err
}

func decodeTiming(b []byte) (ident.Server, timing.Stats, error) {
	var id ident.Server
	var s timing.Stats
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		count := int(min(v, math.MaxInt32))
		switch n {
		case timingServer:
			id = ident.Server(data)
		case timingResponses:
			s.Responses = count
		case timingTime:
			s.Time = time.Duration(min(v, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
		case timingRejections:
			s.Rejections = count
		case timingInFlight:
			s.InFlight = count
		}
		return nil
	})
	return id, s, err
}
