package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/rates"
)

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
