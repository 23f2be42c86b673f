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

// The flags of the table in docs/design/05-admission.md.
var (
	rounds   = flag.Bool("rounds", false, "run every trial and print the table")
	overflow = flag.Float64("overflow", 0.05, "bound on the chance of overflow")
	reserve  = flag.Float64("reserve", 0.1, "memory share kept for urgent calls")
	charts   = flag.String("charts", "", "run the trials of the charts and write them to this folder")
)

func base(placement string, load float64, vms int) Config {
	return Config{
		Placement: placement,
		VMs:       vms,
		Engines:   4,
		Load:      load,
		Time:      40 * time.Second,
		Warm:      10 * time.Second,
		Overflow:  *overflow,
		Reserve:   *reserve,
		Seed:      1,
	}
}

func try(t *testing.T, cfg Config) *Figures {
	t.Helper()
	var f *Figures
	synctest.Test(t, func(*testing.T) { f = Run(context.Background(), cfg) })
	assert.Equal(t, f.Violations, uint64(0))
	return f
}

const header = "| placement | VMs | load | requests | refused | stall ms | preempted /1000 | gap p50 | gap p99 | first p99 | urgent p99 | tokens/s |"

func row(f *Figures) string {
	return fmt.Sprintf("| %s | %d | %.1f | %d | %d | %.1f | %.1f | %.1f | %.1f | %d | %d | %.0f |",
		f.Placement, f.VMs, f.Load, f.Requests, f.Refused, drive.Millis(f.StallEach()), f.Per1000(), drive.Millis(f.GapP50), drive.Millis(f.GapP99),
		f.FirstP99.Milliseconds(), f.UrgentP99.Milliseconds(), f.Goodput)
}

var placements = []string{"round-robin", "least-load", "two-choices", "predicted"}

func TestRounds(t *testing.T) {
	if !*rounds {
		t.Skip("a table for people; run with -rounds")
	}
	fmt.Fprintln(os.Stdout, header)
	for _, load := range []float64{0.7, 1.0, 1.3} {
		for _, p := range placements {
			t.Run(fmt.Sprintf("%s-%.1f", p, load), func(t *testing.T) { fmt.Fprintln(os.Stdout, row(try(t, base(p, load, 7)))) })
		}
	}
	for _, vms := range []int{1, 3, 14, 28} {
		t.Run(fmt.Sprintf("vms-%d", vms), func(t *testing.T) { fmt.Fprintln(os.Stdout, row(try(t, base("predicted", 1.0, vms)))) })
	}
}

// TestCharts draws the measures that the users care for, by load: the baselines
// with seven VMs, and the prediction by one home for all.
func TestCharts(t *testing.T) {
	if *charts == "" {
		t.Skip("charts for people; run with -charts FOLDER")
	}
	loads := []float64{0.7, 1.0, 1.3}
	groups := []string{"0.7 of load", "1.0", "1.3"}
	measures := map[string]struct {
		title, unit string
		of          func(*Figures) float64
		series      []chart.Series
	}{
		"stall":       {title: "Stall time of a request", unit: "ms", of: func(f *Figures) float64 { return drive.Millis(f.StallEach()) }},
		"preemptions": {title: "Preemptions", unit: "per 1,000 requests", of: (*Figures).Per1000},
		"token-gap":   {title: "Time between tokens, 99 in 100", unit: "ms", of: func(f *Figures) float64 { return drive.Millis(f.GapP99) }},
	}
	for _, p := range placements {
		vms := 7
		if p == "predicted" {
			vms = 1
		}
		var figures []*Figures
		for _, load := range loads {
			figures = append(figures, try(t, base(p, load, vms)))
		}
		for name, m := range measures {
			s := chart.Series{Name: p}
			for _, f := range figures {
				s.Values = append(s.Values, m.of(f))
			}
			m.series = append(m.series, s)
			measures[name] = m
		}
	}
	for name, m := range measures {
		assert.NilError(t, chart.Bars(filepath.Join(*charts, name+".svg"), m.title, m.unit, groups, m.series))
	}
}

// TestPredictedBeatsTwoChoices holds the policy to what it is for, with one VM
// deciding: fewer preemptions and no more than the baseline's stall, at equal
// goodput.
func TestPredictedBeatsTwoChoices(t *testing.T) {
	best, got := try(t, base("two-choices", 1.0, 1)), try(t, short("predicted", 1.0, 1))
	assert.Assert(t, got.Per1000() < best.Per1000()/2, "%.1f preemptions against %.1f", got.Per1000(), best.Per1000())
	assert.Assert(t, got.Goodput > 0.98*best.Goodput)
}

// short is base with the bound that services of objective stall-time get.
func short(placement string, load float64, vms int) Config {
	cfg := base(placement, load, vms)
	cfg.Overflow = 0.3
	return cfg
}
