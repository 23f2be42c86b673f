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

// holder is one VM in the model: it may hold a term, may be frozen between
// checking its lease and letting a key run, and its clock is off by skew.
type holder struct {
	shard *Shard
	until time.Time // end of its lease, by true time, as the store sees it
	skew  time.Duration
	// frozen is a permit between its lease check and its decision. The keeper
	// does both under one lock, and hands a shard on under the same, so a
	// VM that is frozen there hands nothing on before it thaws.
	frozen []func()
}

// model is the oracle: it counts how often each key was let run.
type model struct {
	now     time.Time // true time
	holders []*holder
	ran     map[string]int
	minted  map[string]time.Time
}

func (m *model) clock(h *holder) time.Time { return m.now.Add(h.skew) }

// held returns the holder whose lease the store still honours, or nil.
func (m *model) held() *holder {
	for _, h := range m.holders {
		if h.shard != nil && m.now.Before(h.until) {
			return h
		}
	}
	return nil
}

// TestAtMostOnce lets VMs take, lose and hand on a shard while callers send
// keys through any of them, some of which are frozen past their leases: no
// key is ever let run twice.
func TestAtMostOnce(t *testing.T) {
	check.Checks(t, 5000)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: time.UnixMilli(1_000_000_000), ran: map[string]int{}, minted: map[string]time.Time{}}
		for range 3 {
			half := int(Margin / 2 / time.Millisecond)
			m.holders = append(m.holders, &holder{skew: time.Duration(rapid.IntRange(-half, half).Draw(t, "skew")) * time.Millisecond})
		}
		const ttl = 250 * time.Millisecond
		calls := 0
		pick := func(t *rapid.T) *holder { return m.holders[rapid.IntRange(0, 2).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{10, 100, 200, 800}).Draw(t, "ms")) * time.Millisecond)
			},
			"take": func(t *rapid.T) {
				if m.held() != nil {
					t.Skip()
				}
				h := pick(t)
				// The store's clock is the true one.
				h.shard, h.until = New(m.now), m.now.Add(ttl)
			},
			"renew": func(t *rapid.T) {
				if h := m.held(); h != nil {
					h.until = m.now.Add(ttl)
				}
			},
			"hand": func(t *rapid.T) {
				h, to := m.held(), pick(t)
				if h == nil || to == h || len(h.frozen) > 0 {
					t.Skip()
				}
				start, claims := h.shard.Export()
				to.shard, to.until = Import(start, claims), m.now.Add(ttl)
				h.shard = nil
			},
			"call": func(t *rapid.T) {
				h := m.held()
				if h == nil {
					t.Skip() // every VM knows that it is no holder
				}
				key := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "key"))
				calls++
				request := ident.Request(fmt.Sprint(calls))
				if _, ok := m.minted[key]; !ok {
					// Callers' clocks may be far off; holders refuse the worst.
					ahead := rapid.SampledFrom([]int{-300, 0, 100, 240, 400, 900}).Draw(t, "caller's skew")
					m.minted[key] = m.now.Add(time.Duration(ahead) * time.Millisecond)
				}
				shard, clock, minted := h.shard, m.clock(h), m.minted[key]
				permit := func() {
					if v, _ := shard.Claim(key, minted, [32]byte{}, request, clock); v == Run {
						m.ran[key]++
					}
				}
				if rapid.IntRange(0, 3).Draw(t, "frozen") == 0 {
					h.frozen = append(h.frozen, permit)
					return
				}
				permit()
			},
			"thaw": func(t *rapid.T) {
				for _, h := range m.holders {
					for _, permit := range h.frozen {
						permit()
					}
					h.frozen = nil
				}
			},
			"": func(t *rapid.T) {
				for key, n := range m.ran {
					assert.Assert(t, n <= 1, "key %s ran %d times", key, n)
				}
			},
		})
	})
}

func TestVerdicts(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	minted := now.Add(2*Margin + time.Millisecond)
	clock := minted
	fresh := func() *Shard { return New(now) }
	a, b := [32]byte{1}, [32]byte{2}
	ask := func(s *Shard, sum [32]byte, r string) Verdict {
		v, _ := s.Claim("k", minted, sum, ident.Request(r), clock)
		return v
	}
	t.Run("a second request waits for the first", func(t *testing.T) {
		s := fresh()
		assert.Equal(t, ask(s, a, "r1"), Run)
		assert.Equal(t, ask(s, a, "r1"), Run, "the same request asks again")
		assert.Equal(t, ask(s, a, "r2"), Running)
	})
	t.Run("and then gets its answer", func(t *testing.T) {
		s := fresh()
		ask(s, a, "r1")
		s.Finish("k", "r1", true, &proto.Answer{Body: []byte("ok")})
		v, answer := s.Claim("k", minted, a, "r2", clock)
		assert.Equal(t, v, Replay)
		assert.Equal(t, string(answer.GetBody()), "ok")
	})
	t.Run("or the truth if no answer was kept", func(t *testing.T) {
		s := fresh()
		ask(s, a, "r1")
		s.Finish("k", "r1", true, nil)
		assert.Equal(t, ask(s, a, "r2"), MayRun)
	})
	t.Run("a request that never ran gives the key back", func(t *testing.T) {
		s := fresh()
		ask(s, a, "r1")
		s.Finish("k", "r1", false, nil)
		assert.Equal(t, ask(s, a, "r2"), Run)
	})
	t.Run("another body is told", func(t *testing.T) {
		s := fresh()
		ask(s, a, "r1")
		assert.Equal(t, ask(s, b, "r2"), Mismatch)
	})
	t.Run("a key from before the term may have run", func(t *testing.T) {
		v, _ := fresh().Claim("k", now, a, "r1", clock)
		assert.Equal(t, v, MayRun)
	})
	t.Run("a key from the future is refused", func(t *testing.T) {
		v, _ := fresh().Claim("k", clock.Add(2*Margin), a, "r1", clock)
		assert.Equal(t, v, Early)
	})
	t.Run("a lost VM's claim does not stay running", func(t *testing.T) {
		s := fresh()
		ask(s, a, "r1")
		v, _ := s.Claim("k", minted, a, "r2", clock.Add(runLimit))
		assert.Equal(t, v, MayRun)
	})
	t.Run("old claims are forgotten and their keys refused", func(t *testing.T) {
		s := fresh()
		ask(s, a, "r1")
		v, _ := s.Claim("k", minted, a, "r2", clock.Add(Kept+time.Minute))
		assert.Equal(t, v, MayRun)
		assert.Equal(t, s.Len(), 0)
	})
}

// BenchmarkClaim claims keys of a shard that holds n, and reports what each
// takes in memory.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			now := time.Now()
			before := check.Heap()
			s := New(now.Add(-time.Minute))
			keys := make([]string, n)
			for i := range keys {
				keys[i] = "installers/" + uuid.Must(uuid.NewV7()).String()
				s.Claim(keys[i], now, [32]byte{}, ident.NewRequest(), now)
			}
			each := float64(check.Heap()-before) / float64(n)
			i := 0
			for b.Loop() {
				s.Claim(keys[i%n], now, [32]byte{}, "r", now)
				i++
			}
			b.ReportMetric(each, "bytes/claim")
		})
	}
}
