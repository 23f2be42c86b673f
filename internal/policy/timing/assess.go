package timing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"umberladder/internal/core/ident"
)

const (
	// minResponses is the number of responses in the window from which their mean counts.
	minResponses = 5
	// minRatio is the ratio to the median from which response times count as different.
	minRatio = 1.3
	// endRatio is the ratio to the median below which a slow server is slow no more. It is
	// below minRatio, so that a server at the limit does not alternate.
	endRatio = 1.15
	// minAccepted is the fraction of calls that a server accepts, relative to the others, from
	// which it loses no weight, and acceptedPower the power of smaller fractions that is its
	// weight.
	minAccepted   = 0.95
	acceptedPower = 4
	// noiseMargin is the number of standard errors by which two means must differ. With 2, a
	// server that fails a third of its calls got 14% of the calls in place of 12%.
	noiseMargin = 3.0
	// minWeight bounds what slow response times can take away from a server, and maxWeight
	// what fast ones can give it. They also bound what wrong reports can do.
	minWeight, maxWeight = 0.1, 2.0
	// retention is how long the mean of a server counts that has too few responses for a new
	// one, because it gets few calls. Its weight fades during the last part, fadeTime.
	retention = 3 * time.Second
	fadeTime  = 2 * time.Second
	// probeCount is the number of calls in a window that all VMs together send to a slow
	// server at least, so that enough of them respond to show when it has recovered.
	probeCount = 1.5 * minResponses
	// minProbe is the least probability of a probe of a server with a low weight or a high
	// load. It bounds what the wrong report of one VM can do.
	minProbe = 0.005
	// overloadRatio is the ratio to the median load from which servers differ in load.
	overloadRatio = 2.0
)

// Assessment is how a server's response times compare with those of its service.
type Assessment struct {
	Weight     float64       // fraction of its normal load that the server should get, minWeight to maxWeight
	PeerLoad   float64       // mean number of calls of the other VMs in flight
	Probe      float64       // probability with which a call is sent to the server in spite of its weight
	Overloaded bool          // relative to its slots, the other VMs have far more calls in flight here than at the median server
	Slow       bool          // its response times are over minRatio times the median
	Mean       time.Duration // of the response times; zero: not known
	Median     time.Duration // of the means of the service's servers; zero: not known
}

// estimate is the mean response time of a server at a time when it had enough responses.
type estimate struct {
	at        time.Time
	mean      time.Duration
	responses int // number that the mean is based on
}

// load returns the mean number of calls in flight. By Little's law, this is the response time
// of all calls of a window divided by its length. The number in flight at the time of the
// reports is one sample, a report interval old, and random at usual loads. It counts only if
// it is far above the mean, which shows that a server does not respond.
func (s Stats) load() float64 { return max(float64(s.Time)/float64(Window), float64(s.InFlight)/2) }

// assess sets the assessments of the servers, given the sums of all VMs.
func (s *service) assess(list []ident.Server, slots []int, all []Stats, out []Assessment, now time.Time) {
	estimates := make([]estimate, len(list))
	for i, id := range list {
		estimates[i] = s.estimate(id, all[i], now)
	}
	s.expire(now)
	reference := medianOf(estimates)
	best, total := bestAccepted(all), 0
	for i, id := range list {
		total += all[i].calls()
		a := &out[i]
		a.Weight, a.Mean, a.Median = 1, estimates[i].mean, reference.mean
		if estimates[i].mean > 0 && reference.mean > 0 {
			a.Weight, a.Slow = timeWeight(estimates[i], reference, s.slow[id])
			a.Weight = 1 + (a.Weight-1)*estimates[i].confidence(now)
		}
		a.Weight = min(max(a.Weight*acceptedWeight(all[i], best), minWeight), maxWeight)
	}
	markOverloaded(out, slots)
	setProbes(out, all, total)
}

// assumeLoads sets the loads of servers that a full message leaves out to the median per slot of
// the servers that it contains. With no load assumed, they would attract too many calls.
func assumeLoads(list []ident.Server, slots []int, known map[ident.Server]Stats, out []Assessment) {
	var perSlot []float64
	for i, id := range list {
		if _, ok := known[id]; ok {
			perSlot = append(perSlot, out[i].PeerLoad/slotsOf(slots, i))
		}
	}
	if len(perSlot) == 0 {
		return
	}
	slices.Sort(perSlot)
	for i, id := range list {
		if _, ok := known[id]; !ok {
			out[i].PeerLoad = perSlot[(len(perSlot)-1)/2] * slotsOf(slots, i)
		}
	}
}

// markOverloaded sets which servers have far more calls of other VMs in flight than their slots
// would have at the median of the calls per slot.
func markOverloaded(out []Assessment, slots []int) {
	perSlot := make([]float64, len(out))
	for i := range out {
		perSlot[i] = out[i].PeerLoad / slotsOf(slots, i)
	}
	slices.Sort(perSlot)
	for i := range out {
		usual := perSlot[(len(perSlot)-1)/2] * slotsOf(slots, i)
		out[i].Overloaded = out[i].PeerLoad+1 > overloadRatio*(usual+1)
	}
}

// slotsOf returns the number of slots of a server, at least one. Without slots, all have the same.
func slotsOf(slots []int, i int) float64 {
	if slots == nil {
		return 1
	}
	return float64(max(slots[i], 1))
}

// setProbes sets the probabilities of probes, given the calls in the window. Servers with a low
// weight or a high load get as many as they lack of probeCount.
func setProbes(out []Assessment, all []Stats, total int) {
	for i := range out {
		a := &out[i]
		if total > 0 && (a.Weight < 1 || a.Overloaded) {
			missing := probeCount - float64(all[i].calls())
			a.Probe = min(max(missing/float64(total), minProbe), a.Weight/float64(len(out)))
		}
	}
}

// Differ reports whether servers differ in their response times, in the calls that they accept
// or in load.
func Differ(list []Assessment) bool {
	return slices.ContainsFunc(list, func(a Assessment) bool { return a.Weight != 1 || a.Overloaded })
}

// estimate returns the mean response time of a server; zero: not known.
func (s *service) estimate(id ident.Server, sum Stats, now time.Time) estimate {
	if sum.Responses >= minResponses {
		e := estimate{at: now, mean: sum.mean(), responses: sum.Responses}
		s.estimates[id] = e
		return e
	}
	e, ok := s.estimates[id]
	if !ok || now.Sub(e.at) > retention {
		return estimate{}
	}
	// The few responses that there are replace their part of a mean of minResponses.
	e.mean = (e.mean*time.Duration(minResponses-sum.Responses) + sum.Time) / minResponses
	return e
}

// expire drops outdated estimates, so that those of former servers do not accumulate.
func (s *service) expire(now time.Time) {
	for id, e := range s.estimates {
		if now.Sub(e.at) > retention {
			delete(s.estimates, id)
		}
	}
}

// confidence returns how much an estimate counts, from 1 down to 0 at its retention.
func (e estimate) confidence(now time.Time) float64 {
	return min(float64(retention-now.Sub(e.at))/float64(fadeTime), 1)
}

// medianOf returns the median of the known estimates, the lower one of two; zero: none is known.
func medianOf(estimates []estimate) estimate {
	known := slices.DeleteFunc(slices.Clone(estimates), func(e estimate) bool { return e.mean == 0 })
	if len(known) == 0 {
		return estimate{}
	}
	slices.SortFunc(known, func(a, b estimate) int { return int(a.mean - b.mean) })
	return known[(len(known)-1)/2]
}

// timeWeight returns the weight of a server by its response times, and whether it is slow.
// The standard deviation of response times is taken to be as large as their mean. A fast server
// is taken to be slower by one standard error: calls that go to it by mistake make it slow. Means
// of few exponential times are often far below the true one, so the bound for a fast server is
// the approximation of Wilson and Hilferty.
func timeWeight(e, reference estimate, wasSlow bool) (float64, bool) {
	ratio := float64(e.mean) / float64(reference.mean)
	standardError := math.Sqrt(1/float64(e.responses) + 1/float64(reference.responses))
	limit := max(minRatio, 1+noiseMargin*standardError)
	switch {
	case ratio > limit || wasSlow && ratio > endRatio:
		return 1 / ratio, true
	case ratio < min(1/limit, math.Pow(max(1-noiseMargin*standardError/3, 0), 3)):
		return max(1/(ratio*(1+standardError)), 1), false
	default:
		return 1, false
	}
}

// acceptedWeight returns the weight of a server by the fraction of calls that it accepted. best
// is the largest fraction of the service. A server with a third of the slots of the others
// rejects only a few calls more than they do, so the fraction counts with a high power.
func acceptedWeight(s Stats, best float64) float64 {
	if best == 0 || s.calls() < minResponses {
		return 1
	}
	relative := s.accepted() / best
	if relative > minAccepted {
		return 1
	}
	return math.Pow(relative, acceptedPower)
}

func (s Stats) accepted() float64 { return float64(s.Responses) / float64(s.calls()) }

// bestAccepted returns the largest fraction of calls that a server accepted.
func bestAccepted(all []Stats) float64 {
	best := 0.0
	for _, s := range all {
		if s.calls() >= minResponses {
			best = max(best, s.accepted())
		}
	}
	return best
}

// Probe returns the index of a server that gets a call in spite of its weight, or -1. health
// returns the weight of a server by this VM's own calls, from 0 to 1, with which the probability of
// a probe is multiplied; 0: the server must not be chosen.
func Probe(list []Assessment, health func(i int) float64, rng *rand.Rand) int {
	at := rng.Float64()
	for i := range list {
		if list[i].Probe == 0 {
			continue
		}
		if at -= list[i].Probe * health(i); at < 0 {
			return i
		}
	}
	return -1
}

// SampleLoad returns a random number of calls in flight, given their mean. Each VM draws
// another one, so that VMs with the same figures do not all choose the same server.
func SampleLoad(mean float64, rng *rand.Rand) int {
	if !(mean > 0) {
		return 0
	}
	if mean > 30 {
		return max(int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())), 0)
	}
	n, limit := 0, math.Exp(-mean)
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
