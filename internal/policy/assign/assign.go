package assign

import "math/rand/v2"

const (
	// Full is the share of an engine's memory that streams may fill with what they
	// have and take soon.
	Full = 1.0
	// Spare is the share up to which copies kept for a loss may fill it. Without
	// the rest new streams wait at the engines.
	Spare = 0.7
	// riskFill is how full a service's engines may be in all for copies to be kept
	// for a loss, once engines were lost without notice. Where calls wait, each copy
	// takes the room of a call.
	riskFill = 0.6
	// calmFill is the same while engines give notice. Their streams need no copies,
	// and copies take the room that streams need when they leave.
	calmFill = 0.3
	// readAhead is how many prompt tokens an engine that gets a call may have to
	// read before, half a second's work: a new engine must not take all calls that
	// wait, as the last of them would begin late.
	readAhead = 3500
	// FarCall is the weight of the way to another failure domain for a call: it costs
	// the network bytes and the caller a millisecond, and is less than a stream more
	// beside the call.
	FarCall = 0.08
	// seatWeight and backlogWeight order engines that have room: a full batch
	// doubles a step, and prompts hold up the streams beside which they are read.
	seatWeight    = 0.5
	backlogWeight = 3.0
	// FarCopy is the weight of the way to another failure domain for a copy of a
	// cache, which takes twice as long there: an engine's copies must all arrive
	// within its notice.
	FarCopy = 0.6
	// copyWeight is the weight of a cache under way to an engine, for the next one,
	// which waits behind it.
	copyWeight = 0.25
	// drawWeight spreads the choices of VMs that know the same.
	drawWeight = 0.02
)

// Server is what is known of one server at the time of a choice.
type Server struct {
	Slots   int  // calls that run at once
	Reads   bool // the engine has to read the new call's prompt
	Memory  int  // tokens; zero: a plain server
	Seats   int  // calls under way
	Tokens  int  // memory that these will take
	Backlog int  // prompt tokens to be read before a new call's
	Copies  int  // caches under way to it; zero where that does not matter
	Far     bool
	Weight  float64 // share of its usual work it should get, 0 to 1
	Skip    bool
}

// CopyFill returns how full a service's engines may be in all for copies of
// caches to be kept for a loss; risky says that engines are lost without notice.
func CopyFill(risky bool) float64 {
	if risky {
		return riskFill
	}
	return calmFill
}

// Random returns a source of numbers for one choice.
func Random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Choose returns the server with the lowest cost for a generation that needs
// need tokens in an engine filled up to share at most, or -1 if none has room.
// The weight of the way to another failure domain is far.
func Choose(need int, share, far float64, servers []Server, rng *rand.Rand) int {
	best, cost := -1, 0.0
	for i := range servers {
		s := &servers[i]
		if s.Skip || !s.room(need, share) {
			continue
		}
		if c := s.cost(need, far) + drawWeight*rng.Float64(); best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}

func (s *Server) room(need int, share float64) bool {
	if s.Reads && s.Backlog > readAhead {
		return false
	}
	return s.Seats < s.Slots && float64(s.Tokens+need) <= share*float64(s.Memory)
}

func (s *Server) cost(need int, far float64) float64 {
	c := float64(s.Tokens+need)/float64(s.Memory) +
		seatWeight*float64(s.Seats)/float64(s.Slots) +
		backlogWeight*float64(s.Backlog)/float64(s.Memory) +
		copyWeight*float64(s.Copies)
	if s.Far {
		c += far
	}
	return c / max(s.Weight, 0.05)
}

// ChoosePlain returns the plain server with the fewest calls under way, nearer
// ones first, or -1 if there is none.
func ChoosePlain(servers []Server, rng *rand.Rand) int {
	best, cost := -1, 0.0
	for i := range servers {
		s := &servers[i]
		if s.Skip {
			continue
		}
		c := (float64(s.Seats)+1)/float64(max(s.Slots, 1))/max(s.Weight, 0.05) + drawWeight*rng.Float64()
		if s.Far {
			c += 1 / float64(max(s.Slots, 1))
		}
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	return best
}
