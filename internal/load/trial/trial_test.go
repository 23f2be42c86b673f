package trial

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/load/chart"
	"umberladder/internal/load/drive"
)

// Flags for the table and the charts in docs/design/05-admission.md.
var (
	rounds   = flag.Bool("rounds", false, "run every trial and print the table")
	overflow = flag.Float64("overflow", 0.05, "upper bound on the probability of memory overflow")
	reserve  = flag.Float64("reserve", 0.1, "share of memory that is reserved for urgent calls")
	charts   = flag.String("charts", "", "run the trials of the charts and write the charts to this directory")
)

func baseConfig(placement string, load float64, vms int) Config {
	return Config{
		Placement:      placement,
		VMs:            vms,
		Engines:        4,
		Load:           load,
		Duration:       40 * time.Second,
		Warmup:         10 * time.Second,
		OverflowChance: *overflow,
		Reserve:        *reserve,
		Seed:           1,
	}
}

func runTrial(t *testing.T, cfg Config) *Result {
	t.Helper()
	var res *Result
	synctest.Test(t, func(*testing.T) { res = Run(context.Background(), cfg) })
	assert.Equal(t, res.Violations, uint64(0))
	return res
}

const tableHeader = "| placement | VMs | load | requests | refused | stall ms | preempted /1000 | gap p50 | gap p99 | first p99 | urgent p99 | tokens/s |"

func tableRow(res *Result) string {
	return fmt.Sprintf("| %s | %d | %.1f | %d | %d | %.1f | %.1f | %.1f | %.1f | %d | %d | %.0f |",
		res.Placement, res.VMs, res.Load, res.Requests, res.Refused, drive.Millis(res.MeanStall()), res.PreemptedPer1000(), drive.Millis(res.GapP50), drive.Millis(res.GapP99),
		res.FirstP99.Milliseconds(), res.UrgentP99.Milliseconds(), res.Goodput)
}

var placements = []string{"round-robin", "least-load", "two-choices", "predicted"}

func TestRounds(t *testing.T) {
	if !*rounds {
		t.Skip("prints a table; run with -rounds")
	}
	fmt.Fprintln(os.Stdout, tableHeader)
	for _, load := range []float64{0.7, 1.0, 1.3} {
		for _, p := range placements {
			t.Run(fmt.Sprintf("%s-%.1f", p, load), func(t *testing.T) { fmt.Fprintln(os.Stdout, tableRow(runTrial(t, baseConfig(p, load, 7)))) })
		}
	}
	for _, vms := range []int{1, 3, 14, 28} {
		t.Run(fmt.Sprintf("vms-%d", vms), func(t *testing.T) { fmt.Fprintln(os.Stdout, tableRow(runTrial(t, baseConfig("predicted", 1.0, vms)))) })
	}
}

// TestCharts draws the measures that matter to users, by load: the baselines with
// seven VMs that place generations, and the predictive placement with one coordinator.
func TestCharts(t *testing.T) {
	if *charts == "" {
		t.Skip("draws charts; run with -charts DIRECTORY")
	}
	loads := []float64{0.7, 1.0, 1.3}
	groups := []string{"0.7 of load", "1.0", "1.3"}
	measures := map[string]struct {
		title, unit string
		value       func(*Result) float64
		series      []chart.Series
	}{
		"stall":       {title: "Stall time of a request", unit: "ms", value: func(res *Result) float64 { return drive.Millis(res.MeanStall()) }},
		"preemptions": {title: "Preemptions", unit: "per 1,000 requests", value: (*Result).PreemptedPer1000},
		"token-gap":   {title: "Time between tokens, 99 in 100", unit: "ms", value: func(res *Result) float64 { return drive.Millis(res.GapP99) }},
	}
	for _, p := range placements {
		vms := 7
		if p == "predicted" {
			vms = 1
		}
		var results []*Result
		for _, load := range loads {
			results = append(results, runTrial(t, baseConfig(p, load, vms)))
		}
		for name, m := range measures {
			s := chart.Series{Name: p}
			for _, res := range results {
				s.Values = append(s.Values, m.value(res))
			}
			m.series = append(m.series, s)
			measures[name] = m
		}
	}
	for name, m := range measures {
		assert.NilError(t, chart.Bars(filepath.Join(*charts, name+".svg"), m.title, m.unit, groups, m.series))
	}
}

// TestPredictedBeatsTwoChoices checks what the predictive placement is meant to
// achieve, with one VM that places all generations: less than half the preemptions of
// the two-choices baseline, at a goodput that is at most 2% lower.
func TestPredictedBeatsTwoChoices(t *testing.T) {
	baseline, predicted := runTrial(t, baseConfig("two-choices", 1.0, 1)), runTrial(t, stallConfig("predicted", 1.0, 1))
	assert.Assert(t, predicted.PreemptedPer1000() < baseline.PreemptedPer1000()/2, "%.1f preemptions against %.1f", predicted.PreemptedPer1000(), baseline.PreemptedPer1000())
	assert.Assert(t, predicted.Goodput > 0.98*baseline.Goodput)
}

// stallConfig is baseConfig with the overflow bound of services with objective
// stall-time.
func stallConfig(placement string, load float64, vms int) Config {
	cfg := baseConfig(placement, load, vms)
	cfg.OverflowChance = 0.3
	return cfg
}
