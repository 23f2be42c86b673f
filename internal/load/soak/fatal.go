package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"umberladder/platform/standin"
)

const (
	// fatalCrashes is how many servers may end under a request, and fatalMore how often
	// it may reach servers once VMs have had the contact time to learn of it.
	fatalCrashes = 3
	fatalMore    = 3
	// fatalRepeats is how often a client repeats a request that ends servers.
	fatalRepeats = 40
	// awayTime is how long a server that ended so is away.
	awayTime = time.Second
)

// fatalPaths are those of requests that end each server that begins to run them.
var fatalPaths = []string{"/stream/fatal", "/once/fatal", "/get/fatal"}

// fatalRequest has a client repeat such a request at any VM.
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
		kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
		defer kept.CloseIdleConnections()
		for n, v := range vms {
			c := &call{id: fmt.Sprintf("s%d-f%d-%d", r.cfg.Seed, id, n), path: path, key: fmt.Sprintf("key-%d", keys-1), vm: v.name, body: standin.FatalBody}
			r.send(ctx, kept, c, v.front)
			if ctx.Err() == nil {
				r.done(c)
			}
			r.sleep(ctx, pauses[n])
		}
		return nil
	})
}

// crashUnder ends a server's process under a request; another start follows.
func (r *run) crashUnder(ctx context.Context, b *backend) {
	_ = b.ln.Close()
	b.proxy.Close()
	r.mu.Lock()
	b.dead = true
	r.mu.Unlock()
	r.group.Go(func() error {
		r.sleep(ctx, awayTime)
		r.end(b)
		if ctx.Err() == nil {
			return r.addServer(ctx, b.server.Service)
		}
		return nil
	})
}

// announceDrain has a server say in its answers alone that it drains; another comes.
func (r *run) announceDrain(ctx context.Context) {
	b := r.pick()
	if b == nil || !r.replace(ctx, b) {
		return
	}
	b.server.Drain()
	r.group.Go(func() error {
		r.sleep(ctx, 2*drainBound)
		b.server.Crash()
		r.end(b)
		return nil
	})
}

// busyServer has a server want no calls for a time.
func (r *run) busyServer(context.Context) {
	if b := r.pick(); b != nil {
		b.server.Busy(time.Duration(500+r.rng.IntN(3000)) * time.Millisecond)
	}
}

// repeated returns the requests that reached servers too often after these had ended.
func (r *run) repeated() []string {
	var out []string
	for _, path := range fatalPaths {
		var crashed []time.Time
		for _, c := range r.calls {
			if c.path == path {
				for _, one := range r.ledger.Runs(c.id) {
					crashed = append(crashed, one.Start)
				}
			}
		}
		if len(crashed) < fatalCrashes {
			continue
		}
		slices.SortFunc(crashed, time.Time.Compare)
		third := crashed[fatalCrashes-1]
		late := 0
		for _, c := range r.calls {
			if c.path == path && c.sent.Sub(third) > contact && r.inTouch(c.vm, c.sent) {
				late += len(r.ledger.Runs(c.id))
			}
		}
		if late > fatalMore {
			out = append(out, fmt.Sprintf("%s: sent %d times more, %d servers ended", path, late, len(crashed)))
		}
	}
	return out
}

// drained names a server that its VM sent the call though it had passed on, long before
// the client sent it, an answer in which that server drains.
func (r *run) drained(c *call, runs []standin.Run) string {
	for _, o := range r.calls {
		if o.drains == "" || o.vm != c.vm || c.sent.Sub(o.ended) <= drainBound || r.restarted(c.vm, o.ended, c.sent) {
			continue
		}
		for _, one := range runs {
			if one.Server == o.drains {
				return "ran at " + one.Server + ", which drains as its VM knows"
			}
		}
	}
	return ""
}

// restarted reports whether a VM's process was stopped or paused between two moments.
func (r *run) restarted(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(r.stops[vm], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}
