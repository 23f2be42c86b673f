package retry

import (
	"math"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// sampleInterval is the minimum time between two samples of the fleet's attempts. VMs report
	// and hubs respond about as often.
	sampleInterval = 400 * time.Millisecond
	// riseSpan is the age up to which samples are compared with the latest one.
	riseSpan = 2 * time.Second
	// riseSigmas is by how many standard deviations of a Poisson process the attempts must have
	// risen, so that random arrivals do not count as a rise.
	riseSigmas = 4
)

// riseMeter estimates request rates while they rise. A count over a window of several seconds
// follows a rise only after the whole window, so that servers with limits would get several
// times their part meanwhile.
type riseMeter struct {
	samples   []sample // by time, the latest last
	reporting int      // VMs whose attempts the samples include
	rises     map[ident.Service]rise
}

// sample holds the attempts of all VMs in the window before a time.
type sample struct {
	at       time.Time
	attempts map[ident.Service]float64
}

// rise describes a rise of the rate of a service that the window does not cover yet.
type rise struct {
	base float64 // attempts in the window before the rise
	rate float64 // requests per second since
}

// isDue reports whether a sample is to be added.
func (m *riseMeter) isDue(now time.Time) bool {
	n := len(m.samples)
	return n == 0 || now.Sub(m.samples[n-1].at) >= sampleInterval
}

// add adds a sample of the attempts in the window of length span before now, estimated from those of
// the given number of other VMs. Samples from other numbers of VMs are not compared: a hub that has
// restarted has the reports of few VMs at first.
func (m *riseMeter) add(attempts map[ident.Service]float64, reporting int, span time.Duration, now time.Time) {
	if reporting != m.reporting {
		m.samples, m.reporting = nil, reporting
	}
	old := 0
	for old < len(m.samples) && now.Sub(m.samples[old].at) > riseSpan {
		old++
	}
	m.samples = m.samples[old:]
	rises := make(map[ident.Service]rise)
	for s, n := range attempts {
		if r, ok := m.find(s, n, span, now); ok {
			if before, ok := m.rises[s]; ok {
				r.base = min(r.base, before.base)
			}
			r.rate += r.base / span.Seconds() // attempts from before the rise leave the window meanwhile
			rises[s] = r
		}
	}
	m.rises = rises
	m.samples = append(m.samples, sample{at: now, attempts: attempts})
}

// find returns the steepest rise from an earlier sample to n attempts, without those that left
// the window of length span meanwhile.
func (m *riseMeter) find(s ident.Service, n float64, span time.Duration, now time.Time) (out rise, ok bool) {
	for _, o := range m.samples {
		before, elapsed := o.attempts[s], now.Sub(o.at).Seconds()
		// In steady traffic, the difference is that of the attempts that entered the window and
		// of those that left it, which they do by slots.
		sigma := max(math.Sqrt((n+before)*elapsed/span.Seconds()), 1)
		if n-before <= riseSigmas*sigma+before/slots {
			continue
		}
		if rate := (n - before) / elapsed; rate > out.rate {
			out, ok = rise{base: before, rate: rate}, true
		}
	}
	return out, ok
}

// rate returns the rate of a service that rises, or zero.
func (m *riseMeter) rate(s ident.Service, now time.Time) float64 {
	if n := len(m.samples); n == 0 || now.Sub(m.samples[n-1].at) > responseTTL {
		return 0
	}
	return m.rises[s].rate
}
