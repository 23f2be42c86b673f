// Command 6 checks that no stream goes on at another version of the servers' software than the one
// that began it, at a VM that was cut off while a server of that version came and went.
package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"umberladder/platform/fake"
	"umberladder/review/rig2"
)

const (
	// uptime is how long the VMs run before the trial: longer than streams can live, two attempts
	// of the route's timeout.
	uptime = 79 * time.Second
	// The times of the trial, from the start of the cut on. The new server's entry is removed while
	// it serves, and it ends drainTimeoutMs and a little longer after that.
	streamsFrom   = -1500 * time.Millisecond
	canaryStart   = 200 * time.Millisecond
	canaryRemoved = 2400 * time.Millisecond
	canaryEnd     = 4500 * time.Millisecond
	cutEnd        = 5400 * time.Millisecond
	streamPause   = 25 * time.Millisecond
	events        = 400
	eventInterval = 50 * time.Millisecond
	timeLimit     = 39 * time.Second
	// Each consumer tries once to take its stream up (the sheet's "consumer's retries" is 1), after a
	// pause between minPause and maxPause, within 7.2 s of its last event: four times the route's
	// latency target, after which consumers abandon a stream.
	minPause = 2200 * time.Millisecond
	maxPause = 6400 * time.Millisecond
	// takenUpEvents is how many events of a stream that goes on its consumer reads.
	takenUpEvents = 20
	// mixedAllowed is how many streams may hold events of two versions.
	mixedAllowed = 2
	engines      = 6 // of version v1
	canary       = "canary"
	key          = "key-1"
)

const settings = `{"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"routes":[{"name":"advice","hostname":"` + fake.Host + `","prefix":"/resume/","kind":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"gapTargetMs":180,
"priority":0,"service":"` + fake.EngineService + `","maxAttempts":2,"resumable":true,"sticky":true}],
"services":[{"name":"` + fake.EngineService + `","healthPath":"/health","maxConnections":242,"engine":{"slots":24,"kvCapacityTokens":34288,"stride":4}}],
"tenants":[{"name":"team","apiKeys":["` + key + `"]}]}`

func main() {
	dir, program, err := rig2.Args()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(rig2.Unrun)
	}
	rig2.Main(dir, func(rec *rig2.Record) (bool, error) { return run(rec, program) })
}

func run(rec *rig2.Record, program string) (bool, error) {
	w := rig2.NewWork(rec)
	f, err := rig2.Start(rec, rig2.Config{VMs: 3, Gated: true, Program: program}, func(s *fake.Store) {
		s.Put("op/config", []byte(settings))
		for n := range engines {
			if _, err := rig2.StartEngine(s, w, engine(fmt.Sprintf("engine-%d", n), "v1")); err != nil {
				rec.Printf("engine %d does not start: %v", n, err)
			}
		}
	})
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(uptime)
	t := &trial{f: f, rec: rec, events: make(map[string]int)}
	if err := t.play(w, time.Now().Add(-streamsFrom)); err != nil {
		return false, err
	}
	return t.report(w.Runs()), nil
}

func engine(id, version string) rig2.Engine {
	return rig2.Engine{ID: id, Version: version, Events: events, Interval: eventInterval, Drops: true}
}

// trial is one run of the case.
type trial struct {
	f     *rig2.Fleet
	rec   *rig2.Record
	group sync.WaitGroup

	firstTurn, againTurn atomic.Int64 // of the VMs, for first attempts and for retries

	mu     sync.Mutex
	events map[string]int // by attempt: events that its consumer got
	whole  int
	again  int // streams that consumers took up again
	wentOn int
}

// play plays the trial, in which the cut starts at the given time.
func (t *trial) play(w *rig2.Work, start time.Time) error {
	t.group.Add(1)
	rig2.Go(func() {
		defer t.group.Done()
		for n := 0; time.Now().Before(start.Add(canaryRemoved)); n++ {
			t.group.Add(1)
			rig2.Go(func() { t.consume(n) })
			time.Sleep(streamPause)
		}
	})
	time.Sleep(time.Until(start))
	if rig2.Trouble() {
		t.f.Gate.Cut(true)
		t.rec.Printf("%s is cut off from the other VMs and the store", t.f.VMs[len(t.f.VMs)-1].Name)
	}
	time.Sleep(time.Until(start.Add(canaryStart)))
	c, err := rig2.StartEngine(t.f.Store, w, engine(canary, "v2"))
	if err != nil {
		return err
	}
	t.rec.Printf("a server of version v2 starts")
	time.Sleep(time.Until(start.Add(canaryRemoved)))
	c.Withdraw()
	t.rec.Printf("its entry is removed")
	time.Sleep(time.Until(start.Add(canaryEnd)))
	c.Exit()
	t.rec.Printf("it ends")
	time.Sleep(time.Until(start.Add(cutEnd)))
	t.f.Gate.Cut(false)
	t.rec.Printf("the cut has ended")
	t.group.Wait()
	return nil
}

// pickVM returns one of the VMs that are ready, in turn, or of all if none is, as the platform does.
// Retries reach other VMs than the one of the first attempt.
func (t *trial) pickVM(turn *atomic.Int64, first *rig2.VM) *rig2.VM {
	var ready, others []*rig2.VM
	for _, v := range t.f.VMs {
		if v != first {
			others = append(others, v)
			if v.IsReady() {
				ready = append(ready, v)
			}
		}
	}
	if len(ready) == 0 {
		ready = others
	}
	return ready[int(turn.Add(1))%len(ready)]
}

// consume reads one stream, and tries once to take it up again when its channel breaks.
func (t *trial) consume(n int) {
	defer t.group.Done()
	first := fmt.Sprintf("stream-%d", n)
	v := t.pickVM(&t.firstTurn, nil)
	last := t.read(v, first, "", 0)
	if last == 0 || last == events {
		return
	}
	time.Sleep(minPause + rand.N(maxPause-minPause))
	now := t.read(t.pickVM(&t.againTurn, v), first+"-again", first, last)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.again++
	if now > last {
		t.wentOn++
	}
}

// read sends a request for a stream, which takes one up if first is set, and reads it to its end. It
// returns the number of the last event.
func (t *trial) read(v *rig2.VM, id, first string, last int) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	req, err := fake.NewRequest(ctx, v.Clients, "/resume/x", id, key, timeLimit)
	if err != nil {
		return last
	}
	if first != "" {
		fake.Resume(req, first, last)
	}
	sentAt, from, text := time.Now(), last, ""
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		t.rec.PrintAt(sentAt, "%s to %s: no answer", id, v.Name)
		return last
	}
	defer func() { _ = resp.Body.Close() }()
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		if resp.StatusCode != http.StatusOK {
			text = s.Text()
			continue
		}
		_, _ = fmt.Sscanf(s.Text(), "id: %d", &last)
		if first != "" && last >= from+takenUpEvents {
			break
		}
	}
	t.rec.PrintAt(sentAt, "%s to %s, after event %d: status %d, up to event %d %.180s", id, v.Name, from, resp.StatusCode, last, text)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events[id] = last - from
	if last == events {
		t.whole++
	}
	return last
}

// versionsOf returns the versions whose events are in the streams of an attempt.
func (t *trial) versionsOf(runs []*rig2.EngineRun, attempt string) (v1, v2 bool) {
	if t.events[attempt] == 0 {
		return false, false
	}
	for _, r := range runs {
		v1 = v1 || r.Made > 0 && r.Engine != canary
		v2 = v2 || r.Made > 0 && r.Engine == canary
	}
	return v1, v2
}

// report writes the result and reports whether the rule was broken.
func (t *trial) report(work map[string][]*rig2.EngineRun) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	streams, onCanary, mixed := 0, 0, 0
	for n := 0; ; n++ {
		first := fmt.Sprintf("stream-%d", n)
		if _, ok := t.events[first]; !ok {
			break
		}
		streams++
		a1, a2 := t.versionsOf(work[first], first)
		b1, b2 := t.versionsOf(work[first+"-again"], first+"-again")
		if a2 || b2 {
			onCanary++
		}
		if (a1 || b1) && (a2 || b2) {
			mixed++
			t.rec.Printf("%s holds events of both versions: %d events of its first attempt, %d of its second", first, t.events[first], t.events[first+"-again"])
		}
	}
	t.rec.Printf("%d streams, of which %d ran at version v2; %d came whole, %d were taken up again, %d of these went on; %d hold events of both versions, %d may",
		streams, onCanary, t.whole, t.again, t.wentOn, mixed, mixedAllowed)
	return mixed > mixedAllowed
}
