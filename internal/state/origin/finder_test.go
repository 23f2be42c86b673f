package origin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/hubs"
	"umberladder/internal/state/srvtab"
)

const (
	service  = ident.Service("engines")
	lifetime = 12 * time.Second
	netDelay = time.Millisecond
	// maxHolders is how many other VMs a VM knows, as in package hubs.
	maxHolders = 8
)

// vm is one VM of a fleet. Its data on servers are its own.
type vm struct {
	fleet  *fleet
	name   ident.VM
	addr   netip.AddrPort
	domain ident.FailureDomain
	table  *srvtab.Table
	finder *Finder
	age    atomic.Int64 // of the data on servers, in nanoseconds
	moved  chan struct{}
	stop   context.CancelFunc
	down   atomic.Bool // it neither sends nor receives
	sent   atomic.Int64
}

// fleet is a set of VMs in virtual time. The first maxHolders VMs hold records.
type fleet struct {
	vms   []*vm
	group errgroup.Group
	loss  float64
	mu    sync.Mutex // guards rng
	rng   *rand.Rand
}

// loses reports whether a datagram is lost.
func (f *fleet) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.loss
}

// deliver runs f at the VM with an address after a delay, unless the datagram is lost.
func (v *vm) deliver(to netip.AddrPort, f func(to *vm)) {
	v.sent.Add(1)
	if v.down.Load() || v.fleet.loses() {
		return
	}
	v.fleet.group.Go(func() error {
		time.Sleep(netDelay)
		for _, other := range v.fleet.vms {
			if other.addr == to && !other.down.Load() {
				f(other)
			}
		}
		return nil
	})
}

func (v *vm) SendRecords(to netip.AddrPort, list []Record) {
	v.deliver(to, func(other *vm) { other.finder.HandleRecords(list) })
}

func (v *vm) SendQuery(to netip.AddrPort, q Query) {
	v.deliver(to, func(other *vm) {
		a := other.finder.Answer(q)
		other.deliver(v.addr, func(*vm) { v.finder.HandleAnswer(a) })
	})
}

// start starts the VM, or starts it again after stop, without records and data on servers.
func (v *vm) start() {
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.table, v.moved = cancel, srvtab.NewTable(func() {}), make(chan struct{}, 1)
	finder := New(0, Deps{
		VM: v.name, Servers: v.table, DataAge: func() time.Duration { return time.Duration(v.age.Load()) },
		Holders: v.holders, Moved: v.moved, Transport: v, Log: zap.NewNop(),
	})
	v.finder = finder
	v.fleet.group.Go(func() error {
		finder.Run(ctx)
		return nil
	})
}

func (v *vm) restart() {
	v.stop()
	v.start()
}

func (v *vm) holders(time.Time) []hubs.Candidate {
	var out []hubs.Candidate
	for _, o := range v.fleet.vms[:min(len(v.fleet.vms), maxHolders)] {
		if o != v {
			out = append(out, hubs.Candidate{VM: o.name, Addr: o.addr, Domain: o.domain})
		}
	}
	return out
}

// setVersions makes the VM's servers those of the given versions, one each.
func (v *vm) setVersions(versions ...ident.Version) {
	var list []srvtab.Entry
	for _, version := range versions {
		list = append(list, srvtab.Entry{ID: ident.Server("s-" + version), Service: service, Domain: "a", Slots: 1, Version: version})
	}
	v.table.Replace(list, time.Time{}, time.Now())
}

// testFleet runs fn with a fleet whose servers have run version v1 for longer than any stream.
func testFleet(t *testing.T, vms int, fn func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{rng: rand.New(rand.NewPCG(1, uint64(vms)))}
		for n := range vms {
			v := &vm{
				fleet: f, name: ident.VM(fmt.Sprint("vm-", n)), addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1+n)),
				domain: ident.FailureDomain(fmt.Sprint("d", n%4)),
			}
			f.vms = append(f.vms, v)
			v.start()
			v.setVersions("v1")
		}
		defer func() {
			for _, v := range f.vms {
				v.stop()
			}
			assert.NilError(t, f.group.Wait())
		}()
		time.Sleep(2 * lifetime)
		fn(t, f)
	})
}

func (f *fleet) setVersions(versions ...ident.Version) {
	for _, v := range f.vms {
		v.setVersions(versions...)
	}
	time.Sleep(10 * netDelay)
}

func record(n int, version ident.Version) Record {
	return Record{Stream: StreamOf(ident.Request(fmt.Sprint("attempt-", n))), Service: service, Version: version, TTL: lifetime}
}

// find looks for the origin of a stream at a VM.
func (v *vm) find(n int) (Origin, error) {
	return v.finder.Find(context.Background(), record(n, "").Stream, service, lifetime)
}

func TestFind(t *testing.T) {
	t.Run("one version: nothing is sent or asked", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.vms[0].finder.Began(record(1, "v1"), false)
			start := time.Now()
			o, err := f.vms[6].find(1)
			assert.NilError(t, err)
			assert.Equal(t, o, Origin{Service: service, Version: "v1", Source: FromOnlyVersion})
			assert.Equal(t, time.Since(start), time.Duration(0))
			for _, v := range f.vms {
				assert.Equal(t, v.sent.Load(), int64(0))
			}
		})
	})
	t.Run("the VM that began it", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.setVersions("v1", "v2")
			f.vms[0].finder.Began(record(1, "v2"), false)
			o, err := f.vms[0].find(1)
			assert.NilError(t, err)
			assert.Equal(t, o, Origin{Service: service, Version: "v2", Source: FromOwnRecord})
		})
	})
	t.Run("another VM, after that one was lost", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.setVersions("v1", "v2", "v3")
			f.vms[0].finder.Began(record(1, "v2"), false)
			time.Sleep(2 * netDelay)
			f.vms[0].down.Store(true)
			start := time.Now()
			for _, v := range f.vms[1:] {
				o, err := v.find(1)
				assert.NilError(t, err)
				assert.Equal(t, o.Version, ident.Version("v2"))
			}
			assert.Assert(t, time.Since(start) <= 6*2*netDelay, "%s", time.Since(start))
		})
	})
	t.Run("streams that were under way when the second version appeared", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.vms[0].finder.Began(record(1, "v1"), false)
			f.setVersions("v1", "v2")
			f.vms[0].down.Store(true)
			o, err := f.vms[5].find(1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v1"))
			assert.Assert(t, o.Source != FromOnlyVersion)
		})
	})
	t.Run("streams of one version, before and after their route led to another service", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.vms[0].finder.Began(record(1, "v1"), false)
			f.vms[0].moved <- struct{}{}
			f.vms[0].finder.Began(record(2, "v1"), true)
			time.Sleep(10 * netDelay)
			f.vms[0].down.Store(true)
			for n := range 2 {
				o, err := f.vms[5].finder.Find(t.Context(), record(1+n, "").Stream, "", lifetime)
				assert.NilError(t, err)
				assert.Equal(t, o.Version, ident.Version("v1"))
			}
		})
	})
	t.Run("a version that is gone is still remembered", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.setVersions("v1", "v2")
			f.vms[0].finder.Began(record(1, "v1"), false)
			f.setVersions("v2")
			f.vms[0].down.Store(true)
			o, err := f.vms[5].find(1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v1"))
			_, err = f.vms[5].find(2)
			assert.ErrorIs(t, err, ErrUnknown)
			time.Sleep(2 * lifetime)
			o, err = f.vms[5].find(2)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v2"))
		})
	})
	t.Run("a VM that has just started asks those that have not", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			v := f.vms[3]
			v.restart()
			v.setVersions("v1")
			o, err := v.find(1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v1"))
			assert.Assert(t, o.VM != "")
		})
	})
	t.Run("a fleet that has just started", func(t *testing.T) {
		testFleet(t, 300, func(t *testing.T, f *fleet) {
			for _, v := range f.vms {
				v.restart()
			}
			f.setVersions("v1")
			f.vms[200].finder.Began(record(1, "v1"), false)
			time.Sleep(2 * netDelay)
			f.vms[200].down.Store(true)
			o, err := f.vms[299].find(1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v1"))
			_, err = f.vms[299].find(2)
			assert.ErrorIs(t, err, ErrUnknown, "it may have begun before the start")
		})
	})
	t.Run("streams before and after the store was lost", func(t *testing.T) {
		testFleet(t, 12, func(t *testing.T, f *fleet) {
			f.vms[0].finder.Began(record(1, "v1"), false)
			for _, v := range f.vms {
				v.age.Store(int64(20 * time.Second))
			}
			time.Sleep(2 * checkInterval)
			f.vms[10].finder.Began(record(2, "v1"), false)
			time.Sleep(2 * netDelay)
			f.vms[0].down.Store(true)
			f.vms[10].down.Store(true)
			for n := 1; n <= 2; n++ {
				o, err := f.vms[11].find(n)
				assert.NilError(t, err)
				assert.Equal(t, o.Version, ident.Version("v1"))
			}
			_, err := f.vms[11].find(3)
			assert.ErrorIs(t, err, ErrUnknown)
		})
	})
}

// TestNoGuess guards against VMs that take the only version that they know for the one that
// began a stream, although others may know more.
func TestNoGuess(t *testing.T) {
	t.Run("a VM out of touch", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			cut := f.vms[6]
			cut.age.Store(int64(5 * time.Second))
			for _, v := range f.vms[:6] {
				v.setVersions("v1", "v2")
			}
			time.Sleep(10 * netDelay)
			f.vms[0].finder.Began(record(1, "v2"), false)
			cut.down.Store(true)
			start := time.Now()
			_, err := cut.find(1)
			assert.ErrorIs(t, err, ErrUnanswered)
			assert.ErrorIs(t, err, ErrUnknown)
			assert.Assert(t, time.Since(start) <= findTimeout+netDelay, "%s", time.Since(start))
			cut.down.Store(false)
			o, err := cut.find(1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v2"))
			_, err = cut.find(2)
			assert.ErrorIs(t, err, ErrUnknown, "others know of a second version")
		})
	})
	t.Run("an attempt that nobody knows", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.setVersions("v1", "v2")
			start := time.Now()
			_, err := f.vms[0].find(9)
			assert.Assert(t, err == ErrUnknown, "%v", err) //nolint:errorlint // not ErrUnanswered
			assert.Equal(t, time.Since(start), 2*netDelay, "refused as soon as all have answered")
		})
	})
	t.Run("a client that names no attempt", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			f.setVersions("v1", "v2")
			f.vms[0].finder.Began(record(1, "v1"), false)
			_, err := f.vms[0].finder.Find(t.Context(), StreamOf(""), service, lifetime)
			assert.ErrorIs(t, err, ErrUnknown)
		})
	})
	t.Run("clients that name no attempt, after streams of such clients", func(t *testing.T) {
		testFleet(t, 7, func(t *testing.T, f *fleet) {
			unnamed := Record{Stream: StreamOf(""), Service: service, Version: "v1", TTL: lifetime}
			find := func(n int) error {
				_, err := f.vms[n].finder.Find(t.Context(), unnamed.Stream, service, lifetime)
				return err
			}
			assert.NilError(t, find(0), "there is one version only")
			f.vms[0].finder.Began(unnamed, false)
			f.setVersions("v1", "v2")
			f.vms[1].finder.Began(unnamed, false)
			f.vms[2].finder.HandleRecords([]Record{unnamed})
			time.Sleep(2 * netDelay)
			for n := range 4 {
				assert.ErrorIs(t, find(n), ErrUnknown)
			}
		})
	})
}

// miss has the VM miss the changes of the last second.
func (v *vm) miss() { v.table.RecordGap(time.Now().Add(-time.Second), time.Now()) }

// TestGap guards against a VM that takes the only version that it knows for the one that began a
// stream after it has missed changes, and against one that refuses what other VMs know.
func TestGap(t *testing.T) {
	t.Run("others know a second version", func(t *testing.T) {
		testFleet(t, 3, func(t *testing.T, f *fleet) {
			for _, v := range f.vms[:2] {
				v.setVersions("v1", "v2")
				v.setVersions("v1")
			}
			f.vms[2].miss()
			_, err := f.vms[2].find(1)
			assert.ErrorIs(t, err, ErrUnknown)
			_, err = f.vms[0].find(1)
			assert.ErrorIs(t, err, ErrUnknown, "the answer of the VM with the gap must not mislead others")
		})
	})
	t.Run("others know that there was one version only", func(t *testing.T) {
		testFleet(t, 3, func(t *testing.T, f *fleet) {
			f.vms[2].miss()
			o, err := f.vms[2].find(1)
			assert.NilError(t, err)
			assert.Assert(t, o.Version == "v1" && o.VM != "", "%+v", o)
		})
	})
	t.Run("nobody knows, but the VM that began the stream", func(t *testing.T) {
		testFleet(t, 3, func(t *testing.T, f *fleet) {
			f.vms[0].finder.Began(record(1, "v1"), false)
			for _, v := range f.vms {
				v.miss()
			}
			o, err := f.vms[2].find(1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v1"))
		})
	})
	t.Run("nobody knows, and the VM that began the stream is lost", func(t *testing.T) {
		testFleet(t, 12, func(t *testing.T, f *fleet) {
			f.vms[0].finder.Began(record(1, "v1"), false)
			time.Sleep(time.Second)
			for _, v := range f.vms {
				v.miss()
			}
			time.Sleep(2 * checkInterval)
			f.vms[0].down.Store(true)
			o, err := f.vms[11].find(1)
			assert.NilError(t, err, "its record was sent when the gap was found")
			assert.Equal(t, o.Version, ident.Version("v1"))
			_, err = f.vms[11].find(2)
			assert.ErrorIs(t, err, ErrUnknown)
		})
	})
	t.Run("a VM that has seen another version than others name", func(t *testing.T) {
		testFleet(t, 3, func(t *testing.T, f *fleet) {
			v := f.vms[2]
			v.restart()
			v.setVersions("v2")
			_, err := v.find(1)
			assert.ErrorIs(t, err, ErrUnknown, "others know only of v1, whose servers have left")
		})
	})
	t.Run("a VM with old data does not contradict others", func(t *testing.T) {
		testFleet(t, 3, func(t *testing.T, f *fleet) {
			f.setVersions("v2")
			f.vms[2].setVersions("v1")
			time.Sleep(2 * lifetime)
			f.vms[2].age.Store(int64(2*lifetime + time.Second))
			o, err := f.vms[2].find(1)
			assert.NilError(t, err)
			assert.Equal(t, o.Version, ident.Version("v2"))
		})
	})
}

// TestDifferingAnswers guards against a choice between VMs that each know of one version only, but
// not of the same.
func TestDifferingAnswers(t *testing.T) {
	testFleet(t, 3, func(t *testing.T, f *fleet) {
		answers := map[ident.VM]Answer{"a": {VM: "a", Only: "v1"}, "b": {VM: "b", Only: "v2"}}
		_, err := f.vms[0].finder.conclude(Query{Service: service, Lifetime: lifetime}, answers, 2)
		assert.ErrorIs(t, err, ErrUnknown)
	})
}

// TestLostVMs checks how many streams still find their origin when half of the VMs are killed at
// once, with 4% of the datagrams lost.
func TestLostVMs(t *testing.T) {
	for _, vms := range []int{7, 300} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			testFleet(t, vms, func(t *testing.T, f *fleet) {
				const streams, rounds = 100, 20
				kills := rand.New(rand.NewPCG(2, uint64(vms)))
				f.loss = 0.04
				f.setVersions("v1", "v2")
				found := 0
				for round := range rounds {
					for n := range streams {
						f.vms[(round+n)%vms].finder.Began(record(round*streams+n, "v2"), false)
					}
					time.Sleep(2 * netDelay)
					perm := kills.Perm(vms)
					for _, i := range perm[:vms/2] {
						f.vms[i].down.Store(true)
					}
					for n := range streams {
						o, err := f.vms[perm[vms/2+n%(vms-vms/2)]].find(round*streams + n)
						if err == nil {
							assert.Equal(t, o.Version, ident.Version("v2"))
							found++
						}
					}
					for _, v := range f.vms {
						v.down.Store(false)
					}
				}
				t.Logf("%d of %d found", found, streams*rounds)
				// Those that go on have to be more than half of the share of new streams that begin.
				assert.Assert(t, found*4 >= 3*streams*rounds, "%d of %d found", found, streams*rounds)
			})
		})
	}
}

// TestRecords checks that records expire and are bounded in number.
func TestRecords(t *testing.T) {
	r, now := newRecords(), time.Now()
	for n := range maxRecords + 10 {
		r.put(record(n, "v1"), false, now)
	}
	assert.Equal(t, r.len(), maxRecords)
	_, ok := r.get(record(3, "").Stream, now.Add(lifetime-time.Millisecond))
	assert.Assert(t, ok)
	_, ok = r.get(record(3, "").Stream, now.Add(lifetime))
	assert.Assert(t, !ok)
	r.put(record(maxRecords+1, "v1"), false, now.Add(lifetime))
	assert.Equal(t, r.len(), 1)
	assert.Equal(t, len(r.takeUnsent(func(ident.Service, time.Duration) bool { return true }, now.Add(lifetime))), 1)
	assert.Equal(t, len(r.takeUnsent(func(ident.Service, time.Duration) bool { return true }, now.Add(lifetime))), 0)
}
