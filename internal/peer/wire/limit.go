package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/reject"
)

// Field numbers of a service's limit on rejections.
const (
	rejectService    = 1
	rejectRejections = 2
	rejectAge        = 3
)

func encodeRejectLimit(l reject.Limit, now time.Time) []byte {
	b := appendString(nil, rejectService, string(l.Service))
	b = appendNumber(b, rejectRejections, uint64(max(l.Rejections, 0)))
	return appendNumber(b, rejectAge, encodeTime(l.At, now))
}

func decodeRejectLimit(b []byte, now time.Time) (reject.Limit, error) {
	var l reject.Limit
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case rejectService:
			l.Service = ident.Service(data)
		case rejectRejections:
			l.Rejections = int(min(v, math.MaxInt32))
		case rejectAge:
			l.At = decodeTime(v, now)
		}
		return nil
	})
	return l, err
}

// Field numbers of a server's rate limit.
const (
	limitServer = 1
	limitRate   = 2 // in thousandths of a request per second, rounded up; zero: the limit has ended
	limitAge    = 3
	limitSent   = 4
)

// rateScale is the number of units of limitRate in one request per second.
const rateScale = 1000

func encodeLimit(l rates.Limit, now time.Time) []byte {
	b := appendString(nil, limitServer, string(l.Server))
	b = appendNumber(b, limitRate, uint64(math.Ceil(min(l.Rate, math.MaxInt32)*rateScale)))
	b = appendNumber(b, limitAge, encodeTime(l.At, now))
	return appendNumber(b, limitSent, uint64(max(l.Sent, 0)))
}

func decodeLimit(b []byte, now time.Time) (rates.Limit, error) {
	var l rates.Limit
	err := forEachField(b, func(n protowire.Number, data []byte, v uint64) error {
		switch n {
		case limitServer:
			l.Server = ident.Server(data)
		case limitRate:
			l.Rate = float64(v) / rateScale
		case limitAge:
			l.At = decodeTime(v, now)
		case limitSent:
			l.Sent = int(min(v, math.MaxInt32))
		}
		return nil
	})
	return l, err
}
