package soak

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"umberladder/internal/fake/netcut"
	"umberladder/platform/fake"
)

const (
	// contactTime is the time from the start of a cut, or from when servers become brittle,
	// until VMs have to cope with it.
	contactTime = 3 * time.Second
	// minCutTime and maxCutTime bound how long a cut lasts, and how long servers are brittle.
	minCutTime = contactTime + time.Second
	maxCutTime = contactTime + 4*time.Second
	// brittleSlots is how many calls a brittle server runs at the same time, and
	// brittleRejections how many rejections within a second it survives.
	brittleSlots      = 3
	brittleRejections = 4
)

// vmCut is the time in which some VMs could not reach any server.
type vmCut struct {
	span
	mode  netcut.Mode
	vms   []string
	hosts []netip.Addr
}

// cutVMs cuts some of the VMs, or most of them, off from all servers, unless some are cut
// off already.
func (r *run) cutVMs(ctx context.Context) {
	order := r.rng.Perm(len(r.vms))
	c := &vmCut{mode: netcut.Mode(r.rng.IntN(int(netcut.NumModes)))}
	d := minCutTime + time.Duration(r.rng.Int64N(int64(maxCutTime-minCutTime)))
	for _, n := range order[:1+r.rng.IntN(len(order)-1)] {
		c.vms = append(c.vms, r.vms[n].name)
		c.hosts = append(c.hosts, netip.MustParseAddrPort(r.vms[n].clientAddr).Addr())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.cuts); n > 0 && r.cuts[n-1].to.IsZero() {
		return
	}
	c.from = time.Now()
	for _, b := range r.backends {
		r.record(b.proxy.Cut(c.mode, c.hosts))
	}
	r.cuts = append(r.cuts, c)
	r.group.Go(func() error {
		r.sleep(ctx, d)
		r.mu.Lock()
		defer r.mu.Unlock()
		c.to = time.Now()
		for _, b := range r.backends {
			r.record(b.proxy.Heal())
		}
		return nil
	})
}

// record records that a fault could not be injected. The caller holds the lock.
func (r *run) record(err error) {
	if err != nil {
		r.problems = append(r.problems, err.Error())
	}
}

// makeBrittle makes the plain servers brittle for a time, with little room, unless they are.
func (r *run) makeBrittle(ctx context.Context) {
	d := minCutTime + time.Duration(r.rng.Int64N(int64(maxCutTime-minCutTime)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.brittle); n > 0 && r.brittle[n-1].to.IsZero() {
		return
	}
	r.brittle = append(r.brittle, span{from: time.Now()})
	n := len(r.brittle) - 1
	r.eachPlain(becomeBrittle)
	r.group.Go(func() error {
		r.sleep(ctx, d)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.brittle[n].to = time.Now()
		r.eachPlain(func(s *fake.Server) {
			s.SetBrittle(0)
			s.SetSlots(fake.DefaultSlots)
		})
		return nil
	})
}

func becomeBrittle(s *fake.Server) {
	s.SetSlots(brittleSlots)
	s.SetBrittle(brittleRejections)
}

// applyCuts makes a new server brittle and cut off like the others. The caller holds the
// lock.
func (r *run) applyCuts(b *backend) {
	if n := len(r.cuts); n > 0 && r.cuts[n-1].to.IsZero() {
		r.record(b.proxy.Cut(r.cuts[n-1].mode, r.cuts[n-1].hosts))
	}
	if n := len(r.brittle); n > 0 && r.brittle[n-1].to.IsZero() && b.server.Service == fake.PlainService {
		becomeBrittle(b.server)
	}
}

// eachPlain calls f for all plain servers. The caller holds the lock.
func (r *run) eachPlain(f func(*fake.Server)) {
	for _, b := range r.backends {
		if b.server.Service == fake.PlainService && !b.dead {
			f(b.server)
		}
	}
}

// cutViolations returns a violation for each cut in which VMs that were cut off served their
// clients less than two thirds as often as the others, and more than 10 and 1 in 50 of all
// calls failed there.
func (r *run) cutViolations() []string {
	var out []string
	for _, c := range r.cuts {
		var servedCut, allCut, served, all int
		for _, call := range r.calls {
			if !r.counts(call, c) {
				continue
			}
			n := 0
			if call.status == 200 && call.complete {
				n = 1
			}
			if slices.Contains(c.vms, call.vm) {
				servedCut, allCut = servedCut+n, allCut+1
			} else {
				served, all = served+n, all+1
			}
		}
		if 3*servedCut*all < 2*served*allCut && allCut-servedCut > 10+(all+allCut)/50 {
			out = append(out, fmt.Sprintf("VMs cut off from servers (%s) served %d of %d calls, the others %d of %d", c.mode, servedCut, allCut, served, all))
		}
	}
	return out
}

// counts reports whether a call has to be served during a cut. Calls with revoked keys and
// those at VMs that were stopped recently do not have to be. On a connection that is reset
// after it was established a call may have run, so it is not sent again.
func (r *run) counts(call *call, c *vmCut) bool {
	return c.mode != netcut.NewReset && call.sentAt.Sub(c.from) >= contactTime && call.sentAt.Before(c.to) &&
		r.revoked[call.key].IsZero() && !r.wasStopped(call.vm, call.sentAt.Add(-healthyTime), call.sentAt)
}

// brittleViolations returns a violation for each time in which brittle servers fell over more
// often than twice and once per ten of them. Falls while a VM was impaired do not count.
func (r *run) brittleViolations() []string {
	var out []string
	for _, span := range r.brittle {
		servers, falls := 0, 0
		for _, b := range r.backends {
			if b.server.Service != fake.PlainService {
				continue
			}
			servers++
			for _, at := range b.server.Falls() {
				if at.Sub(span.from) >= contactTime && at.Before(span.to) && r.allHealthy(at) {
					falls++
				}
			}
		}
		if falls > 2+servers/10 {
			out = append(out, fmt.Sprintf("%d brittle servers fell over %d times", servers, falls))
		}
	}
	return out
}

// allHealthy reports whether all VMs were healthy at a point in time.
func (r *run) allHealthy(at time.Time) bool {
	return !slices.ContainsFunc(r.vms, func(v *vm) bool { return !r.wasHealthy(v.name, at) })
}
