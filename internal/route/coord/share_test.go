package coord

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
	"umberladder/internal/state/srvtab"
)

var epoch = time.Unix(1000, 0)

// demand is the calls of one workspace in a replay.
type demand struct {
	workspace ident.Workspace
	perSecond float64
	rank      int
	weight    int                   // in thousandths; zero: the VM states no share
	subject   func(call int) uint64 // nil: all calls have the same
	retries   int                   // how many times a refused call is repeated at once
	need      int                   // zero: callTokens
	domains   []ident.FailureDomain
}

// outcome is what became of the calls of one workspace.
type outcome struct {
	calls, inTime, late, refused int
	bySubject                    map[uint64][2]int // calls, and those in time
}

func (o outcome) fraction() float64 { return float64(o.inTime) / float64(max(o.calls, 1)) }

const (
	// Engines of a replay and the calls that they run at once give about 107 calls per second.
	replayEngines  = 4
	replaySlots    = 24
	callTokens     = 2_600
	callTime       = 900 * time.Millisecond
	replayDuration = 20 * time.Second
	targetWait     = 500 * time.Millisecond
	step           = 5 * time.Millisecond
	renewInterval  = 150 * time.Millisecond
)

// replay runs calls through a Coordinator by virtual time that is passed in. Its engines run a
// call for callTime, and the loads are known at once.
type replay struct {
	t           *testing.T
	now         time.Time
	tracker     *alloc.Tracker
	chooser     *pick.Chooser
	coordinator *Coordinator
	ends        ends
	pending     []*replayCall
	outcomes    map[ident.Workspace]*outcome
	nextID      uint64
	rand        *rand.Rand
}

type replayCall struct {
	request Request
	demand  *demand
	arrived time.Time
	sentAt  time.Time
	tries   int
	done    bool
}

// end is when a reservation ends.
type end struct {
	at          time.Time
	reservation *alloc.Reservation
}

type ends []end

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h ends) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *ends) Push(x any)        { *h = append(*h, x.(end)) }

func (h *ends) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newReplay(t *testing.T) *replay {
	t.Helper()
	r := &replay{t: t, now: epoch, tracker: alloc.New(), outcomes: make(map[ident.Workspace]*outcome), rand: rand.New(rand.NewPCG(1, 2))}
	table := srvtab.NewTable(func() {})
	var list []srvtab.Entry
	for i := range replayEngines {
		list = append(list, srvtab.Entry{ID: ident.Server(fmt.Sprint("e", i)), Service: "s", Domain: ident.FailureDomain(rune('a' + i%2)), Slots: replaySlots})
	}
	table.Replace(list, epoch, epoch)
	r.chooser = pick.NewChooser(table, r.tracker, health.New(), rates.New(nil, nil))
	r.coordinator = New(r.chooser)
	return r
}

// run replays the demands for d.
func (r *replay) run(d time.Duration, demands ...demand) map[ident.Workspace]*outcome {
	due := make([]time.Duration, len(demands))
	count := make([]int, len(demands))
	for i := range demands {
		due[i] = time.Duration(float64(time.Second) / demands[i].perSecond * r.rand.Float64())
	}
	start := r.now
	for ; r.now.Sub(start) < d; r.now = r.now.Add(step) {
		r.release()
		for i := range demands {
			for due[i] <= r.now.Sub(start) {
				r.call(&demands[i], count[i])
				count[i]++
				due[i] += time.Duration(float64(time.Second) / demands[i].perSecond * r.rand.ExpFloat64())
			}
		}
		r.renew()
		r.coordinator.serve(r.now)
	}
	return r.outcomes
}

func (r *replay) release() {
	for len(r.ends) > 0 && !r.ends[0].at.After(r.now) {
		heap.Pop(&r.ends).(end).reservation.Release()
	}
}

func (r *replay) call(d *demand, n int) {
	o := r.outcomes[d.workspace]
	if o == nil {
		o = &outcome{bySubject: make(map[uint64][2]int)}
		r.outcomes[d.workspace] = o
	}
	need := callTokens
	if d.need > 0 {
		need = d.need
	}
	c := &replayCall{demand: d, arrived: r.now, request: Request{VM: "vm", Run: pick.Request{
		Service: "s", Rank: d.rank, Need: need, EngineMemory: replaySlots * callTokens * 10 / 9, From: "a", Domains: d.domains,
		Workspace: d.workspace, Weight: d.weight, RetryKey: r.rand.Uint64(),
	}}}
	if d.subject != nil {
		c.request.Run.Subject = d.subject(n)
	}
	o.calls++
	s := o.bySubject[c.request.Run.Subject]
	s[0]++
	o.bySubject[c.request.Run.Subject] = s
	r.send(c)
}

// send sends a call to the coordinator for the first time, or again after a refusal.
func (r *replay) send(c *replayCall) {
	r.nextID++
	c.request.ID = r.nextID
	elapsed := r.now.Sub(c.arrived)
	c.request.Run.TargetWait, c.request.Run.MaxWait = max(0, targetWait-elapsed), max(0, 2*targetWait-elapsed)
	r.pending = append(r.pending, c)
	r.submit(c)
}

func (r *replay) submit(c *replayCall) {
	c.sentAt = r.now
	r.coordinator.Submit(c.request, func(resp Response) { r.respond(c, resp) }, r.now)
}

func (r *replay) respond(c *replayCall, resp Response) {
	if c.done || resp.State == Waiting || resp.ID != c.request.ID {
		return
	}
	c.done = true
	o := r.outcomes[c.demand.workspace]
	switch {
	case resp.State != Granted:
		o.refused++
	case r.now.Sub(c.arrived) > targetWait:
		o.late++
	default:
		o.inTime++
		s := o.bySubject[c.request.Run.Subject]
		s[1]++
		o.bySubject[c.request.Run.Subject] = s
	}
	if resp.State == Granted {
		heap.Push(&r.ends, end{r.now.Add(callTime), r.tracker.Reserve(resp.Server, alloc.Load{Calls: 1, Tokens: c.request.Run.Need})})
	}
}

// renew repeats the queued calls, as VMs do, and has clients repeat those that were refused.
func (r *replay) renew() {
	list := r.pending
	r.pending = nil
	for _, c := range list {
		switch {
		case c.done && c.tries < c.demand.retries && r.now.Sub(c.arrived) < targetWait:
		case c.done:
			continue
		case r.now.Sub(c.sentAt) >= renewInterval:
			r.submit(c)
			r.pending = append(r.pending, c)
			continue
		default:
			r.pending = append(r.pending, c)
			continue
		}
		if granted := r.isGranted(c); !granted {
			c.tries++
			c.done = false
			r.outcomes[c.demand.workspace].refused--
			r.send(c)
		}
	}
}

// isGranted reports whether the coordinator granted a call.
func (r *replay) isGranted(c *replayCall) bool {
	req := r.coordinator.requests[requestKey{vm: "vm", id: c.request.ID}]
	return req != nil && req.response.State == Granted
}

// TestTwoWorkspaces guards against a workspace with little traffic whose calls are late because
// another one sends ten times as many.
func TestTwoWorkspaces(t *testing.T) {
	for name, tc := range map[string]struct{ small, large demand }{
		"equal priorities": {demand{rank: 1}, demand{rank: 1}},
		"0 and 5":          {demand{rank: 0}, demand{rank: 5}},
		"5 and 0":          {demand{rank: 5}, demand{rank: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			tc.small.workspace, tc.small.perSecond, tc.small.weight = "small", 20, weightUnit
			tc.large.workspace, tc.large.perSecond, tc.large.weight = "large", 180, weightUnit
			out := newReplay(t).run(replayDuration, tc.small, tc.large)
			t.Logf("small %+v, %.3f in time; large %.3f in time", *out["small"], out["small"].fraction(), out["large"].fraction())
			assert.Assert(t, out["small"].fraction() >= 0.95)
			assert.Assert(t, out["large"].fraction() >= 0.4)
		})
	}
}
