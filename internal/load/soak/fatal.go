package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"umberladder/platform/fake"
)

const (
	// maxFatalCrashes is how many servers a request may crash before it has to be in
	// quarantine. VMs have healthyTime to learn of the crashes; maxLateFatalRuns is how
	// often the request may still reach servers after that.
	maxFatalCrashes  = 3
	maxLateFatalRuns = 3
	// fatalRepeats is how often a client sends a request that crashes servers.
	fatalRepeats = 40
	// serverRestartDelay is the time from such a crash to the start of a new server.
	serverRestartDelay = time.Second
)

// fatalPaths are the paths of requests that crash every server that runs them.
var fatalPaths = []string{"/stream/fatal", "/once/fatal", "/get/fatal"}

// fatalRequest starts a client that repeatedly sends a request that crashes
// servers, each time to a random VM.
func (r *run) fatalRequest(ctx context.Context) {
	path := fatalPaths[r.rng.IntN(len(fatalPaths))]
	var vms []*vm
	var pauses []time.Duration
	for range fatalRepeats {
		vms = append(vms, r.vms[r.rng.IntN(len(r.vms))])
		pauses = append(pauses, time.Duration(r.rng.IntN(400))*time.Millisecond)
	}
	r.mu.Lock()
	r.nextID++
	id := r.nextID
	r.mu.Unlock()
	r.group.Go(func() error {
		httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
		defer httpClient.CloseIdleConnections()
		for n, v := range vms {
			c := &call{id: fmt.Sprintf("s%d-f%d-%d", r.cfg.Seed, id, n), path: path, key: fmt.Sprintf("key-%d", numKeys-1), vm: v.name, body: fake.FatalBody}
			r.send(ctx, httpClient, c, v.clientAddr)
			if ctx.Err() == nil {
				r.addCall(c)
			}
			r.sleep(ctx, pauses[n])
		}
		return nil
	})
}

// crashOnFatal simulates the crash of a server process by a request, and the
// later start of a new server.
func (r *run) crashOnFatal(ctx context.Context, b *backend) {
	_ = b.ln.Close()
	b.proxy.Close()
	r.mu.Lock()
	b.dead = true
	r.mu.Unlock()
	r.group.Go(func() error {
		r.sleep(ctx, serverRestartDelay)
		r.removeServer(b)
		if ctx.Err() == nil {
			return r.addServerOf(ctx, b.server.Service, b.server.Version())
		}
		return nil
	})
}

// announceDrain starts a replacement for a server and has the server announce its
// drain only in its responses, not in its entry.
func (r *run) announceDrain(ctx context.Context) {
	b := r.pickServer()
	if b == nil || !r.addReplacement(ctx, b) {
		return
	}
	b.server.AnnounceDrain()
	r.group.Go(func() error {
		r.sleep(ctx, 2*drainBound)
		b.server.Crash()
		r.removeServer(b)
		return nil
	})
}

// busyServer has a server reject calls for a time and ask VMs to send none
// meanwhile.
func (r *run) busyServer(context.Context) {
	if b := r.pickServer(); b != nil {
		b.server.RejectFor(time.Duration(500+r.rng.IntN(3000)) * time.Millisecond)
	}
}

// fatalViolations returns a violation for each fatal path whose requests still
// reached servers too often after maxFatalCrashes crashes.
func (r *run) fatalViolations() []string {
	var out []string
	for _, path := range fatalPaths {
		var crashes []time.Time
		for _, c := range r.calls {
			if c.path == path {
				for _, run := range r.runLog.Runs(c.id) {
					crashes = append(crashes, run.Start)
				}
			}
		}
		if len(crashes) < maxFatalCrashes {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		limitReached := crashes[maxFatalCrashes-1]
		lateRuns := 0
		for _, c := range r.calls {
			if c.path == path && c.sentAt.Sub(limitReached) > healthyTime && r.wasHealthy(c.vm, c.sentAt) {
				lateRuns += len(r.runLog.Runs(c.id))
			}
		}
		if lateRuns > maxLateFatalRuns {
			out = append(out, fmt.Sprintf("%s: sent %d times more, %d servers ended", path, lateRuns, len(crashes)))
		}
	}
	return out
}

// drainViolation returns a violation if the call ran at a server whose drain
// announcement the same VM had forwarded in a response more than drainBound before
// the call was sent. It ignores VMs that were stopped or paused in between.
func (r *run) drainViolation(c *call, runs []fake.Run) string {
	for _, other := range r.calls {
		if other.drainingServer == "" || other.vm != c.vm || c.sentAt.Sub(other.respondedAt) <= drainBound || r.wasStopped(c.vm, other.respondedAt, c.sentAt) {
			continue
		}
		for _, run := range runs {
			if run.Server == other.drainingServer {
				return "ran at " + run.Server + ", which the VM knew to be draining"
			}
		}
	}
	return ""
}

// wasStopped reports whether a VM's process was stopped or paused between two
// points in time.
func (r *run) wasStopped(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(r.stops[vm], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
