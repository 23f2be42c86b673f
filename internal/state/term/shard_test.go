package term

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/proto"
	"umberladder/internal/test/check"
)

// vm is one VM in the model. It may hold the shard, it may be frozen between checking
// its lease and deciding on a key, and its clock is off by skew.
type vm struct {
	shard    *Shard
	leaseEnd time.Time // end of its lease, by true time, as the store sees it
	skew     time.Duration
	// pending are calls frozen between the lease check and the decision. Package
	// shards performs both under the lock under which it also hands a shard over, so
	// a VM that is frozen there hands nothing over before it continues.
	pending []func()
}

// model is the test oracle. It counts how often each key was granted.
type model struct {
	now     time.Time // true time
	vms     []*vm
	grants  map[string]int
	created map[string]time.Time
}

func (m *model) clock(v *vm) time.Time { return m.now.Add(v.skew) }

// leaseHolder returns the VM whose lease is valid by the store's clock, or nil.
func (m *model) leaseHolder() *vm {
	for _, v := range m.vms {
		if v.shard != nil && m.now.Before(v.leaseEnd) {
			return v
		}
	}
	return nil
}

// TestAtMostOnce guards against a key that is granted twice while VMs acquire, lose
// and hand over a shard, and some of them are frozen until after their lease has
// expired.
func TestAtMostOnce(t *testing.T) {
	check.RapidChecks(t, 5000)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.UnixMilli(1_000_000_000), grants: map[string]int{}, created: map[string]time.Time{}}
		for range 3 {
			half := int(MaxClockSkew / 2 / time.Millisecond)
			m.vms = append(m.vms, &vm{skew: time.Duration(rapid.IntRange(-half, half).Draw(t, "skew")) * time.Millisecond})
		}
		const ttl = 250 * time.Millisecond
		calls := 0
		pick := func(t *rapid.T) *vm { return m.vms[rapid.IntRange(0, 2).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{10, 100, 200, 800}).Draw(t, "ms")) * time.Millisecond)
			},
			"take": func(t *rapid.T) {
				if m.leaseHolder() != nil {
					t.Skip()
				}
				v := pick(t)
				// The store's clock is the true one.
				v.shard, v.leaseEnd = New(m.now), m.now.Add(ttl)
			},
			"renew": func(t *rapid.T) {
				if v := m.leaseHolder(); v != nil {
					v.leaseEnd = m.now.Add(ttl)
				}
			},
			"hand": func(t *rapid.T) {
				v, to := m.leaseHolder(), pick(t)
				if v == nil || to == v || len(v.pending) > 0 {
					t.Skip()
				}
				start, claims := v.shard.Export()
				to.shard, to.leaseEnd = Import(start, claims), m.now.Add(ttl)
				v.shard = nil
			},
			"call": func(t *rapid.T) {
				v := m.leaseHolder()
				if v == nil {
					t.Skip() // no VM holds a valid lease
				}
				key := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "key"))
				calls++
				request := ident.Request(fmt.Sprint(calls))
				if _, ok := m.created[key]; !ok {
					// Clients' clocks may be far off. Keys too far ahead are refused.
					ahead := rapid.SampledFrom([]int{-300, 0, 100, 240, 400, 900}).Draw(t, "client's skew")
					m.created[key] = m.now.Add(time.Duration(ahead) * time.Millisecond)
				}
				shard, clock, created := v.shard, m.clock(v), m.created[key]
				decide := func() {
					if d, _ := shard.Claim(key, created, [32]byte{}, request, clock); d == Granted {
						m.grants[key]++
					}
				}
				if rapid.IntRange(0, 3).Draw(t, "frozen") == 0 {
					v.pending = append(v.pending, decide)
					return
				}
				decide()
			},
			"thaw": func(t *rapid.T) {
				for _, v := range m.vms {
					for _, decide := range v.pending {
						decide()
					}
					v.pending = nil
				}
			},
			"": func(t *rapid.T) {
				for key, n := range m.grants {
					assert.Assert(t, n <= 1, "key %s ran %d times", key, n)
				}
			},
		})
	})
}

func TestDecisions(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	created := now.Add(2*MaxClockSkew + time.Millisecond)
	clock := created
	newShard := func() *Shard { return New(now) }
	a, b := [32]byte{1}, [32]byte{2}
	decide := func(s *Shard, fingerprint [32]byte, r string) Decision {
		d, _ := s.Claim("k", created, fingerprint, ident.Request(r), clock)
		return d
	}
	t.Run("a second request waits for the first", func(t *testing.T) {
		s := newShard()
		assert.Equal(t, decide(s, a, "r1"), Granted)
		assert.Equal(t, decide(s, a, "r1"), Granted, "the same request claims the key again")
		assert.Equal(t, decide(s, a, "r2"), InProgress)
	})
	t.Run("a second request gets the response of the first", func(t *testing.T) {
		s := newShard()
		decide(s, a, "r1")
		s.Finish("k", "r1", true, &proto.Answer{Body: []byte("ok")})
		d, response := s.Claim("k", created, a, "r2", clock)
		assert.Equal(t, d, Replay)
		assert.Equal(t, string(response.GetBody()), "ok")
	})
	t.Run("without a stored response the first request may have run", func(t *testing.T) {
		s := newShard()
		decide(s, a, "r1")
		s.Finish("k", "r1", true, nil)
		assert.Equal(t, decide(s, a, "r2"), MayHaveRun)
	})
	t.Run("a request that did not run releases the key", func(t *testing.T) {
		s := newShard()
		decide(s, a, "r1")
		s.Finish("k", "r1", false, nil)
		assert.Equal(t, decide(s, a, "r2"), Granted)
	})
	t.Run("a key with another body is a mismatch", func(t *testing.T) {
		s := newShard()
		decide(s, a, "r1")
		assert.Equal(t, decide(s, b, "r2"), Mismatch)
	})
	t.Run("a key from before the term may have run", func(t *testing.T) {
		d, _ := newShard().Claim("k", now, a, "r1", clock)
		assert.Equal(t, d, MayHaveRun)
	})
	t.Run("a key from the future is refused", func(t *testing.T) {
		d, _ := newShard().Claim("k", clock.Add(2*MaxClockSkew), a, "r1", clock)
		assert.Equal(t, d, FutureKey)
	})
	t.Run("a lost VM's claim does not stay running", func(t *testing.T) {
		s := newShard()
		decide(s, a, "r1")
		d, _ := s.Claim("k", created, a, "r2", clock.Add(lostAfter))
		assert.Equal(t, d, MayHaveRun)
	})
	t.Run("old claims are evicted and their keys refused", func(t *testing.T) {
		s := newShard()
		decide(s, a, "r1")
		d, _ := s.Claim("k", created, a, "r2", clock.Add(Retention+time.Minute))
		assert.Equal(t, d, MayHaveRun)
		assert.Equal(t, s.Len(), 0)
	})
}

// BenchmarkClaim claims keys of a shard with n claims, and reports the memory that
// each claim takes.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			now := time.Now()
			before := check.HeapInUse()
			s := New(now.Add(-time.Minute))
			keys := make([]string, n)
			for i := range keys {
				keys[i] = "installers/" + uuid.Must(uuid.NewV7()).String()
				s.Claim(keys[i], now, [32]byte{}, ident.NewRequest(), now)
			}
			each := float64(check.HeapInUse()-before) / float64(n)
			i := 0
			for b.Loop() {
				s.Claim(keys[i%n], now, [32]byte{}, "r", now)
				i++
			}
			b.ReportMetric(each, "bytes/claim")
		})
	}
}
