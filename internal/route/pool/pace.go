package pool

import (
	"math"
	"time"
)

// paceTime is the time constant of a pace.
const paceTime = 3 * time.Second

// pace measures how often something happens, with older events counting less
// (an exponentially weighted average). The zero value is ready for use.
type pace struct {
	level float64 // events, each decayed since it happened
	at    time.Time
}

func (p *pace) note(now time.Time) {
	p.decay(now)
	p.level++
}

// rate returns events a second.
func (p *pace) rate(now time.Time) float64 {
	p.decay(now)
	return p.level / paceTime.Seconds()
}

func (p *pace) decay(now time.Time) {
	if now.After(p.at) {
		p.level *= math.Exp(-now.Sub(p.at).Seconds() / paceTime.Seconds())
		p.at = now
	}
}
