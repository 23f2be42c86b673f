package coord

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/pick"
)

// queuedRun returns a request of a workspace that states its share.
func queuedRun(w ident.Workspace, rank, need int) *request {
	return &request{Request: Request{Run: pick.Request{Service: "s", Workspace: w, Weight: pick.WeightUnit, Rank: rank, Need: need}}, lastSeen: epoch}
}

// TestOwedToLargeCalls guards against calls that get nothing while rank 0 waits because each of
// them costs many times as much as a call of rank 0.
func TestOwedToLargeCalls(t *testing.T) {
	l := newLevelQueue()
	granted := map[int]int{}
	push := func(rank, need int) { l.push(queuedRun("a", rank, need), time.Second, epoch) }
	push(0, 150)
	push(5, 3_800)
	for range 2_000 {
		r := l.first()
		granted[r.Run.Rank] += r.Run.Need
		l.remove(r, true, epoch)
		push(r.Run.Rank, r.Run.Need)
	}
	part := float64(granted[5]) / float64(granted[0]+granted[5])
	assert.Assert(t, part >= 0.24 && part <= 0.26, "%.3f of the tokens", part)
}

// TestOwedIsKept guards against a small call of rank 0 that cuts what the others are owed for
// large ones.
func TestOwedIsKept(t *testing.T) {
	l := newLevelQueue()
	l.push(queuedRun("a", 5, 100), time.Second, epoch)
	grant := func(need int) {
		r := queuedRun("a", 0, need)
		l.push(r, time.Second, epoch)
		l.remove(r, true, epoch)
	}
	grant(30_000)
	grant(10)
	assert.Assert(t, l.owed >= 10_000, "%.0f", l.owed)
}

// TestBoundCalls guards against calls that are bound to a full failure domain and keep others from
// the free capacity of another domain.
func TestBoundCalls(t *testing.T) {
	type call struct {
		workspace ident.Workspace
		bound     bool
		target    time.Duration
	}
	var many []call
	for i := range maxSkipped + 1 {
		many = append(many, call{ident.Workspace(fmt.Sprint("w", i)), true, targetWait})
	}
	for name, tc := range map[string]struct {
		bound []call
		last  call
	}{
		"a late call":                  {[]call{{"a", true, targetWait}}, call{"b", false, 0}},
		"a call of the workspace":      {[]call{{"a", true, targetWait}}, call{"a", false, 2 * targetWait}},
		"a call after many workspaces": {many, call{"z", false, 2 * targetWait}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t)
			for i := 0; i < replayEngines; i += 2 {
				r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots, Tokens: 1 << 20})
			}
			var last Response
			for i, c := range append(tc.bound, tc.last) {
				run := pick.Request{Service: "s", Rank: 1, Need: callTokens, EngineMemory: 1 << 20, From: "a", Workspace: c.workspace, Weight: pick.WeightUnit, TargetWait: c.target, MaxWait: 2 * targetWait}
				if c.bound {
					run.Domains = []ident.FailureDomain{"a"}
				}
				r.coordinator.Submit(Request{VM: "vm", ID: uint64(i), Run: run}, func(resp Response) { last = resp }, r.now)
				assert.Equal(t, last.State, Waiting)
			}
			r.coordinator.serve(r.now)
			assert.Equal(t, last.State, Granted)
			assert.Equal(t, r.coordinator.QueueLen(), len(tc.bound))
		})
	}
}

// TestRepeatedAfterDrop guards against a request that is repeated after it was dropped and then
// waits for ever, since it is known but not queued.
func TestRepeatedAfterDrop(t *testing.T) {
	for name, weight := range map[string]int{"by shares": pick.WeightUnit, "without shares": 0} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(t)
			var release []*alloc.Reservation
			for i := range replayEngines {
				release = append(release, r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots, Tokens: 1 << 20}))
			}
			var last Response
			submit := func() {
				run := pick.Request{Service: "s", Rank: 1, Need: callTokens, EngineMemory: 1 << 20, From: "a", Workspace: "w", Weight: weight, TargetWait: 2 * time.Second, MaxWait: 4 * time.Second}
				r.coordinator.Submit(Request{VM: "vm", ID: 1, Run: run}, func(resp Response) { last = resp }, r.now)
			}
			submit()
			r.now = r.now.Add(requestTTL + step)
			r.coordinator.serve(r.now)
			assert.Equal(t, r.coordinator.QueueLen(), 0)
			submit()
			assert.Equal(t, last.State, Waiting)
			assert.Equal(t, r.coordinator.QueueLen(), 1)
			for _, reservation := range release {
				reservation.Release()
			}
			r.coordinator.serve(r.now)
			assert.Equal(t, last.State, Granted)
		})
	}
}

// TestNoServerIsFree guards against requests that are charged to their workspaces although no
// server accepts work.
func TestNoServerIsFree(t *testing.T) {
	r := newReplay(t)
	for i := range replayEngines {
		r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots, Tokens: 1 << 20})
	}
	var states [2]State
	for i, run := range []pick.Request{{Rank: 0, Need: callTokens}, {Rank: 1, Need: 1}} {
		run.Service, run.EngineMemory, run.Workspace, run.Weight, run.TargetWait, run.MaxWait = "s", 1<<20, "w", pick.WeightUnit, targetWait, targetWait
		r.coordinator.Submit(Request{VM: "vm", ID: uint64(i), Run: run}, func(resp Response) { states[i] = resp.State }, r.now)
	}
	assert.Equal(t, r.coordinator.QueueLen(), 2)
	r.table.Replace(nil, r.now, r.now)
	r.coordinator.serve(r.now)
	assert.DeepEqual(t, states, [2]State{NoServer, NoServer})
	assert.Equal(t, r.coordinator.queues["s"].levels[onTimeLevel].owed, 0.0)
}

// TestLatePlacesOfRankZero guards against late calls of rank 0 that lose their places to calls of
// other ranks, or before them.
func TestLatePlacesOfRankZero(t *testing.T) {
	r := newReplay(t)
	for i := range replayEngines {
		r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots, Tokens: 1 << 20})
	}
	refused := map[int]int{} // by rank
	submit := func(w ident.Workspace, rank int) {
		r.nextID++
		run := pick.Request{Service: "s", Rank: rank, Need: callTokens, EngineMemory: 1 << 20, From: "a", Workspace: w, Weight: pick.WeightUnit, MaxWait: time.Second}
		r.coordinator.Submit(Request{VM: "vm", ID: r.nextID, Run: run}, func(resp Response) {
			if resp.State == NoCapacity {
				refused[rank]++
			}
		}, r.now)
		r.now = r.now.Add(time.Millisecond)
	}
	for range 3 {
		submit("a", 5)
	}
	for range maxLate - 3 {
		submit("a", 0)
	}
	submit("b", 0)
	assert.DeepEqual(t, refused, map[int]int{5: 1})
	submit("b", 5)
	assert.DeepEqual(t, refused, map[int]int{5: 2}) // another one of workspace a
	submit("c", 5)
	assert.DeepEqual(t, refused, map[int]int{5: 3}) // the last one of workspace a
	submit("d", 5)
	assert.DeepEqual(t, refused, map[int]int{5: 4}) // rank 5 of workspace b, though a has more places
	submit("d", 0)
	assert.DeepEqual(t, refused, map[int]int{5: 5}) // rank 5 of its own workspace, though a has more places
	submit("d", 0)
	assert.DeepEqual(t, refused, map[int]int{5: 5, 0: 1}) // only rank 0 of workspace a is eligible
	submit("c", 5)
	assert.DeepEqual(t, refused, map[int]int{5: 6, 0: 1}) // itself: only rank 0 is left of a, b and d
	submit("e", 5)
	assert.DeepEqual(t, refused, map[int]int{5: 7, 0: 1}) // itself: c has no more places than it
}

// TestLatePlacesOfOneWorkspace guards against a late call of rank 0 that is refused while late calls
// of other ranks of its own workspace hold places.
func TestLatePlacesOfOneWorkspace(t *testing.T) {
	r := newReplay(t)
	for i := range replayEngines {
		r.tracker.Reserve(ident.Server(fmt.Sprint("e", i)), alloc.Load{Calls: replaySlots, Tokens: 1 << 20})
	}
	var refused []uint64
	submit := func(id uint64, rank int) {
		run := pick.Request{Service: "s", Rank: rank, Need: callTokens, EngineMemory: 1 << 20, From: "a", Workspace: "a", Weight: pick.WeightUnit, MaxWait: time.Second}
		r.coordinator.Submit(Request{VM: "vm", ID: id, Run: run}, func(resp Response) {
			if resp.State == NoCapacity {
				refused = append(refused, id)
			}
		}, r.now)
		r.now = r.now.Add(time.Millisecond)
	}
	for id := range uint64(maxLate) {
		submit(id, min(int(id), 3)) // the first call has rank 0
	}
	submit(100, 0)
	assert.DeepEqual(t, refused, []uint64{maxLate - 1}) // the one with the latest deadline
	submit(101, 1)
	assert.DeepEqual(t, refused, []uint64{maxLate - 1, 101}) // rank 1 displaces no call of its workspace
	for id := range uint64(maxLate - 2) {
		submit(200+id, 0)
	}
	assert.Equal(t, len(refused), maxLate)
	submit(300, 0)
	assert.Equal(t, refused[maxLate], uint64(300)) // only rank 0 is left
}

// TestEstimateOfRankZero guards against a predicted wait of a call of rank 0 that leaves out what
// calls of other ranks are granted meanwhile.
func TestEstimateOfRankZero(t *testing.T) {
	for name, tc := range map[string]struct {
		others int // tokens
		want   time.Duration
	}{
		"alone":                         {0, 3 * time.Second},
		"others get a quarter":          {100_000, 4 * time.Second},
		"no more than what others need": {500, 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			sq := newServiceQueue("s")
			push := func(r *request) {
				r.level = onTimeLevel
				sq.push(r, time.Second, epoch)
			}
			push(queuedRun("a", 0, 2_000))
			if tc.others > 0 {
				push(queuedRun("b", 5, tc.others))
			}
			sq.grantRate[onTimeLevel] = 1_000
			sq.busySince, sq.updatedAt = epoch, epoch.Add(time.Minute)
			got := sq.estimateWait(queuedRun("a", 0, 1_000), onTimeLevel)
			assert.Equal(t, got.Round(time.Millisecond), tc.want)
		})
	}
}
