package timing

import "time"

const (
	// Window is the length of the sliding window of response times.
	Window = time.Second
	// slots is the number of slots that a Window is divided into.
	slots = 10
)

// Stats sums up the calls to one server in the last Window, at one or more VMs.
type Stats struct {
	Responses  int           // complete responses, except failures: a server that fails fast is not fast
	Time       time.Duration // total response time of Responses
	Rejections int           // calls that the server did not run
	InFlight   int           // calls in flight at the time of the report
}

func (s Stats) add(o Stats) Stats {
	return Stats{Responses: s.Responses + o.Responses, Time: s.Time + o.Time, Rejections: s.Rejections + o.Rejections, InFlight: s.InFlight + o.InFlight}
}

func (s Stats) sub(o Stats) Stats {
	return Stats{Responses: s.Responses - o.Responses, Time: s.Time - o.Time, Rejections: s.Rejections - o.Rejections, InFlight: s.InFlight - o.InFlight}
}

// mean returns the mean response time; zero: there was no response.
func (s Stats) mean() time.Duration {
	if s.Responses == 0 {
		return 0
	}
	return s.Time / time.Duration(s.Responses)
}

// calls returns the number of calls that the server answered.
func (s Stats) calls() int { return s.Responses + s.Rejections }

const (
	// maxCount and maxTime bound what one VM may report, so that sums over all VMs do not
	// overflow.
	maxCount = 1 << 24
	maxTime  = 24 * time.Hour
)

// valid reports whether the sums may come from a VM.
func (s Stats) valid() bool {
	inRange := func(n int) bool { return n >= 0 && n <= maxCount }
	return inRange(s.Responses) && inRange(s.Rejections) && inRange(s.InFlight) && s.Time >= 0 && s.Time <= maxTime
}

// window holds the sums of one server in the last Window.
type window struct {
	newest int64 // number of the newest slot, counted from the Unix epoch
	slots  [slots]Stats
}

func (w *window) add(s Stats, now time.Time) {
	w.advance(now)
	slot := &w.slots[w.newest%slots]
	*slot = slot.add(s)
}

func (w *window) sum(now time.Time) Stats {
	w.advance(now)
	var sum Stats
	for _, s := range w.slots {
		sum = sum.add(s)
	}
	return sum
}

// advance clears the slots that have left the window.
func (w *window) advance(now time.Time) {
	current := now.UnixNano() / int64(Window/slots)
	for steps := 0; w.newest < current && steps < slots; steps++ {
		w.newest++
		w.slots[w.newest%slots] = Stats{}
	}
	w.newest = max(w.newest, current)
}
