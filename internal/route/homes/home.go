package homes

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/queue"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/seats"
)

const (
	// grantTime is how long a grant counts beside what VMs tell: the asker has
	// taken it and told of it by then, though a message is lost.
	grantTime = 60 * time.Millisecond
	// askTime is how long an ask waits without being asked again: its VM is
	// dead, or its client has left.
	askTime = 500 * time.Millisecond
	// keepTime is how long an answer is given again to an ask that is repeated.
	keepTime = time.Second
	// lookEvery is how often those who wait are looked at beside changes.
	lookEvery = 10 * time.Millisecond
	// rateSpan is the time over which the rate of grants is taken.
	rateSpan = time.Second
	// leastBusy is how long some must have waited for the rate to be known.
	leastBusy = 100 * time.Millisecond
	// mostLate is how many calls that can't begin in time wait for room that the
	// others leave. The others are refused at once.
	mostLate = 16
	// markTime is how long a refused request is remembered, so that it does not
	// take the room of one that can still begin in time when it comes back.
	markTime = 15 * time.Second
	// LeastRetry and mostRetry bound the time after which a refused run comes
	// back. Who is refused found all lanes full, which lasts.
	LeastRetry = 4 * time.Second
	mostRetry  = 12 * time.Second
)

// Ask is one want of a VM.
type Ask struct {
	VM     ident.VM
	Number uint64 // of the ask, within all that the VM asks
	Want   pick.Want
}

// State is what becomes of an ask.
type State uint8

// The states.
const (
	Waiting State = iota // there is no room yet
	Granted
	Full     // there will be no room in time
	NoServer // no server takes work
)

// Answer answers an ask.
type Answer struct {
	Number uint64
	State  State
	Server ident.Server  // if granted
	Backup ident.Server  // empty: none
	Ahead  int           // runs that wait before this one
	Retry  time.Duration // when there is likely to be room, if full
}

// Home decides for all VMs that ask it. It is safe for use by several
// goroutines.
type Home struct {
	chooser *pick.Chooser

	mu     sync.Mutex
	asks   map[askKey]*ask
	lines  map[ident.Service]*line
	grants []grant
	marks  map[uint64]time.Time // requests that were refused, and when
}

type askKey struct {
	vm     ident.VM
	number uint64
}

// ask is an ask that waits or was answered.
type ask struct {
	Ask
	reply  func(Answer)
	heard  time.Time
	due    time.Time // after it the run begins late
	end    time.Time // of the wait
	answer Answer
	lane   int
	entry  *queue.Entry[*ask]
}

// Lanes of those who wait, in the order in which they are served.
const (
	movesLane = iota // runs that have to leave their engines
	callsLane        // calls that can still begin in time
	lateLane         // calls that can't
	lanes
)

// line holds the asks that wait for room at a service's engines.
type line struct {
	queues [lanes]*queue.Queue[*ask]
	short  bool           // moves wait for room, not for a link
	urgent int            // tokens that wait of moves and the most urgent calls
	need   [lanes]int     // tokens that wait
	rate   [lanes]float64 // tokens granted in a second, lately, while others wait
	busy   time.Time      // since when there are always some who wait
	at     time.Time      // when the rates were last brought up to date
}

// grant is room given to a VM that may not have told of it yet.
type grant struct {
	server ident.Server
	load   seats.Load
	until  time.Time
}

// NewHome makes a home at which nobody waits.
func NewHome(c *pick.Chooser) *Home {
	return &Home{chooser: c, asks: make(map[askKey]*ask), lines: make(map[ident.Service]*line), marks: make(map[uint64]time.Time)}
}

// Run serves those who wait until ctx ends.
func (h *Home) Run(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-h.chooser.Changed():
		case <-t.C:
		}
		h.serve(time.Now())
	}
}

// Take takes an ask, or one that is repeated. It calls reply with each answer;
// a reply must not call the home.
func (h *Home) Take(a Ask, reply func(Answer), now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := askKey{vm: a.VM, number: a.Number}
	old := h.asks[key]
	if old != nil {
		old.heard, old.reply = now, reply
		reply(old.answer)
		return
	}
	n := &ask{
		Ask: a, reply: reply, heard: now, due: now.Add(a.Want.Due), end: now.Add(a.Want.Wait),
		answer: Answer{Number: a.Number},
	}
	if at, ok := h.marks[a.Want.Mark]; ok && now.Sub(at) < markTime {
		n.due = now
	}
	h.asks[key] = n
	h.chooser.Failed(a.Want.Failed, now)
	l := h.line(a.Want.Service)
	l.fade(now)
	if !l.before(n) {
		if done, _ := h.try(l, n, now); done {
			return
		}
	}
	n.answer.Ahead = l.waiting()
	if !l.enter(n, now) {
		h.refuse(l, n)
		return
	}
	reply(n.answer)
}

// Waiting returns how many asks wait at this home, of all services.
func (h *Home) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, l := range h.lines {
		n += l.waiting()
	}
	return n
}

func (h *Home) line(s ident.Service) *line {
	l := h.lines[s]
	if l == nil {
		l = &line{}
		for i := range l.queues {
			l.queues[i] = queue.New[*ask]()
		}
		h.lines[s] = l
	}
	return l
}

// serve gives room to those who wait, in their order, until there is none.
func (h *Home) serve(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lines {
		l.fade(now)
		l.short = !h.serveMoves(l, now)
		room := !l.short
		for lane := callsLane; lane < lanes; lane++ {
			room = h.serveLane(l, lane, room, now)
		}
	}
	for key, a := range h.asks {
		if a.entry == nil && now.Sub(a.heard) > keepTime {
			delete(h.asks, key)
		}
	}
	for mark, at := range h.marks {
		if now.Sub(at) > markTime {
			delete(h.marks, mark)
		}
	}
}

// serveMoves gives room to the runs that leave their engines, one of each
// engine at a time: caches that share a link all arrive late. It reports
// whether none lacks room.
func (h *Home) serveMoves(l *line, now time.Time) bool {
	room := true
	for _, e := range l.queues[movesLane].Sorted() {
		a := e.Value
		switch {
		case now.Sub(a.heard) > askTime:
			l.drop(a)
		case now.After(a.end):
			l.drop(a)
			h.refuse(l, a)
		case room:
			granted, short := h.try(l, a, now)
			if granted {
				l.drop(a)
			}
			room = !short
		}
	}
	return room
}

// serveLane ends waits that are over and gives room to the others, if there is
// any. It reports whether there may be more room.
func (h *Home) serveLane(l *line, lane int, room bool, now time.Time) bool {
	for {
		e := l.queues[lane].Peek()
		if e == nil {
			return room
		}
		a := e.Value
		switch {
		case now.Sub(a.heard) > askTime:
			l.drop(a)
		case lane == callsLane && now.After(a.due):
			l.drop(a)
			if !l.enter(a, now) {
				h.refuse(l, a)
			}
		case now.After(a.end):
			l.drop(a)
			h.refuse(l, a)
		case room:
			if granted, _ := h.try(l, a, now); !granted {
				return false
			}
			l.drop(a)
		default:
			return false
		}
	}
}

// try gives the ask room if there is any, or tells it that there is no server.
// It reports whether the ask was answered, and if not, whether it is for want
// of room.
func (h *Home) try(l *line, a *ask, now time.Time) (done, short bool) {
	spot, err := h.chooser.Choose(&a.Want, h.pending(now), now)
	switch {
	case errors.Is(err, pick.ErrNoServer):
		a.answer.State = NoServer
	case err != nil:
		var full *pick.NoRoomError
		return false, !errors.As(err, &full) || !full.Link
	default:
		a.answer.State, a.answer.Server = Granted, spot.Server.ID
		h.grants = append(h.grants, grant{server: spot.Server.ID, load: a.Want.Load(), until: now.Add(grantTime)})
		if a.Want.Source != "" {
			h.grants = append(h.grants, grant{server: a.Want.Source, load: seats.Load{Sends: 1}, until: now.Add(grantTime)})
		}
		if spot.Backup != nil {
			a.answer.Backup = spot.Backup.ID
			h.grants = append(h.grants, grant{server: spot.Backup.ID, load: a.Want.BackupLoad(), until: now.Add(grantTime)})
		}
		l.rate[a.laneAt(now)] += float64(a.Want.Need) / rateSpan.Seconds()
	}
	a.reply(a.answer)
	return true, false
}

// refuse tells the ask that there will be no room in time.
func (h *Home) refuse(l *line, a *ask) {
	if a.Want.Mark != 0 {
		h.marks[a.Want.Mark] = a.heard
	}
	a.answer.State = Full
	a.answer.Retry = min(max(l.outlook(a, callsLane), LeastRetry), mostRetry)
	a.reply(a.answer)
}

// pending returns the grants that VMs may not have told of yet.
func (h *Home) pending(now time.Time) map[ident.Server]seats.Load {
	n := 0
	for n < len(h.grants) && now.After(h.grants[n].until) {
		n++
	}
	h.grants = h.grants[n:]
	out := make(map[ident.Server]seats.Load, len(h.grants))
	for _, g := range h.grants {
		out[g.server] = out[g.server].Plus(g.load)
	}
	return out
}

// fade brings the rates of grants up to date. While nobody waits, they say
// nothing of what the engines could take.
func (l *line) fade(now time.Time) {
	if l.waiting() == 0 {
		l.rate = [lanes]float64{}
		l.busy, l.at = now, now
		return
	}
	d := now.Sub(l.at)
	if d <= 0 {
		return
	}
	for i := range l.rate {
		l.rate[i] *= math.Exp(-d.Seconds() / rateSpan.Seconds())
	}
	l.at = now
}

func (l *line) waiting() int {
	n := 0
	for _, q := range l.queues {
		n += q.Len()
	}
	return n
}

// laneAt returns the lane of an ask at a moment.
func (a *ask) laneAt(now time.Time) int {
	switch {
	case a.Want.Use != pick.Call:
		return movesLane
	case !now.Before(a.due):
		return lateLane
	default:
		return callsLane
	}
}

// before reports whether others have to be served before a new ask.
func (l *line) before(a *ask) bool {
	if a.Want.Use != pick.Call {
		return l.short
	}
	return l.short || l.queues[callsLane].Len() > 0
}

// urgent reports whether a goes before the calls that are not urgent.
func (a *ask) urgent() bool { return a.Want.Use != pick.Call || a.Want.Rank == 0 }

// never is an outlook beyond all waits.
const never = time.Hour

// outlook returns how long it takes to serve a and all that go before it in a
// lane, at the rate of the last second; zero if that is not known.
func (l *line) outlook(a *ask, lane int) time.Duration {
	need, rate := a.Want.Need, 0.0
	for i := range lane + 1 {
		need += l.need[i]
		rate += l.rate[i]
	}
	if a.urgent() {
		need = a.Want.Need + l.urgent
	}
	busy := l.at.Sub(l.busy)
	if busy < leastBusy {
		return 0
	}
	known := 1 - math.Exp(-busy.Seconds()/rateSpan.Seconds())
	seconds := float64(need) * known / rate
	if seconds > never.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

// enter lets the ask wait, or reports that it would wait in vain.
func (l *line) enter(a *ask, now time.Time) bool {
	lane := a.laneAt(now)
	if lane == callsLane && l.outlook(a, lane) > a.due.Sub(now) {
		lane = lateLane
	}
	left := a.end.Sub(now)
	if left <= 0 || lane == lateLane && l.queues[lane].Len() >= mostLate {
		return false
	}
	bound := left
	if lane == callsLane {
		bound = a.due.Sub(now)
	}
	a.lane = lane
	a.entry = l.queues[lane].Push(a, a.Want.Rank, now, bound)
	l.count(a, a.Want.Need)
	return true
}

func (l *line) drop(a *ask) {
	l.queues[a.lane].Remove(a.entry)
	a.entry = nil
	l.count(a, -a.Want.Need)
}

func (l *line) count(a *ask, need int) {
	l.need[a.lane] += need
	if a.urgent() {
		l.urgent += need
	}
}
