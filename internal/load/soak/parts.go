package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"umberladder/platform/fake"
)

const (
	// maxPartCrashes is how many servers a part of a prompt may crash before it has to be in
	// quarantine. VMs have healthyTime to learn of the crashes; maxLateRuns is how many
	// requests with it may still reach servers after that.
	maxPartCrashes = 5
	maxLateRuns    = 3
	// partRequests is how many requests with a fatal part are sent, and maxPartPause the
	// longest time between two of them.
	partRequests = 60
	maxPartPause = 250 * time.Millisecond
	// sharedPart is the first part of the prompts of all sound requests.
	sharedPart = "a1"
	// partReason is the reason in the refusal of a request with a quarantined part.
	partReason = `"reason":"part-quarantined"`
)

// partPaths are the paths of requests with fatal parts.
var partPaths = []string{"/stream/part", "/once/part", "/get/part"}

// soundPrompt returns the parts of a sound request's prompt.
func soundPrompt(rng *rand.Rand, id string) []string {
	return []string{sharedPart, fmt.Sprintf("c%d", rng.IntN(5)), id}
}

// fatalPart starts a client that sends requests with a part that crashes servers to random VMs.
// No two of them are alike; all else in their prompts is shared with sound requests.
func (r *run) fatalPart(ctx context.Context) {
	r.mu.Lock()
	r.nextID++
	part := fmt.Sprintf("%s-%d", fake.FatalPart, r.nextID)
	r.mu.Unlock()
	path, first := partPaths[r.rng.IntN(len(partPaths))], r.rng.IntN(2) == 0
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(r.rng.IntN(1<<30))))
	r.group.Go(func() error {
		for n := 0; n < partRequests && ctx.Err() == nil; n++ {
			v := r.vms[rng.IntN(len(r.vms))]
			id := fmt.Sprintf("s%d-%s-%d", r.cfg.Seed, part, n)
			c := &call{id: id, path: path, key: fmt.Sprintf("key-%d", numKeys-1), vm: v.name, body: id, fatalPart: part, prompt: []string{sharedPart, part, id}}
			if first {
				c.prompt = []string{part, fmt.Sprintf("c%d", rng.IntN(5)), id}
			}
			r.group.Go(func() error {
				r.send(ctx, http.DefaultClient, c, v.clientAddr)
				if ctx.Err() == nil {
					r.addCall(c)
				}
				return nil
			})
			r.sleep(ctx, time.Duration(rng.Int64N(int64(maxPartPause))))
		}
		return nil
	})
}

// partViolations returns a violation for each fatal part whose requests still reached servers
// too often after maxPartCrashes crashes, and for sound requests that were refused because of a
// part that they share.
func (r *run) partViolations() []string {
	byPart := make(map[string][]*call)
	refused := 0
	for _, c := range r.calls {
		switch {
		case c.fatalPart != "":
			byPart[c.fatalPart] = append(byPart[c.fatalPart], c)
		case strings.Contains(c.refusal, partReason):
			refused++
		}
	}
	var out []string
	for part, calls := range byPart {
		var crashes []time.Time
		for _, c := range calls {
			for _, run := range r.runLog.Runs(c.id) {
				crashes = append(crashes, run.Start)
			}
		}
		if len(crashes) < maxPartCrashes {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		limit, late := crashes[maxPartCrashes-1].Add(healthyTime), 0
		for _, c := range calls {
			if c.sentAt.After(limit) && r.wasHealthy(c.vm, c.sentAt) {
				late += len(r.runLog.Runs(c.id))
			}
		}
		if late > maxLateRuns {
			out = append(out, fmt.Sprintf("part %s: sent %d times more, %d servers ended", part, late, len(crashes)))
		}
	}
	if refused > maxSoundRefused {
		out = append(out, fmt.Sprintf("%d sound requests were refused because of a part that they share", refused))
	}
	return out
}

// maxSoundRefused is how many sound requests may be refused because of a part that they share.
// VMs may blame a shared part until they have received all evidence.
const maxSoundRefused = 20
