package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/alloc"
	"umberladder/internal/state/srvtab"
)

const (
	lendMemory = 26_830 // of each engine, in tokens
	lendOutput = 748    // tokens that each stream generates
	lendAhead  = 250    // reserved for the next tokens of a stream
	lendStep   = 128    // tokens after which a stream's reservation is updated
	lendShort  = 2558   // memory of a short run
	lendTime   = 500 * time.Millisecond
	perToken   = 7 * time.Millisecond
)

// lendReplay replays short runs, one every interval, on engines that are full of streams, and returns
// how many were granted and how often, of all times at all engines, memory ran out. Short runs end
// after lendTime. Streams that end are replaced by new ones with random prompts while there is room,
// before the short runs.
func lendReplay(request Request, seed uint64, measured int) (granted int, exhausted float64) {
	const interval, duration = 25 * time.Millisecond, 10 * time.Second
	type stream struct {
		started time.Time
		prompt  int
	}
	type short struct {
		id   ident.Server
		ends time.Time
		held *alloc.Reservation
	}
	start, tracker, rng := time.Unix(1_800_000_000, 0), alloc.New(), rand.New(rand.NewPCG(1, seed))
	table := srvtab.NewTable(func() {})
	ids := []ident.Server{"e0", "e1", "e2", "e3"}
	for _, id := range ids {
		table.Put(srvtab.Entry{ID: id, Service: "engines", Slots: 24, Domain: "a"})
	}
	c := NewChooser(table, tracker, health.New(), rates.New(fleetSize(1), nil))
	streams := make(map[ident.Server][]stream)
	held := make(map[ident.Server]*alloc.Reservation)
	var shorts []short
	for at := time.Duration(0); at < duration; at += interval {
		now := start.Add(at)
		generated := func(s stream) int { return int(now.Sub(s.started) / perToken) }
		for len(shorts) > 0 && !now.Before(shorts[0].ends) {
			shorts[0].held.Release()
			shorts = shorts[1:]
		}
		for _, id := range ids {
			if held[id] != nil {
				held[id].Release()
			}
			var list []stream
			for _, s := range streams[id] {
				if generated(s) < lendOutput {
					list = append(list, s)
				}
			}
			reserved, used := 0, 0
			for _, s := range list {
				reserved += s.prompt + min(generated(s)/lendStep*lendStep+lendAhead, lendOutput)
				used += s.prompt + generated(s)
			}
			for {
				s := stream{started: now, prompt: 1000 + rng.IntN(4000)}
				if at == 0 { // they have different ages
					s.started = now.Add(-time.Duration(rng.IntN(lendOutput)) * perToken)
				}
				need := s.prompt + min(generated(s)/lendStep*lendStep+lendAhead, lendOutput)
				if reserved+tracker.Load(id).Tokens+need > lendMemory {
					break
				}
				list = append(list, s)
				reserved += need
			}
			streams[id] = list
			held[id] = tracker.Reserve(id, alloc.Load{Calls: len(list), Tokens: reserved, PaceRuns: min(measured, len(list)), PaceMicros: min(measured, len(list)) * 7000})
			for _, s := range shorts {
				if s.id == id {
					used += lendShort
				}
			}
			if used > lendMemory {
				exhausted += float64(interval) / float64(duration) / float64(len(ids))
			}
		}
		r := request
		if p, err := c.Choose(&r, nil, now); err == nil {
			granted++
			shorts = append(shorts, short{id: p.Server.ID, ends: now.Add(lendTime), held: tracker.Reserve(p.Server.ID, r.Load())})
		}
	}
	return granted, exhausted
}

var shortRun = Request{Service: "engines", Need: lendShort, EngineMemory: lendMemory, From: "a", Prefill: 2200, Output: 8}

// TestLentMemory guards against short runs that wait for engines full of streams, although they
// end before the streams need the memory that is reserved for their next tokens, and against
// engines that run out of memory more often for it and preempt streams. The load is a burst of
// short runs, one every 25 ms, after a burst of long streams.
func TestLentMemory(t *testing.T) {
	total := func(measured int) (granted int, exhausted float64) {
		const seeds = 20
		for seed := range uint64(seeds) {
			n, f := lendReplay(shortRun, seed, measured)
			granted, exhausted = granted+n, exhausted+f/seeds
		}
		return granted, exhausted
	}
	before, exhaustedBefore := total(0)
	granted, exhausted := total(24)
	t.Logf("%d granted, %d without lending; memory runs out in %.4f and %.4f of the time", granted, before, exhausted, exhaustedBefore)
	assert.Assert(t, granted >= before*3/2)
	assert.Assert(t, exhausted <= exhaustedBefore+0.01)
}

// TestLends guards against memory that is lent to long streams, to VMs that decide by themselves, and
// by streams that a load cannot have.
func TestLends(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*Request)
		load   alloc.Load
		ok     bool
	}{
		"enough streams":      {func(*Request) {}, alloc.Load{Calls: 7, PaceRuns: 7}, true},
		"too few streams":     {func(*Request) {}, alloc.Load{Calls: 7, PaceRuns: 3}, false},
		"more than calls":     {func(*Request) {}, alloc.Load{Calls: 3, PaceRuns: 7}, false},
		"fewer than none":     {func(*Request) {}, alloc.Load{Calls: 7, PaceRuns: -7}, false},
		"a long stream":       {func(r *Request) { r.Output = lendOutput }, alloc.Load{Calls: 7, PaceRuns: 7}, false},
		"unknown output":      {func(r *Request) { r.Output = 0 }, alloc.Load{Calls: 7, PaceRuns: 7}, false},
		"a VM that decides":   {func(r *Request) { r.Local = true }, alloc.Load{Calls: 7, PaceRuns: 7}, false},
		"a copy is continued": {func(r *Request) { r.Purpose = Migration }, alloc.Load{Calls: 7, PaceRuns: 7}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table, tracker := srvtab.NewTable(func() {}), alloc.New()
			table.Put(srvtab.Entry{ID: "e", Service: "engines", Slots: 24, Domain: "a"})
			tc.load.Tokens = lendMemory - lendShort + 600
			tracker.Reserve("e", tc.load)
			r := shortRun
			tc.change(&r)
			_, err := NewChooser(table, tracker, health.New(), rates.New(fleetSize(1), nil)).Choose(&r, nil, time.Now())
			assert.Equal(t, err == nil, tc.ok, "%v", err)
		})
	}
}
