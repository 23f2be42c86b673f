package soak

import (
	"context"
	"time"

	"umberladder/platform/fake"
)

const (
	// evacuateBound is how long after the start of an evacuation a call may still reach a
	// server of the failure domain.
	evacuateBound = 5 * time.Second
	// evacuationTime is how long an evacuation lasts.
	evacuationTime = evacuateBound + 2*time.Second
	// mainDomain and evacuatedDomain are the failure domains of the servers. Only the second
	// one is evacuated.
	mainDomain      = "a"
	evacuatedDomain = "b"
)

// nextDomain returns the failure domain of the next server. With evacuations, every third
// server lies in the domain that is evacuated. The caller holds the lock.
func (r *run) nextDomain() string {
	if r.cfg.Evacuations && r.nextID%3 == 0 {
		return evacuatedDomain
	}
	return mainDomain
}

// evacuate evacuates a failure domain for evacuationTime, unless it is being evacuated.
func (r *run) evacuate(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.evacuations); n > 0 && r.evacuations[n-1].to.IsZero() {
		return
	}
	r.store.Evacuate(evacuatedDomain)
	r.evacuations = append(r.evacuations, span{from: time.Now()})
	n := len(r.evacuations) - 1
	r.group.Go(func() error {
		r.sleep(ctx, evacuationTime)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.evacuations[n].to = time.Now()
		r.store.EndEvacuation(evacuatedDomain)
		return nil
	})
}

// writeEvacuation writes the current state of the evacuation. The caller holds the lock.
func (r *run) writeEvacuation() {
	if n := len(r.evacuations); n > 0 && r.evacuations[n-1].to.IsZero() {
		r.store.Evacuate(evacuatedDomain)
		return
	}
	r.store.EndEvacuation(evacuatedDomain)
}

// evacuationViolation returns a violation if the call ran in an evacuated failure domain
// more than evacuateBound after the start of the evacuation.
func (r *run) evacuationViolation(c *call, runs []fake.Run) string {
	for _, run := range runs {
		b := r.findBackend(run.Server)
		if b == nil || b.server.Domain != evacuatedDomain || !r.wasHealthy(c.vm, run.Start) {
			continue
		}
		for _, e := range r.evacuations {
			if run.Start.Sub(e.from) > evacuateBound && (e.to.IsZero() || run.Start.Before(e.to)) {
				return "ran at " + run.Server + " in an evacuated failure domain"
			}
		}
	}
	return ""
}
