package rates

import "time"

// slots is the number of slots that a Span is divided into. One more slot is kept, so that
// the window always covers a full Span.
const slots = 20

// window is a sliding-window counter of the requests in the last Span.
type window struct {
	newest int64 // number of the newest slot, counted from the Unix epoch
	counts [slots + 1]int
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.newest%(slots+1)]++
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// advance clears the slots that have left the window.
func (w *window) advance(now time.Time) {
	current := now.UnixNano() / int64(Span/slots)
	for steps := 0; w.newest < current && steps <= slots; steps++ {
		w.newest++
		w.counts[w.newest%(slots+1)] = 0
	}
	w.newest = max(w.newest, current)
}
