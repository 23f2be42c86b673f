package pool

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of a rateMeter.
const rateTimeConstant = 3 * time.Second

// rateMeter measures the rate of events as an exponentially weighted average.
// The zero value is ready for use.
type rateMeter struct {
	count     float64 // events, each decayed since it occurred
	updatedAt time.Time
}

func (m *rateMeter) record(now time.Time) {
	m.decay(now)
	m.count++
}

// rate returns events per second.
func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	return m.count / rateTimeConstant.Seconds()
}

func (m *rateMeter) decay(now time.Time) {
	if now.After(m.updatedAt) {
		m.count *= math.Exp(-now.Sub(m.updatedAt).Seconds() / rateTimeConstant.Seconds())
		m.updatedAt = now
	}
}
