package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"umberladder/internal/core/ident"
	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

type fixedPeers struct{ known, reporting int }

func (f fixedPeers) ReporterCounts(time.Time) (int, int) { return f.known, f.reporting }

// TestFleetBudget guards against a hub and two VMs that report to it together exceeding the
// budget in any window, with random first attempts and retries.
func TestFleetBudget(t *testing.T) {
	const ratio, extra, span = 0.2, 20.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var vms [3]*FleetBudget
		for i := range vms {
			vms[i] = NewFleetBudget(ratio, extra, span, fixedPeers{})
		}
		hub := vms[0]
		hub.peers = fixedPeers{known: 2, reporting: 2}
		type attempt struct {
			at    time.Time
			retry bool
		}
		var attempts []attempt
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			if rapid.Bool().Draw(t, "first") {
				vms[i].RecordFirstAttempt("s", now)
				attempts = append(attempts, attempt{at: now})
			} else if vms[i].AllowRetry("s", now) {
				attempts = append(attempts, attempt{at: now, retry: true})
			}
			if i != 0 {
				hub.HandleReport(ident.VM(rune('a'+i)), vms[i].Report(now), now)
			}
			for j, b := range vms[1:] {
				b.HandleResponse("a", hub.Response(ident.VM(rune('b'+j)), now))
			}
		}
		for _, from := range attempts {
			first, retries := 0, 0
			for _, s := range attempts {
				if age := s.at.Sub(from.at); age < 0 || age >= span {
					continue
				}
				if s.retry {
					retries++
				}
			}
			for _, s := range attempts {
				// First attempts add to the budget for up to a window.
				if age := s.at.Sub(from.at); !s.retry && age >= -span && age < span {
					first++
				}
			}
			assert.Assert(t, float64(retries) <= ratio*float64(first)+extra, "%d retries for %d calls", retries, first)
		}
	})
}

// TestFleetBudgetPartialReports guards against VMs exceeding the budget when they have no
// reports of some other VMs.
func TestFleetBudgetPartialReports(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	countRetries := func(p Peers) int {
		b := NewFleetBudget(0.2, 54, 10*time.Second, p)
		n := 0
		for b.AllowRetry("s", now) {
			n++
		}
		return n
	}
	assert.Equal(t, countRetries(fixedPeers{}), 3, "a VM that knows no other uses a twelfth")
	assert.Equal(t, countRetries(fixedPeers{known: 6, reporting: 6}), 43, "a VM with the reports of all uses 0.8 of the budget")
	assert.Equal(t, countRetries(fixedPeers{known: 295, reporting: 0}), 0, "one of many VMs uses almost nothing without reports")
	t.Run("partitions of the fleet together stay within the budget", func(t *testing.T) {
		for vms := 2; vms <= 300; vms += 7 {
			for part := 1; part < vms; part++ {
				a := countRetries(fixedPeers{known: vms - 1, reporting: part - 1})
				b := countRetries(fixedPeers{known: vms - 1, reporting: vms - part - 1})
				assert.Assert(t, a+b <= 54, "%d of %d VMs use %d retries, the others %d", part, vms, a, b)
			}
		}
	})
	t.Run("the response that includes the most VMs is combined with the largest number of known VMs", func(t *testing.T) {
		for range 20 { // the iteration order of the responses is random
			b := NewFleetBudget(0.2, 54, 10*time.Second, fixedPeers{})
			b.HandleResponse("a", FleetTotal{At: now, Known: 59, Reporting: 9})
			b.HandleResponse("b", FleetTotal{At: now, Known: 29, Reporting: 29})
			n := 0
			for b.AllowRetry("s", now) {
				n++
			}
			assert.Assert(t, n <= 54*30/60, "%d retries, more than the share of half of the VMs", n)
		}
	})
	t.Run("an isolated VM remembers the number of VMs", func(t *testing.T) {
		b := NewFleetBudget(0.2, 630, 10*time.Second, fixedPeers{})
		b.HandleResponse("hub", FleetTotal{At: now, Known: 294, Reporting: 294})
		later, n := now.Add(2*responseTTL), 0
		for b.AllowRetry("s", later) {
			n++
		}
		assert.Assert(t, n <= 630/295, "%d", n)
	})
}

// TestExcess checks how a VM's requests compare to the mean of the VMs that report.
func TestExcess(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		reporting, own, others int
		want                   float64
	}{
		"no others are known": {0, 10, 0, 0},
		"no requests":         {3, 0, 0, 0},
		"an equal share":      {3, 10, 30, 1},
		"all requests":        {3, 10, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewFleetBudget(0.2, 10, 10*time.Second, fixedPeers{tc.reporting, tc.reporting})
			for range tc.own {
				b.RecordFirstAttempt("s", now)
			}
			b.HandleReport("other", map[ident.Service]Attempts{"s": {First: tc.others}}, now)
			assert.Equal(t, b.Excess(now), tc.want)
		})
	}
}

// TestReturnRetry guards against retries that count although they were not sent, and against
// returned ones that free more of the budget than they took.
func TestReturnRetry(t *testing.T) {
	const extra, span = 10.0, 10 * time.Second
	now := time.Unix(1_000_000, 0)
	budget := NewFleetBudget(0, extra, span, fixedPeers{known: 1, reporting: 1})
	budget.HandleReport("b", nil, now)
	take := func(now time.Time) (n int) {
		for budget.AllowRetry("s", now) {
			n++
		}
		return n
	}
	all := take(now)
	assert.Assert(t, all > 0)
	later := now.Add(span / 2)
	budget.ReturnRetry("s", now)
	assert.Equal(t, take(later), 1)
	budget.ReturnRetry("s", now.Add(-time.Hour))
	budget.ReturnRetry("s", later.Add(time.Hour))
	budget.ReturnRetry("other", now)
	assert.Equal(t, take(later), 0)
	afterWindow := later.Add(2 * span)
	budget.HandleReport("b", nil, afterWindow)
	assert.Equal(t, take(afterWindow), all)
	budget.ReturnRetry("s", now)
	assert.Equal(t, take(afterWindow), 0, "a retry that left the window before it was returned")
}
