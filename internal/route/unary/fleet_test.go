package unary_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/call"
	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/hold"
	"umberladder/internal/policy/poison"
	"umberladder/internal/policy/rates"
	"umberladder/internal/policy/reject"
	"umberladder/internal/policy/stop"
	"umberladder/internal/policy/timing"
	"umberladder/internal/route/alloc"
	"umberladder/internal/route/port"
	"umberladder/internal/route/task"
	"umberladder/internal/route/unary"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/routes"
	"umberladder/internal/state/srvtab"
)

const (
	vmCount     = 61
	serverCount = 3
	slotCount   = 6
	hubCount    = 4
	callRate    = 116.0 // per second, of all VMs
	meanTime    = 30 * time.Millisecond
	lateAfter   = 150 * time.Millisecond
	// The figures of the servers are changed from changeAt to restoreAt.
	changeAt, restoreAt, endAt = 5 * time.Second, 15 * time.Second, 22 * time.Second
	reactionTime               = time.Second
)

// server is a plain server. A call that finds no free slot is rejected.
type server struct {
	slots     int
	slowness  float64 // factor of the time of its calls
	failEvery int     // one in this many calls fails at once; zero: none does

	running, received int
}

// fleet is a set of VMs that send calls to servers, without a network. It implements
// port.Backend; its other methods aren't called.
type fleet struct {
	port.Backend
	mu      sync.Mutex
	servers map[ident.Server]*server
	start   time.Time
	rng     *rand.Rand
	calls   []outcome
	retries int
	changes int // of servers between slow and not slow, at all VMs
}

// outcome is how a call ended.
type outcome struct {
	at     time.Duration // of its arrival, since the start
	server ident.Server
	late   bool // not served within lateAfter
}

func (f *fleet) Send(ctx context.Context, a port.Attempt) (*port.Response, error) {
	f.mu.Lock()
	s := f.servers[a.Server.ID]
	s.received++
	if s.running >= s.slots {
		f.mu.Unlock()
		return &port.Response{Status: 503, NotExecuted: true, Delimited: true, Body: body{}}, nil
	}
	s.running++
	took := time.Duration(f.rng.ExpFloat64() * s.slowness * float64(meanTime))
	fails := s.failEvery > 0 && f.rng.IntN(s.failEvery) == 0
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.running--
	}()
	if fails {
		return &port.Response{Status: 500, Delimited: true, Body: body{}}, nil
	}
	select {
	case <-time.After(took):
		return &port.Response{Status: 200, Delimited: true, Body: body{}}, nil
	case <-ctx.Done():
		return nil, &port.SendError{Err: ctx.Err()}
	}
}

type body struct{}

func (body) Read([]byte) (int, error) { return 0, io.EOF }
func (body) Close() error             { return nil }

// RecordFirstAttempt, AllowRetry and ReturnRetry implement task.Budget.
func (f *fleet) RecordFirstAttempt(ident.Service, time.Time) {}

func (f *fleet) AllowRetry(ident.Service, time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries++
	return true
}

func (f *fleet) ReturnRetry(ident.Service, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries--
}

// writer accepts a response.
type writer struct {
	port.ResponseWriter
	status int
}

func (w *writer) WriteResponse(status int, _ []call.HeaderField, _ []byte) error {
	w.status = status
	return nil
}

// scenario is what happens to the servers.
type scenario struct {
	seed      uint64
	slots     int     // of the first server, which its entry does not state
	slowness  float64 // of the first server
	failEvery int     // of the first server
	hubsLost  bool    // no VM receives responses of hubs while the servers are changed
	oneDomain bool    // all VMs and servers are in one failure domain
	// baseline makes VMs choose by their own calls and health weights only, as they do where
	// servers are engines.
	baseline bool
}

func domain(n int, one bool) ident.FailureDomain {
	if one {
		return "a"
	}
	return ident.FailureDomain([]string{"a", "b", "c"}[n%3])
}

func serverID(n int) ident.Server { return ident.Server(fmt.Sprint("plain-", n)) }

// newVM returns the dependencies of a VM.
func (f *fleet) newVM(n int, table *srvtab.Table, sc scenario) task.Deps {
	return task.Deps{
		Config:   task.Config{Domain: domain(n, sc.oneDomain), ColdLimit: func(float64) float64 { return 0 }},
		Settings: routes.NewCurrent(nil), Servers: table, Alloc: alloc.New(), Budget: f, Health: health.New(), Rates: rates.New(nil, nil),
		Reject: reject.New(func(reject.Limit) {}), Timings: timing.New(func(timing.Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.changes++
		}),
		Poison: poison.New(poison.Config{CrashLimit: 3, Duration: time.Minute}, func(poison.Change) {}), Backend: f, Log: zap.NewNop(), Stop: &stop.Shutdown{}, Held: hold.NewPool(hold.Limits{Memory: 1 << 20}),
	}
}

// run plays a scenario and returns the fleet afterwards.
func run(t *testing.T, sc scenario) *fleet {
	t.Helper()
	f := &fleet{servers: make(map[ident.Server]*server), rng: rand.New(rand.NewPCG(sc.seed, 1))}
	synctest.Test(t, func(*testing.T) {
		f.start = time.Now()
		table := srvtab.NewTable(func() {})
		for n := range serverCount {
			f.servers[serverID(n)] = &server{slots: slotCount, slowness: 1}
			table.Put(srvtab.Entry{ID: serverID(n), Service: "plain", Domain: domain(n, sc.oneDomain), Slots: slotCount, Addr: netip.MustParseAddrPort("127.0.0.1:1")})
		}
		vms := make([]task.Deps, vmCount)
		for n := range vms {
			vms[n] = f.newVM(n, table, sc)
		}
		var group errgroup.Group
		for n := range vms {
			group.Go(func() error { f.exchange(vms, n, sc); return nil })
		}
		group.Go(func() error { f.arrivals(vms, sc, &group); return nil })
		group.Go(func() error { f.change(sc); return nil })
		assert.NilError(t, group.Wait())
	})
	return f
}

// change changes the first server for a time.
func (f *fleet) change(sc scenario) {
	set := func(s server) {
		f.mu.Lock()
		defer f.mu.Unlock()
		first := f.servers[serverID(0)]
		first.slots, first.slowness, first.failEvery = s.slots, s.slowness, s.failEvery
	}
	time.Sleep(changeAt)
	set(server{slots: sc.slots, slowness: sc.slowness, failEvery: sc.failEvery})
	time.Sleep(restoreAt - changeAt)
	set(server{slots: slotCount, slowness: 1})
}

// exchange makes a VM report to the hubs, which are the first VMs.
func (f *fleet) exchange(vms []task.Deps, n int, sc scenario) {
	name := func(n int) ident.VM { return ident.VM(fmt.Sprint(n)) }
	calls := func(n int) func(ident.Server) int {
		return func(id ident.Server) int { return vms[n].Alloc.Own(id).Calls }
	}
	serviceOf := func(ident.Server) ident.Service { return "s" }
	time.Sleep(time.Duration(n) * hubs.ReportInterval / vmCount)
	for ; time.Since(f.start) < endAt; time.Sleep(hubs.ReportInterval) {
		if since := time.Since(f.start); sc.hubsLost && since > changeAt && since < restoreAt {
			continue
		}
		for hub := range hubCount {
			if hub == n {
				continue
			}
			vms[hub].Timings.HandleReport(name(n), vms[n].Timings.Report(serviceOf, calls(n), time.Now()), time.Now())
			vms[n].Timings.HandleResponse(name(hub), vmCount-1, vms[hub].Timings.Response(name(n), serviceOf, calls(hub), time.Now()), time.Now())
		}
	}
}

// arrivals starts calls at random times and VMs.
func (f *fleet) arrivals(vms []task.Deps, sc scenario, group *errgroup.Group) {
	route := &routes.Route{Kind: call.Idempotent, MaxAttempts: 3, LatencyTarget: lateAfter}
	service := &routes.Service{Name: "plain"}
	if sc.baseline {
		service.Engine = &routes.Engine{}
	}
	rng := rand.New(rand.NewPCG(sc.seed, 2))
	for time.Since(f.start) < endAt {
		time.Sleep(time.Duration(rng.ExpFloat64() / callRate * float64(time.Second)))
		deps := vms[rng.IntN(len(vms))]
		group.Go(func() error {
			now := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			w := &writer{}
			c := &task.Task{Deps: deps, Call: &call.Call{Arrived: now}, Writer: w, Route: route, Service: service, Deadline: now.Add(time.Second)}
			refusal := unary.Serve(ctx, c)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.calls = append(f.calls, outcome{at: now.Sub(f.start), server: c.Result.Server, late: refusal != nil || w.status != 200 || time.Since(now) > lateAfter})
			return nil
		})
	}
}

// summary is what happened in a part of a run.
type summary struct {
	calls, late int
	shares      []float64 // of calls that ended at each server
}

func (f *fleet) summary(from, to time.Duration) summary {
	s := summary{shares: make([]float64, serverCount)}
	for _, c := range f.calls {
		if c.at < from || c.at >= to {
			continue
		}
		s.calls++
		if c.late {
			s.late++
		}
		for n := range serverCount {
			if c.server == serverID(n) {
				s.shares[n]++
			}
		}
	}
	for n := range s.shares {
		s.shares[n] /= float64(s.calls)
	}
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("%d of %d late (%.1f%%), shares %.2f", s.late, s.calls, 100*float64(s.late)/float64(s.calls), s.shares)
}

// seeds is the number of runs that are summed up. Their arrivals and times are the same for
// both choices.
const seeds = 2

// play runs a scenario with several seeds, with the choice by the figures of all VMs and with
// the one by the VM's own, and logs what happened.
func play(t *testing.T, sc scenario) (fleetWide, baseline *fleet) {
	t.Helper()
	sum := func(base bool) *fleet {
		all := &fleet{}
		sc.baseline = base
		for sc.seed = range seeds {
			f := run(t, sc)
			all.calls, all.retries, all.changes = append(all.calls, f.calls...), all.retries+f.retries, all.changes+f.changes
		}
		t.Logf("own figures only: %-5v before: %s; changed: first second %s, then %s; restored: first second %s, second %s, then %s; %d retries; %.2f changes per run and VM", base,
			all.summary(time.Second, changeAt), all.summary(changeAt, changeAt+time.Second), all.summary(changeAt+time.Second, restoreAt),
			all.summary(restoreAt, restoreAt+time.Second), all.summary(restoreAt+time.Second, restoreAt+2*time.Second), all.summary(restoreAt+2*time.Second, endAt), all.retries, float64(all.changes)/vmCount/seeds)
		return all
	}
	return sum(false), sum(true)
}

// inDomains runs a test with all VMs and servers in one failure domain, and in three.
func inDomains(t *testing.T, sc scenario, f func(t *testing.T, sc scenario)) {
	for name, one := range map[string]bool{"one domain": true, "three domains": false} {
		t.Run(name, func(t *testing.T) {
			sc.oneDomain = one
			f(t, sc)
		})
	}
}

func changed(f *fleet) summary  { return f.summary(changeAt, restoreAt) }
func adapted(f *fleet) summary  { return f.summary(changeAt+reactionTime, restoreAt) }
func restored(f *fleet) summary { return f.summary(restoreAt+2*reactionTime, endAt) }

// TestSlowServer guards against VMs that send most of a slow server's usual calls to it because
// each of them sees too few calls itself, and against a server that has recovered and gets
// few calls for long.
func TestSlowServer(t *testing.T) {
	inDomains(t, scenario{slots: slotCount, slowness: 4}, func(t *testing.T, sc scenario) {
		fleetWide, baseline := play(t, sc)
		assert.Assert(t, 3*changed(fleetWide).late < 2*changed(baseline).late, "late: %s, %s before", changed(fleetWide), changed(baseline))
		share := adapted(fleetWide).shares[0]
		assert.Assert(t, share < 0.16 && share > 0.01, "share of the slow server: %.2f", share)
		assert.Assert(t, restored(fleetWide).shares[0] > 0.24, "share after its recovery: %s", restored(fleetWide))
	})
}

// TestServerWithFewSlots guards against calls sent to a server that rejects them, while others
// have room.
func TestServerWithFewSlots(t *testing.T) {
	inDomains(t, scenario{slots: slotCount / 3, slowness: 1}, func(t *testing.T, sc scenario) {
		fleetWide, baseline := play(t, sc)
		assert.Assert(t, adapted(fleetWide).shares[0] < 0.24, "%s", adapted(fleetWide))
		assert.Assert(t, changed(fleetWide).late <= changed(baseline).late+5, "late: %s, %s before", changed(fleetWide), changed(baseline))
		assert.Assert(t, 2*fleetWide.retries < 3*baseline.retries, "%d retries, %d before", fleetWide.retries, baseline.retries)
	})
}

// TestFailingServer guards against a choice by response times that gives calls to a server
// because its failures are fast.
func TestFailingServer(t *testing.T) {
	inDomains(t, scenario{slots: slotCount, slowness: 1, failEvery: 3}, func(t *testing.T, sc scenario) {
		fleetWide, baseline := play(t, sc)
		assert.Assert(t, adapted(fleetWide).shares[0] < adapted(baseline).shares[0]+0.06, "%s, %s before", adapted(fleetWide), adapted(baseline))
		assert.Assert(t, changed(fleetWide).late <= changed(baseline).late+10, "late: %s, %s before", changed(fleetWide), changed(baseline))
	})
}

// TestServersAlike guards against VMs that all choose the same server by the same figures, and
// against calls that are late because of the choice.
func TestServersAlike(t *testing.T) {
	inDomains(t, scenario{slots: slotCount, slowness: 1}, func(t *testing.T, sc scenario) {
		fleetWide, baseline := play(t, sc)
		for at := time.Second; at+time.Second <= endAt; at += time.Second {
			for _, share := range fleetWide.summary(at, at+time.Second).shares {
				assert.Assert(t, share > 0.12 && share < 0.6, "%s", fleetWide.summary(at, at+time.Second))
			}
		}
		assert.Assert(t, changed(fleetWide).late <= changed(baseline).late+5, "late: %s, %s before", changed(fleetWide), changed(baseline))
		assert.Assert(t, fleetWide.retries <= baseline.retries+30, "%d retries, %d before", fleetWide.retries, baseline.retries)
	})
}

// TestHubsLost guards against VMs that go on using outdated figures of the others when they reach
// no hub. They then choose by their own.
func TestHubsLost(t *testing.T) {
	inDomains(t, scenario{slots: slotCount, slowness: 4, hubsLost: true}, func(t *testing.T, sc scenario) {
		fleetWide, baseline := play(t, sc)
		assert.Assert(t, 10*changed(fleetWide).late <= 13*changed(baseline).late, "late: %s, %s before", changed(fleetWide), changed(baseline))
		assert.Assert(t, restored(fleetWide).shares[0] > 0.22, "share after its recovery: %s", restored(fleetWide))
	})
}
