package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	served, read := 0, 0
	for _, c := range r.calls {
		if r.countsForFlood(c) {
			read++
			served += c.served()
		}
	}
	usual := float64(served) / float64(max(read, 1))
	var out []string
	for _, f := range r.floods {
		n, ok := 0, 0
		for _, c := range r.calls {
			if c.vm == f.vm.name && r.countsForFlood(c) && c.sentAt.After(f.from.Add(healthyTime)) && c.sentAt.Before(f.to) {
				n++
				ok += c.served()
			}
		}
		if n >= minFloodCalls && float64(ok) < minFloodServed*usual*float64(n) {
			out = append(out, fmt.Sprintf("%s got most connections and served %d of %d calls, %.2f are usual", f.vm.name, ok, n, usual))
		}
	}
	return out
}

// countsForFlood reports whether a call could be served and an unimpaired VM has read it.
func (r *run) countsForFlood(c *call) bool {
	revoked, ok := r.revoked[c.key]
	return c.fatalPart == "" && c.read() && r.wasHealthy(c.vm, c.sentAt) && !(ok && c.sentAt.After(revoked))
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
