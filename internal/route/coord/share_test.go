package coord

import (
	"container/heap"
	"fmt"
	"math"
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
	replayDuration = 12 * time.Second
	targetWait     = 500 * time.Millisecond
	step           = serveInterval
	renewInterval  = 150 * time.Millisecond
)

// replay runs calls through a Coordinator by virtual time that is passed in. Its engines run a
// call for callTime, and the loads are known at once.
type replay struct {
	t             *testing.T
	now           time.Time
	table         *srvtab.Table
	tracker       *alloc.Tracker
	chooser       *pick.Chooser
	coordinator   *Coordinator
	ends          ends
	pending       []*replayCall
	outcomes      map[ident.Workspace]*outcome
	refused       func(c *replayCall, retryAfter time.Duration) // called for each refusal; nil: none
	eachStep      func()                                        // nil: none
	grantedByRank map[int]int
	nextID        uint64
	rand          *rand.Rand
}

type replayCall struct {
	request Request
	demand  *demand
	arrived time.Time
	sentAt  time.Time
	tries   int
	done    bool // granted or refused
	granted bool
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
	r := &replay{t: t, now: epoch, tracker: alloc.New(), outcomes: make(map[ident.Workspace]*outcome), grantedByRank: make(map[int]int), rand: rand.New(rand.NewPCG(1, 2))}
	r.table = srvtab.NewTable(func() {})
	r.setVersion("")
	r.chooser = pick.NewChooser(r.table, r.tracker, health.New(), rates.New(nil, nil))
	r.coordinator = New(r.chooser)
	return r
}

// setVersion gives all engines a version of the software.
func (r *replay) setVersion(v ident.Version) {
	var list []srvtab.Entry
	for i := range replayEngines {
		list = append(list, srvtab.Entry{ID: ident.Server(fmt.Sprint("e", i)), Service: "s", Domain: ident.FailureDomain(rune('a' + i%2)), Slots: replaySlots, Version: v})
	}
	r.table.Replace(list, epoch, epoch)
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
		if r.eachStep != nil {
			r.eachStep()
		}
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
	c.done, c.granted = true, resp.State == Granted
	o := r.outcomes[c.demand.workspace]
	switch {
	case !c.granted:
		o.refused++
		if r.refused != nil {
			r.refused(c, resp.RetryAfter)
		}
	case r.now.Sub(c.arrived) > targetWait:
		o.late++
	default:
		o.inTime++
		s := o.bySubject[c.request.Run.Subject]
		s[1]++
		o.bySubject[c.request.Run.Subject] = s
	}
	if c.granted {
		r.grantedByRank[c.demand.rank]++
		heap.Push(&r.ends, end{r.now.Add(callTime), r.tracker.Reserve(resp.Server, alloc.Load{Calls: 1, Tokens: c.request.Run.Need})})
	}
}

// renew repeats the queued calls, as VMs do, and has clients repeat those that were refused.
func (r *replay) renew() {
	list := r.pending
	r.pending = nil
	for _, c := range list {
		switch {
		case c.done && !c.granted && c.tries < c.demand.retries && r.now.Sub(c.arrived) < targetWait:
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
		c.tries++
		c.done = false
		r.outcomes[c.demand.workspace].refused--
		r.send(c)
	}
}

// replaceCoordinator has another VM take over. Queued calls reach it when they are repeated.
func (r *replay) replaceCoordinator() { r.coordinator = New(r.chooser) }

// TestTwoWorkspaces guards against a workspace with little traffic whose calls are late because
// another one sends ten times as many.
func TestTwoWorkspaces(t *testing.T) {
	for name, tc := range map[string]struct{ small, large demand }{
		"equal priorities": {demand{rank: 1}, demand{rank: 1}},
		"0 and 5":          {demand{rank: 0}, demand{rank: 5}},
		"5 and 0":          {demand{rank: 5}, demand{rank: 0}},
	} {
		t.Run(name, func(t *testing.T) {
			tc.small.workspace, tc.small.perSecond, tc.small.weight = "small", 20, pick.WeightUnit
			tc.large.workspace, tc.large.perSecond, tc.large.weight = "large", 180, pick.WeightUnit
			out := newReplay(t).run(replayDuration, tc.small, tc.large)
			t.Logf("small %+v, %.3f in time; large %.3f in time", *out["small"], out["small"].fraction(), out["large"].fraction())
			assert.Assert(t, out["small"].fraction() >= 0.95)
			assert.Assert(t, out["large"].fraction() >= 0.4)
		})
	}
}

// fill returns the demands of n workspaces that together make a number of calls per second.
func fill(n int, perSecond float64) []demand {
	out := make([]demand, n)
	for i := range out {
		out[i] = demand{workspace: ident.Workspace(fmt.Sprint("w", i)), perSecond: perSecond / float64(n), rank: 1, weight: pick.WeightUnit}
	}
	return out
}

// total returns the sum of the outcomes of all workspaces but one.
func total(out map[ident.Workspace]*outcome, except ident.Workspace) outcome {
	sum := outcome{}
	for w, o := range out {
		if w != except {
			sum.calls, sum.inTime, sum.late, sum.refused = sum.calls+o.calls, sum.inTime+o.inTime, sum.late+o.late, sum.refused+o.refused
		}
	}
	return sum
}

// TestOneOfMany guards against one of 24 workspaces that sends five times its share, and thereby
// makes calls of the others late.
func TestOneOfMany(t *testing.T) {
	for name, change := range map[string]func(*demand){
		"as others":                   func(*demand) {},
		"whose clients retry at once": func(d *demand) { d.retries = 1000 },
		"with many subjects":          func(d *demand) { d.subject = func(n int) uint64 { return uint64(n) } },
	} {
		t.Run(name, func(t *testing.T) {
			demands := fill(24, 96) // of about 107 per second that fit
			quiet := newReplay(t).run(replayDuration, demands...)
			change(&demands[0])
			demands[0].perSecond *= 5
			busy := newReplay(t).run(replayDuration, demands...)
			before, after := total(quiet, "w0"), total(busy, "w0")
			t.Logf("others %.3f in time, before %.3f; the one %.3f", after.fraction(), before.fraction(), busy["w0"].fraction())
			assert.Assert(t, after.fraction() >= before.fraction()-0.05)
			granted := after.inTime + after.late + busy["w0"].inTime + busy["w0"].late
			assert.Assert(t, float64(granted) >= 0.93*107*replayDuration.Seconds(), "%d granted: capacity is wasted", granted)
		})
	}
}

// TestAlone guards against capacity that is withheld from a workspace while no other wants it.
func TestAlone(t *testing.T) {
	inTime := func(weight int) int {
		return newReplay(t).run(replayDuration, demand{workspace: "a", perSecond: 200, rank: 1, weight: weight})["a"].inTime
	}
	alone, withoutShares := inTime(1), inTime(0)
	t.Logf("%d in time, %d without shares", alone, withoutShares)
	assert.Assert(t, float64(alone) >= 0.98*float64(withoutShares))
}

// TestHotSubject guards against one subject with a quarter of a workspace's calls that makes calls
// of the other subjects late.
func TestHotSubject(t *testing.T) {
	d := demand{workspace: "a", perSecond: 120, rank: 1, weight: pick.WeightUnit}
	d.subject = func(n int) uint64 {
		if n%4 == 0 {
			return 0
		}
		return uint64(1 + n%30)
	}
	out := newReplay(t).run(replayDuration, d)["a"]
	calls, inTime := 0, 0
	for s, n := range out.bySubject {
		if s != 0 {
			calls, inTime = calls+n[0], inTime+n[1]
		}
	}
	hot := out.bySubject[0]
	others := float64(inTime) / float64(calls)
	t.Logf("hot subject: %d of %d in time; others %.3f", hot[1], hot[0], others)
	assert.Assert(t, others >= 0.95)
	assert.Assert(t, float64(hot[1]) >= 0.4*float64(hot[0]))
}

// TestRanks guards against calls that get nothing because rank 0 uses all capacity: they get a
// quarter of it.
func TestRanks(t *testing.T) {
	for _, other := range []ident.Workspace{"a", "b"} {
		t.Run("other calls of workspace "+string(other), func(t *testing.T) {
			out := newReplay(t)
			out.run(replayDuration, demand{workspace: "a", perSecond: 200, rank: 0, weight: pick.WeightUnit}, demand{workspace: other, perSecond: 200, rank: 2, weight: pick.WeightUnit})
			granted := out.grantedByRank
			part := float64(granted[2]) / float64(granted[0]+granted[2])
			t.Logf("%d of rank 0 and %d of rank 2 granted", granted[0], granted[2])
			assert.Assert(t, part >= 0.2 && part <= 0.3)
		})
	}
}

// TestReplacedCoordinator guards against a coordinator that is unfair because it has just taken
// over, or that loses queued calls.
func TestReplacedCoordinator(t *testing.T) {
	r := newReplay(t)
	small := demand{workspace: "small", perSecond: 20, rank: 1, weight: pick.WeightUnit}
	large := demand{workspace: "large", perSecond: 180, rank: 1, weight: pick.WeightUnit}
	for range 10 {
		r.run(2*time.Second, small, large)
		r.replaceCoordinator()
	}
	t.Logf("small %.3f in time", r.outcomes["small"].fraction())
	assert.Assert(t, r.outcomes["small"].fraction() >= 0.93)
}

// TestThousandsOfWorkspaces guards against state that grows with the number of workspaces, and
// against capacity that is lost by dividing it among many.
func TestThousandsOfWorkspaces(t *testing.T) {
	r := newReplay(t)
	r.run(replayDuration/2, fill(3*4096, 200)...)
	all := total(r.outcomes, "")
	t.Logf("%d of %d in time", all.inTime, all.calls)
	assert.Assert(t, float64(all.inTime+all.late) >= 0.93*107*replayDuration.Seconds()/2)
	sq := r.coordinator.queues["s"]
	assert.Assert(t, len(sq.queued) <= sq.queueLen())
}

// TestBlockedWorkspace guards against a workspace none of whose calls can be placed, since its
// failure domain is full, and that keeps others from the rest.
func TestBlockedWorkspace(t *testing.T) {
	run := func(weight int) (granted int, small float64) {
		out := newReplay(t).run(replayDuration,
			demand{workspace: "bound", perSecond: 90, rank: 1, weight: 4 * weight, domains: []ident.FailureDomain{"a"}},
			demand{workspace: "small", perSecond: 10, rank: 1, weight: weight}, demand{workspace: "large", perSecond: 100, rank: 1, weight: weight})
		for w, o := range out {
			t.Logf("weight %d, %s: %.3f in time", weight, w, o.fraction())
			granted += o.inTime + o.late
		}
		return granted, out["small"].fraction()
	}
	withoutShares, _ := run(0)
	granted, small := run(pick.WeightUnit)
	t.Logf("%d granted, %d without shares", granted, withoutShares)
	assert.Assert(t, small >= 0.9)
	assert.Assert(t, granted >= withoutShares && float64(granted) >= 0.93*107*replayDuration.Seconds(), "capacity is wasted")
}

// TestLargeCalls guards against calls that need much memory and never get it, because smaller
// ones of other workspaces take what is free.
func TestLargeCalls(t *testing.T) {
	out := newReplay(t).run(replayDuration,
		demand{workspace: "large-calls", perSecond: 5, rank: 1, weight: pick.WeightUnit, need: 4 * callTokens}, demand{workspace: "small-calls", perSecond: 200, rank: 1, weight: pick.WeightUnit})
	t.Logf("large calls %.3f in time, small ones %.3f", out["large-calls"].fraction(), out["small-calls"].fraction())
	assert.Assert(t, out["large-calls"].fraction() >= 0.8)
}

// TestOldVMs guards against shares that are applied to calls of VMs that state none.
func TestOldVMs(t *testing.T) {
	run := func(weight int) (small, large float64) {
		out := newReplay(t).run(replayDuration, demand{workspace: "small", perSecond: 20, rank: 1}, demand{workspace: "large", perSecond: 180, rank: 1, weight: weight})
		return out["small"].fraction(), out["large"].fraction()
	}
	small, large := run(pick.WeightUnit)
	oldSmall, oldLarge := run(0)
	t.Logf("small %.3f and large %.3f in time, %.3f and %.3f if no VM states a share", small, large, oldSmall, oldLarge)
	const random = 0.03 // engines are chosen at random among equals
	assert.Assert(t, math.Abs(small-oldSmall) < random && math.Abs(large-oldLarge) < random)
}

// TestLatePlaces guards against a workspace that holds all places of calls that cannot start in
// time while others want some.
func TestLatePlaces(t *testing.T) {
	r := newReplay(t)
	for i := range replayEngines {
		r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots, Tokens: 1 << 20})
	}
	refused := map[ident.Workspace]int{}
	submit := func(w ident.Workspace, weight int) {
		r.nextID++
		run := pick.Request{Service: "s", Rank: 1, Need: callTokens, EngineMemory: 1 << 20, From: "a", Workspace: w, Weight: weight, MaxWait: time.Second}
		r.coordinator.Submit(Request{VM: "vm", ID: r.nextID, Run: run}, func(resp Response) {
			if resp.State == NoCapacity {
				refused[w]++
			}
		}, r.now)
	}
	late := func(w ident.Workspace) int { return r.coordinator.queues["s"].queued[w] }
	for range 2 * maxLate {
		submit("a", pick.WeightUnit)
	}
	assert.Equal(t, late("a"), maxLate)
	for range 2 * maxLate {
		submit("b", pick.WeightUnit)
	}
	assert.DeepEqual(t, []int{late("a"), late("b")}, []int{maxLate / 2, maxLate / 2})
	for range 2 * maxLate {
		submit("c", 2*pick.WeightUnit)
		submit("a", pick.WeightUnit)
	}
	assert.DeepEqual(t, []int{late("a"), late("b"), late("c")}, []int{maxLate / 4, maxLate / 4, maxLate / 2})
	assert.Equal(t, r.coordinator.QueueLen(), maxLate)
	assert.Equal(t, r.coordinator.WaitingWorkspaces(), 3)
}

// limits is an Observer that records changes of limits.
type limits struct {
	list               []Limit
	granted, refused   int
	refusedWithinShare int
	retries            [2]int // refused, served
}

func (l *limits) RecordRetry(served bool) {
	if served {
		l.retries[1]++
	} else {
		l.retries[0]++
	}
}

func (l *limits) RecordGrant(_ int, _ bool, tokens int) { l.granted += tokens }

func (l *limits) RecordRefusal(_ int, overShare bool) {
	l.refused++
	if !overShare {
		l.refusedWithinShare++
	}
}

func (l *limits) LimitChanged(limit Limit) { l.list = append(l.list, limit) }

// TestLimited guards against a state that is reported with each call rather than when it changes,
// and for the wrong workspace.
func TestLimited(t *testing.T) {
	r, seen := newReplay(t), &limits{}
	r.coordinator.WithObserver(seen)
	small := demand{workspace: "small", perSecond: 20, rank: 1, weight: pick.WeightUnit}
	large := demand{workspace: "large", perSecond: 180, rank: 1, weight: pick.WeightUnit}
	r.run(replayDuration, small, large)
	assert.Equal(t, len(seen.list), 1)
	assert.Assert(t, seen.list[0].Limited && seen.list[0].Workspace == "large" && seen.list[0].Service == "s")
	assert.Assert(t, seen.list[0].Share > seen.list[0].Entitled && seen.list[0].Entitled == 0.5)
	assert.Equal(t, seen.granted%callTokens, 0)
	assert.Assert(t, seen.refused > 1000 && float64(seen.refusedWithinShare) <= 0.02*float64(seen.refused), "%d of %d", seen.refusedWithinShare, seen.refused)
	r.run(2*limitedTTL, small)
	assert.Equal(t, len(seen.list), 2)
	assert.Assert(t, !seen.list[1].Limited && seen.list[1].Workspace == "large")
}

// TestRefusal guards against a refusal that does not say what the workspace got.
func TestRefusal(t *testing.T) {
	r := newReplay(t)
	r.run(5*time.Second, demand{workspace: "small", perSecond: 20, rank: 1, weight: pick.WeightUnit}, demand{workspace: "large", perSecond: 180, rank: 1, weight: pick.WeightUnit})
	var got *Response
	for id := uint64(1 << 40); got == nil; id++ {
		run := pick.Request{Service: "s", Rank: 1, Need: callTokens, EngineMemory: 1 << 20, From: "a", Workspace: "large", Weight: pick.WeightUnit, TargetWait: targetWait, MaxWait: targetWait}
		r.coordinator.Submit(Request{VM: "vm", ID: id, Run: run}, func(resp Response) {
			if resp.State == NoCapacity {
				got = &resp
			}
		}, r.now)
	}
	assert.Assert(t, got.Share > 700 && got.Share < 950, "%d thousandths", got.Share)
	assert.Assert(t, got.OwnAhead > 10 && got.OwnAhead <= got.Ahead, "%d of %d", got.OwnAhead, got.Ahead)
}
