package assign

import "math/rand/v2"

const (
	// Full is the share of an engine's memory that streams may fill with what they
	// have and take soon. One day of 62 VMs was worth 0.490 at 0.9, 0.504 at 0.95, 0.512 here.
	Full = 1.0
	// Spare is the share up to which copies kept for a loss may fill it. Without
	// that room new streams wait at the engines: at 1.05 the first event came
	// after 1.5 s or more for 56 of 363 streams, at 0.7 for 5.
	Spare = 0.7
	// riskFill is how full a service's engines may be in all for copies to be kept
	// for a loss, once engines were lost without notice. Where calls wait, each copy
	// takes the room of a call: a day of 44 full engines was worth 0.47 to 0.49
	// without copies, 0.42 with them.
	riskFill = 0.6
	// calmFill is the same while engines give notice. Their streams need no copies,
	// and copies take the room that streams need when they leave: on calm days of
	// three deployments worth was 0.929, 0.913 and 0.944 with copies up to riskFill,
	// 0.957, 0.933 and 0.945 with none; on days of crashes 0.822, 0.869 and 0.851
	// against 0.776, 0.831 and 0.809.
	calmFill = 0.3
	// readAhead is how many prompt tokens an engine that gets a call may have to
	// read before, half a second's work: a new engine took all calls that waited,
	// and its last one began after two seconds. 0.32 without the bound on a day of
	// 44 full engines, 0.42 with it.
	readAhead = 3500
	// FarCall is the weight of the way to another failure domain for a call: it
	// takes a millisecond.
	FarCall = 0.02
	// seatWeight and backlogWeight order engines that have room: a full batch
	// doubles a step, and prompts are read at half the engine's speed beside other
	// streams, 7,000 tokens a second. Weights of 2.5 to 12 made no difference over
	// the noise.
	seatWeight    = 0.5
	backlogWeight = 3.0
	// FarCopy is the weight of the way to another failure domain for a copy of a
	// cache, which takes twice as long there. At 0.2 the copies of a full engine
	// took longer than its notice, and 66 of 940 long streams were lost on a day of
	// 44 engines; at 0.6 43 were.
	FarCopy = 0.6
	// copyWeight is the weight of a cache under way to an engine, for the next
	// one: it waits 0.2 to 0.4 s behind it.
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
