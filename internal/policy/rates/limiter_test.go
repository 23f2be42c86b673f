package rates

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
)

const (
	service = ident.Service("s")
	// exchangeInterval is how often VMs report to their hub and receive its response.
	exchangeInterval = 500 * time.Millisecond
	// step is the simulation time step.
	step = 5 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

// vm is a VM of a fleet. The first VM of the fleet is the hub.
type vm struct {
	*Limiter
	name     ident.VM
	rate     float64 // calls a second
	fleet    *fleet
	isolated bool // exchanges no messages with the hub
}

// Rates implements Demand.
func (v *vm) Rates(ident.Service, time.Time) (own, all float64) {
	if v.isolated {
		return v.rate, v.rate * float64(len(v.fleet.vms))
	}
	for _, o := range v.fleet.vms {
		all += o.rate
	}
	return v.rate, all
}

// VMs implements Demand.
func (v *vm) VMs(time.Time) int { return len(v.fleet.vms) }

// fleet simulates calls from VMs to servers, some of which state limits.
type fleet struct {
	rng    *rand.Rand
	vms    []*vm
	limits []float64     // by server; zero: none
	loss   float64       // probability that a message is lost
	sent   [][]time.Time // by server
	calls  int
	denied int
}

func newFleet(vms int, demand float64, limits ...float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, uint64(vms))), limits: limits, sent: make([][]time.Time, len(limits))}
	for n := range vms {
		v := &vm{name: ident.VM(fmt.Sprint("vm-", n)), fleet: f}
		v.rate = demand / float64(vms) * 2 * float64(n+1) / float64(vms+1) // uneven
		v.Limiter = New(v, func(ident.Server, float64) {})
		f.vms = append(f.vms, v)
	}
	return f
}

func server(n int) ident.Server { return ident.Server(fmt.Sprint("i-", n)) }

// run simulates the given duration and returns its end.
func (f *fleet) run(from time.Time, d time.Duration) time.Time {
	for now := from; now.Before(from.Add(d)); now = now.Add(step) {
		for _, v := range f.vms {
			if f.rng.Float64() < v.rate*step.Seconds() {
				f.call(v, now)
			}
		}
		if now.Sub(start)%exchangeInterval == 0 {
			f.exchange(now)
		}
	}
	return from.Add(d)
}

// call sends a call from a VM to a random server that Skips allows.
func (f *fleet) call(v *vm, now time.Time) {
	f.calls++
	ids := make([]ident.Server, len(f.limits))
	for i := range ids {
		ids[i] = server(i)
	}
	skips := v.Skips(service, ids, now)
	for _, i := range f.rng.Perm(len(ids)) {
		if skips != nil && skips[i] {
			continue
		}
		v.RecordSent(ids[i], now)
		f.sent[i] = append(f.sent[i], now)
		v.Observe(ids[i], f.limits[i], now, now)
		return
	}
	f.denied++
}

// exchange has all VMs report to the hub and receive its responses.
func (f *fleet) exchange(now time.Time) {
	hub := f.vms[0]
	for _, v := range f.vms[1:] {
		if v.isolated || f.rng.Float64() < f.loss {
			continue
		}
		hub.HandleReport(v.name, v.Report(now), now)
		if f.rng.Float64() >= f.loss {
			v.HandleResponse(hub.name, len(f.vms)-1, hub.Response(v.name, now), now)
		}
	}
}

// maxInSpan returns the highest number of requests that a server received in any Span
// after the given time.
func (f *fleet) maxInSpan(n int, after time.Time) int {
	most := 0
	list := f.sent[n]
	for i, from := 0, 0; i < len(list); i++ {
		for list[i].Sub(list[from]) > Span || list[from].Before(after) && from < i {
			from++
		}
		if !list[from].Before(after) {
			most = max(most, i-from+1)
		}
	}
	return most
}

// countSince returns how many requests a server received from the given time on.
func (f *fleet) countSince(n int, after time.Time) int {
	count := 0
	for _, at := range f.sent[n] {
		if !at.Before(after) {
			count++
		}
	}
	return count
}

// TestFleetKeepsLimits guards against fleets of 1 to 300 VMs exceeding a server's limit: a
// limited server receives at most 1.5 times its limit plus 5 requests in 4 s.
func TestFleetKeepsLimits(t *testing.T) {
	for _, vms := range []int{1, 7, 84, 300} {
		for _, limit := range []float64{0.5, 2.1, 13} {
			t.Run(fmt.Sprintf("%d VMs, %g a second", vms, limit), func(t *testing.T) {
				f := newFleet(vms, 34, limit, limit, 0, 0)
				f.loss = 0.04
				from := f.run(start, 2*time.Second)
				f.run(from, 40*time.Second)
				for n := range 2 {
					assert.Assert(t, f.maxInSpan(n, from) <= int(1.5*limit*Span.Seconds())+5, "%d", f.maxInSpan(n, from))
					assert.Assert(t, f.countSince(n, from) > 0, "no requests, so the end of the limit would not be noticed")
				}
				assert.Equal(t, f.denied, 0, "calls denied although two servers are unlimited")
			})
		}
	}
}

// TestRarelyChosen guards against a limit that no response confirms before it expires, at all VMs
// at once, because most calls that may go to its server go to others.
func TestRarelyChosen(t *testing.T) {
	for range 3 {
		f := newFleet(84, 300, 0.5, 0.5, 0, 0, 0, 0, 0, 0)
		from := f.run(start, 2*time.Second)
		f.run(from, 3*time.Minute)
		for n := range 2 {
			assert.Assert(t, f.maxInSpan(n, from) <= 8, "%d", f.maxInSpan(n, from))
		}
	}
}

// TestDemandAfterPause guards against a limit that is exceeded because no request confirmed it while
// there was no demand.
func TestDemandAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{5 * time.Second, 15 * time.Second, 25 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			f := newFleet(300, 900, 13, 13, 0, 0)
			end := f.run(start, 4*time.Second)
			from := end.Add(pause)
			f.exchange(from.Add(-step))
			f.run(from, 8*time.Second)
			for n := range 2 {
				assert.Assert(t, f.maxInSpan(n, from) <= 1.5*13*4+5, "%d", f.maxInSpan(n, from))
			}
		})
	}
}

// TestAllLimited guards against needless denials and exceeded limits when all servers of a
// service are limited.
func TestAllLimited(t *testing.T) {
	t.Run("limits cover the demand", func(t *testing.T) {
		f := newFleet(84, 34, 12, 12, 12, 12)
		f.run(start, 20*time.Second)
		assert.Assert(t, f.denied < f.calls/50, "%d of %d denied", f.denied, f.calls)
		for n := range 4 {
			assert.Assert(t, f.maxInSpan(n, start.Add(2*time.Second)) <= 1.5*12*4+5)
		}
	})
	t.Run("limits cover part of the demand", func(t *testing.T) {
		f := newFleet(84, 34, 3, 3, 3, 3)
		from := f.run(start, 2*time.Second)
		f.calls, f.denied = 0, 0
		f.run(from, 20*time.Second)
		served := f.calls - f.denied
		assert.Assert(t, float64(served) >= 0.6*12*20, "%d served of 240", served)
		for n := range 4 {
			assert.Assert(t, f.maxInSpan(n, from) <= 1.5*3*4+5)
		}
	})
}

// TestBurst guards against exceeding limits when demand triples before the known rates
// reflect it.
func TestBurst(t *testing.T) {
	f := newFleet(84, 100, 13, 13, 13, 0)
	from := f.run(start, 4*time.Second)
	for _, v := range f.vms {
		v.rate /= 3 // the rate that Demand returns, which lags behind the actual one
	}
	burst := make([]float64, len(f.vms))
	for i, v := range f.vms {
		burst[i] = v.rate * 3
	}
	for now := from; now.Before(from.Add(4 * time.Second)); now = now.Add(step) {
		for i, v := range f.vms {
			if f.rng.Float64() < burst[i]*step.Seconds() {
				f.call(v, now)
			}
		}
		if now.Sub(start)%exchangeInterval == 0 {
			f.exchange(now)
		}
	}
	for n := range 3 {
		assert.Assert(t, f.maxInSpan(n, from) <= 1.5*13*4+5, "%d", f.maxInSpan(n, from))
	}
}

// TestIsolated guards against exceeding limits when all VMs lose contact with the hub.
func TestIsolated(t *testing.T) {
	f := newFleet(7, 34, 2.7, 2.7, 0, 0)
	from := f.run(start, 4*time.Second)
	for _, v := range f.vms {
		v.isolated = true
	}
	f.run(from, 20*time.Second)
	for n := range 2 {
		assert.Assert(t, f.maxInSpan(n, from) <= 16+5, "%d", f.maxInSpan(n, from))
		assert.Assert(t, f.countSince(n, from) > 0, "no requests, so the end of the limit would not be noticed")
	}
}

// TestStatedLimits guards against limits that end too early, are restored by outdated reports,
// never expire or are granted beyond their rate.
func TestStatedLimits(t *testing.T) {
	const id = ident.Server("a")
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	newLimiter := func() (*Limiter, *[]float64) {
		changes := &[]float64{}
		return New(&vm{fleet: &fleet{vms: make([]*vm, 3)}, isolated: true, rate: 1}, func(_ ident.Server, r float64) { *changes = append(*changes, r) }), changes
	}
	t.Run("a limit ends with a response to a request that was sent after it", func(t *testing.T) {
		l, changes := newLimiter()
		l.Observe(id, 2, at(0), at(1))
		l.Observe(id, 0, at(0.5), at(1.5))
		assert.Equal(t, l.LimitedCount(at(2)), 1, "the response may predate the limit")
		l.Observe(id, 0, at(1.5), at(2))
		assert.Equal(t, l.LimitedCount(at(2)), 0)
		assert.DeepEqual(t, *changes, []float64{2, 0})
	})
	t.Run("an outdated report does not restore a limit", func(t *testing.T) {
		l, _ := newLimiter()
		l.Observe(id, 2, at(0), at(1))
		l.Observe(id, 0, at(3), at(3))
		l.HandleReport("other", []Limit{{Server: id, Rate: 2, At: at(2)}}, at(4))
		assert.Equal(t, l.LimitedCount(at(4)), 0)
		l.HandleReport("other", []Limit{{Server: id, Rate: 2, At: at(3.5)}}, at(4))
		assert.Equal(t, l.LimitedCount(at(4)), 1)
	})
	t.Run("an unconfirmed limit expires", func(t *testing.T) {
		l, _ := newLimiter()
		l.Observe(id, 2, at(0), at(0))
		assert.Equal(t, l.LimitedCount(at(0).Add(expiry)), 1)
		assert.Equal(t, l.LimitedCount(at(0).Add(expiry+1)), 0)
	})
	t.Run("invalid limits are ignored", func(t *testing.T) {
		l, changes := newLimiter()
		l.HandleReport("other", []Limit{{Rate: 1, At: at(0)}, {Server: id, Rate: -1, At: at(0)}, {Server: id, Rate: 1, At: at(9)}}, at(1))
		assert.Equal(t, len(*changes), 0)
		assert.Equal(t, l.LimitedCount(at(1)), 0)
	})
	t.Run("the coordinator grants no more than the limit", func(t *testing.T) {
		l, _ := newLimiter()
		l.HandleReport("other", nil, at(0))
		l.Observe(id, 4, at(0), at(0))
		l.HandleReport("other", []Limit{{Server: id, Rate: 4, At: at(0)}}, at(0))
		granted := 0
		for now := at(0); now.Before(at(8)); now = now.Add(step) {
			if l.CanGrant(id, now) {
				l.Grant(id, now)
				granted++
			}
		}
		assert.Assert(t, granted >= 32 && granted <= 34, "%d", granted)
	})
}
