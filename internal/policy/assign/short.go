package assign

import (
	"time"

	"umberladder/internal/policy/admit"
)

const (
	// shortOutput is the number of expected output tokens below which a run is short: it is in
	// the batch for tens of decode steps, and its prompt takes longer than its output.
	shortOutput = 100
	// delayWeight is the cost of each second by which the prefill of a short run's prompt
	// delays a stream of the batch, in cost per second and stream. A prompt of 2,500 tokens
	// costs 0.25 for each stream under way.
	delayWeight = 0.7
	// shortBacklogWeight is the cost per second of prefill backlog ahead of a short run's prompt.
	shortBacklogWeight = 0.5
	// shortMemoryWeight is the cost of a full memory to a short run, which holds its memory for
	// a fraction of a second. Without it, short runs take the memory of engines on which
	// streams and copies have room.
	shortMemoryWeight = 0.2
	// shortBaseCost is the cost of an idle engine to a short run, as much as that of one stream
	// under way. Without it, an idle engine that fails runs would cost next to nothing, whatever
	// its weight.
	shortBaseCost = 0.25
	// latencyShare is the fraction of the latency target within which the first event of a run
	// should be predicted. An engine may be worstSlowdown times slower than usual while it
	// prefills the prompt, and the event should still come in time.
	latencyShare = 1 / worstSlowdown
	// overdueWeight is the cost per second by which the predicted first event of a short run
	// exceeds latencyShare of its target. A tenth of a second costs more than the delay of
	// one more stream, so that short runs do not gather on an engine beyond their target.
	overdueWeight = 4.0
	// lentTokens is the memory, of what is reserved for the next tokens of a stream under way, that
	// short runs may use if no engine has room for them otherwise. A stream has 122 to 250 tokens
	// reserved ahead and generates some 70 of them in the half second that a short run takes.
	lentTokens = 100
)

// Run describes a run that is placed.
type Run struct {
	Required      int           // memory that it requires, in tokens
	Prefill       int           // prompt tokens that need prefill
	Output        int           // tokens that it is expected to generate; zero: unknown
	LatencyTarget time.Duration // target for the time to its first event; zero: none
	Local         bool          // decided by the VM that serves the run, as others may do at the same time
	GapTarget     time.Duration // target for the time between two events of the service's streams; zero: none
	EventTokens   int           // tokens per event of these streams
}

// isShort reports whether the run's prompt takes more of an engine's time than its output.
func (r *Run) isShort() bool { return r.Output > 0 && r.Output < shortOutput && r.Prefill > 0 }

// Borrows reports whether the run may use memory that is reserved for the next tokens of the
// streams under way: it ends before they need it. VMs that decide by themselves could all use the
// same memory.
func (r *Run) Borrows() bool { return r.isShort() && !r.Local }

// Lend returns the state of the server for a run that borrows, with streams under way there.
func (s Server) Lend(streams int) Server {
	s.ReservedTokens -= lentTokens * streams
	return s
}

// shortCost returns the cost of the server for a short run, without that of another failure
// domain: mostly the delay of the streams of its batch.
func (s *Server) shortCost(r *Run) float64 {
	prefill := float64(r.Prefill) / admit.PrefillRate * s.Pace.slowdown()
	backlog := float64(s.PrefillBacklog) / admit.PrefillRate * s.Pace.slowdown()
	c := shortBaseCost +
		delayWeight*prefill*float64(s.InFlight) +
		shortBacklogWeight*backlog +
		shortMemoryWeight*float64(s.ReservedTokens+r.Required)/float64(s.Memory)
	if r.LatencyTarget > 0 {
		c += overdueWeight * max(0, backlog+prefill-latencyShare*r.LatencyTarget.Seconds())
	}
	return c
}
