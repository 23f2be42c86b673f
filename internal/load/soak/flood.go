package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// floodTime is how long a balancer hands most new connections to one VM.
	floodTime = 6 * time.Second
	// floodShare is the share of connections that it hands to that VM.
	floodShare = 0.9
	// minFloodCalls is the number of calls from which on the share of served ones counts,
	// and minFloodServed that share in relation to the calls of the whole run.
	minFloodCalls  = 20
	minFloodServed = 0.75
)

// flood is a time in which most new connections went to one VM.
type flood struct {
	span
	vm *vm
}

// startFlood makes the balancer hand most new connections to one VM for floodTime, and clients
// open a connection for each call.
func (r *run) startFlood(ctx context.Context) {
	f := &flood{span: span{from: time.Now()}, vm: r.vms[r.rng.IntN(len(r.vms))]}
	if !r.flooded.CompareAndSwap(nil, f) {
		return
	}
	r.group.Go(func() error {
		r.sleep(ctx, floodTime)
		r.flooded.Store(nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		f.to = time.Now()
		r.floods = append(r.floods, f)
		return nil
	})
}

// chooseVM returns the VM to which the balancer hands a client's connection. During a flood, an
// open connection is not used again.
func (r *run) chooseVM(rng *rand.Rand, c *http.Client) *vm {
	if f := r.flooded.Load(); f != nil {
		c.CloseIdleConnections()
		if rng.Float64() < floodShare {
			return f.vm
		}
	}
	return r.vms[rng.IntN(len(r.vms))]
}

// floodViolations returns a violation for each flood in which too few of the calls were served
// that the flooded VM had read, from healthyTime after its start on.
func (r *run) floodViolations() []string {
	usual := r.tally(func(*call) bool { return true }).share()
	var out []string
	for _, f := range r.floods {
		t := r.tally(func(c *call) bool {
			return c.vm == f.vm.name && c.sentAt.After(f.from.Add(healthyTime)) && c.sentAt.Before(f.to)
		})
		if t.read >= minFloodCalls && t.share() < minFloodServed*usual {
			out = append(out, fmt.Sprintf("%s got most connections and served %d of %d calls, %.2f are usual", f.vm.name, t.served, t.read, usual))
		}
	}
	return out
}

// tally counts calls that a VM has read, and those of them that were served.
type tally struct{ read, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.read, 1)) }

// tally counts the calls that include selects, as far as they count for floods.
func (r *run) tally(include func(c *call) bool) tally {
	var t tally
	for _, c := range r.calls {
		if r.countsForFlood(c) && include(c) {
			t.read++
			t.served += c.served()
		}
	}
	return t
}

// countsForFlood reports whether a call could be served and an unimpaired VM has read it. Calls
// that failed because servers had ended, as many do when requests crash them, do not count.
func (r *run) countsForFlood(c *call) bool {
	revoked := r.revoked[c.key]
	valid := revoked.IsZero() || c.sentAt.Before(revoked)
	return c.fatalPart == "" && c.body == "" && valid && c.read() && !c.failedByServers() && r.wasHealthy(c.vm, c.sentAt)
}

// serverReasons are the reasons of refusals that are due to servers.
var serverReasons = []string{"unreachable", "server-died", "server-refused", "no-server", "quarantined", "part-quarantined"}

// failedByServers reports whether the call failed because of a server.
func (c *call) failedByServers() bool {
	brokenOff := c.status == http.StatusOK && !c.complete
	return brokenOff || c.status == http.StatusInternalServerError || slices.ContainsFunc(serverReasons, func(reason string) bool {
		return strings.Contains(c.refusal, fmt.Sprintf("\"reason\":%q", reason))
	})
}

// read reports whether a VM has read the call: it responded, or the client left after its
// timeout.
func (c *call) read() bool { return c.status != 0 || c.timedOut }

// served returns 1 if the call was served, else 0.
func (c *call) served() int {
	if c.status == http.StatusOK && c.complete {
		return 1
	}
	return 0
}
