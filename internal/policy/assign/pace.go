package assign

import (
	"time"

	"umberladder/internal/policy/admit"
)

const (
	// timeWeight is the cost of each second that a run takes from its placement to its end, by
	// its prompt, its expected output and the engine's time per token. A run that takes 3 s
	// longer costs as much as two more streams in the engine's memory. With a higher weight,
	// fast engines get more streams than they can hand over within their notice.
	timeWeight = 0.06
	// lateStartWeight is the cost per second by which the predicted first event of a run that
	// is not short exceeds latencyShare of its target.
	lateStartWeight = 1.0
	// prefillStepTime is the time that prefill adds to a decode step at an engine of median
	// speed: 112 prompt tokens at 14 tokens per ms.
	prefillStepTime = 8 * time.Millisecond
	// worstSlowdown is the factor by which an engine may become slower than usual for part of
	// a second.
	worstSlowdown = 2.5
	// gapHarmWeight is the cost for each stream under way whose next event a prompt would
	// delay past the gap target while the engine is at its slowest. It exceeds the cost of an
	// engine that holds three streams more.
	gapHarmWeight = 0.35
	// gapRiskWeight is the cost of an engine where the run's own events would be delayed past
	// its gap target by later prompts.
	gapRiskWeight = 0.3
	// gapRamp is by what fraction of the gap target an event must exceed it to have the full
	// cost. Without the ramp, a small error of the measured speed would decide.
	gapRamp = 0.25
	// startingShare is the part of the cost of a stream under way for a call in flight that has
	// not measured its time per token: it is in prefill, or ends after few events.
	startingShare = 0.5
	// localJitterWeight scales the random cost of engines that differ, if several VMs may choose
	// at the same moment with the same loads and speeds. It is as high as the difference between
	// a slow and a fast engine, so that they do not all choose the fastest.
	localJitterWeight = 0.3
	// localJitterStreams is the random cost of a short run that a VM places by itself, in streams
	// that its prompt delays. With less than one stream, all VMs with the same loads would choose
	// the same engine; with two, an engine with one stream less is still preferred.
	localJitterStreams = 2.0
	// minSlowdown and maxSlowdown bound the measured time per token relative to the median.
	minSlowdown = 0.25
	maxSlowdown = 4.0
)

// Pace is the speed of an engine, known only if the engines of its service differ. The zero value
// stands for an engine of unknown speed.
type Pace struct {
	PerToken time.Duration // time per token; zero: unknown
	Median   time.Duration // of the service's engines; zero: their speeds are unknown or do not differ
	Streams  int           // runs in flight that have measured their time per token
}

// known reports whether the speeds of the engines differ, so that they matter.
func (p *Pace) known() bool { return p.Median > 0 }

// slowdown returns the time per token relative to the median; 1 if the engines do not differ.
func (p *Pace) slowdown() float64 {
	if !p.known() || p.PerToken == 0 {
		return 1
	}
	return min(max(float64(p.PerToken)/float64(p.Median), minSlowdown), maxSlowdown)
}

// perToken returns the time per token in seconds, bounded relative to the median, so that a wrong
// measurement of one engine does not outweigh all other costs. It is the median for an engine of
// unknown speed.
func (p *Pace) perToken() float64 { return p.slowdown() * p.Median.Seconds() }

// gapExcess returns whether prefill would delay events past the run's gap target while the engine
// is at its slowest, as a number from 0 to 1.
func (p *Pace) gapExcess(r *Run) float64 {
	if r.GapTarget <= 0 || !p.known() {
		return 0
	}
	step := p.perToken() + prefillStepTime.Seconds()*p.slowdown()
	excess := float64(r.EventTokens)*step*worstSlowdown/r.GapTarget.Seconds() - 1
	return min(max(excess/gapRamp, 0), 1)
}

// jitterWeight returns the weight of the random cost of the server for a run.
func (s *Server) jitterWeight(r *Run) float64 {
	w := jitterWeight
	if r.Local && s.Pace.known() {
		w = localJitterWeight
	}
	if r.Local && r.isShort() {
		w = max(w, localJitterStreams*delayWeight*float64(r.Prefill)/admit.PrefillRate)
	}
	return w
}

// gapCost returns the cost of the gap targets that the run's prompt, or later prompts, may make
// the engine miss. It is zero if the engines do not differ.
func (s *Server) gapCost(r *Run) float64 {
	excess := s.Pace.gapExcess(r)
	if excess == 0 {
		return 0
	}
	c := 0.0
	if r.Prefill > 0 {
		c += gapHarmWeight * excess * (float64(s.Pace.Streams) + startingShare*float64(max(s.InFlight-s.Pace.Streams, 0)))
	}
	if !r.isShort() {
		c += gapRiskWeight * excess
	}
	return c
}

// timeCost returns the cost of the time that a run that is not short takes at the engine. It is
// zero if the engines do not differ.
func (s *Server) timeCost(r *Run) float64 {
	if !s.Pace.known() || r.Output == 0 {
		return 0
	}
	first := float64(s.PrefillBacklog+r.Prefill) / admit.PrefillRate * s.Pace.slowdown()
	c := timeWeight * (first + float64(r.Output)*s.Pace.perToken())
	if r.LatencyTarget > 0 {
		c += lateStartWeight * max(0, first-latencyShare*r.LatencyTarget.Seconds())
	}
	return c
}
